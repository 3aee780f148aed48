#pragma once

/** @file The signals by which the operator stops the process or has it read its settings again. */

namespace chivelock {

/**
 * Blocks SIGTERM, SIGINT and SIGHUP, so that they are received only through the returned descriptor, and ignores
 * SIGPIPE. Must run before anything else in the process: until then these signals end it without a log line, and
 * threads inherit the signal mask.
 * @return a signalfd.
 */
[[nodiscard]] int openSignalFd();

/** @return whether SIGTERM or SIGINT has arrived and was not read from the descriptor yet. */
[[nodiscard]] bool isStopPending();

} // namespace chivelock
