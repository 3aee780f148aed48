#pragma once

/**
 * @file
 * Compression (zstd) of messages between VMs. With a base, only the difference to it is encoded: a few hundred bytes if
 * one route changes in a configuration of 80 kB.
 */

#include <optional>
#include <string>
#include <string_view>

namespace chivelock {

/** @return @p text compressed. @param base text that the receiver has, used as a dictionary; empty for none. */
[[nodiscard]] std::string compressText(std::string_view text, std::string_view base);

/**
 * @param size of the text as declared by its sender.
 * @return the text, or nullopt if @p bytes cannot be decompressed with @p base or do not yield @p size bytes.
 */
[[nodiscard]] std::optional<std::string>
decompressText(std::string_view bytes, std::string_view base, std::size_t size);

/** @return an XXH64 digest by which two processes check that they have the same text. */
[[nodiscard]] std::uint64_t digestOfText(std::string_view text);

} // namespace chivelock
