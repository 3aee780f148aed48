#pragma once

/** @file Runs the process as a gateway: settings, signals, start and stop. */

#include <settings/settings.h>

#include <string>

namespace chivelock {

/**
 * Runs until SIGTERM or SIGINT and the planned stop that follows.
 * @param signals signalfd to read from.
 * @return the exit code of the process.
 */
int serveGateway(const gateway_daemon_settings &settings, const std::string &settingsPath, int signals);

/** @return the settings in the file, or the problems found in it as text. */
[[nodiscard]] tl::expected<gateway_daemon_settings, std::string> loadGatewaySettings(const std::string &path);

} // namespace chivelock
