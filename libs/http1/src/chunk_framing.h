#pragma once

/** @file Bound on the bytes of a chunked body that are not data. */

#include <boost/beast/core/string.hpp>
#include <boost/system/error_code.hpp>

#include <bit>
#include <cstddef>
#include <cstdint>

namespace chivelock {

/**
 * Counts the chunk extensions, the trailer and the leading zeros of chunk sizes in one message. What each chunk needs
 * (the digits of its size and two line ends) is left out, since the limit of the body bounds the number of chunks.
 * A parser of Boost.Beast calls this object for each chunk.
 */
class chunk_framing
{
public:
    explicit chunk_framing(std::size_t maxBytes)
        : m_maxBytes(maxBytes)
    {
    }

    void operator()(std::uint64_t size, boost::beast::string_view extensions, boost::system::error_code &error)
    {
        (void)extensions; // counted with the bytes that the parser has consumed
        (void)error;
        m_needed += digitsOf(size) + lineEndsOfChunk;
    }

    /** @param bytes consumed by the parser that are not data. */
    void add(std::size_t bytes)
    {
        m_taken += bytes;
    }

    /** @param pending bytes that the parser has left because a line or the trailer is incomplete. */
    [[nodiscard]] bool isTooLarge(std::size_t pending) const
    {
        constexpr std::size_t longestNeed = maxDigits + lineEndsOfChunk;
        const std::size_t limit = m_needed + m_maxBytes;
        return m_taken > limit || m_taken + pending > limit + longestNeed;
    }

private:
    static constexpr std::size_t lineEndsOfChunk = 4;
    static constexpr std::size_t maxDigits = 16; // of a size of 64 bits

    [[nodiscard]] static constexpr std::size_t digitsOf(std::uint64_t size)
    {
        constexpr std::size_t bitsOfDigit = 4;
        return size == 0 ? 1 : (static_cast<std::size_t>(std::bit_width(size)) + bitsOfDigit - 1) / bitsOfDigit;
    }

    std::size_t m_maxBytes;
    std::size_t m_needed = 0;
    std::size_t m_taken = 0;
};

} // namespace chivelock
