#pragma once

/** @file Feeds fuzzed bytes to the readers of frames. */

#include <wire/wire.h>

#include <sanitizer/allocator_interface.h>

#include <algorithm>

namespace chivelock {

/**
 * Feeds @p bytes in pieces to a frame reader and passes each payload to @p decode. The first byte chooses the size of
 * the pieces. Checks that the frames take memory in proportion to the bytes, not to the announced lengths.
 */
template<typename decoder>
void decodeFrames(std::span<const std::uint8_t> bytes, const decoder &decode)
{
    constexpr std::size_t maxKeptPerByte = 8;
    constexpr std::size_t maxKeptBesides = 65536;
    if (bytes.empty()) {
        return;
    }
    const std::size_t pieceBytes = std::size_t {bytes.front()} + 1;
    const std::span<const std::uint8_t> frames = bytes.subspan(1);
    const std::size_t allocatedBefore = __sanitizer_get_current_allocated_bytes();
    frame_reader reader;
    for (std::size_t at = 0; at < frames.size(); at += pieceBytes) {
        reader.append(frames.subspan(at, std::min(pieceBytes, frames.size() - at)));
        auto payload = reader.next();
        for (; payload && *payload; payload = reader.next()) {
            decode(**payload);
        }
        const std::size_t kept = __sanitizer_get_current_allocated_bytes() - allocatedBefore;
        require(kept <= maxKeptBesides + maxKeptPerByte * bytes.size(),
                "frames take memory in proportion to the bytes");
        if (!payload) {
            return;
        }
    }
}

} // namespace chivelock
