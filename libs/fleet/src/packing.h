#pragma once

/**
 * @file
 * Compression (zstd) of what VMs send each other. With a base, only the difference to it takes room: of a configuration
 * of 80 kB of which one route changes, a few hundred bytes.
 */

#include <optional>
#include <string>
#include <string_view>

namespace chivelock {

/** @return @p text compressed. @param base what the receiver holds; empty for nothing. */
[[nodiscard]] std::string packed(std::string_view text, std::string_view base);

/**
 * @param size of the text, as its sender told it.
 * @return the text, or nothing if @p bytes and @p base are not what made it, or do not make @p size bytes.
 */
[[nodiscard]] std::optional<std::string> unpacked(std::string_view bytes, std::string_view base, std::size_t size);

/** @return by which both sides know that they have the same text (XXH64). */
[[nodiscard]] std::uint64_t digestOfText(std::string_view text);

} // namespace chivelock
