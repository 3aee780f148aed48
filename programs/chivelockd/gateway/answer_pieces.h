#pragma once

/** @file The bytes of one answer on their way to the caller; private to @ref chivelock::caller_server. */

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <utility>

namespace chivelock {

/** Bytes to write in order, in pieces that are freed one after the other: otherwise an answer would be held completely
 *  until its last byte is written. */
class answer_pieces
{
public:
    static constexpr std::size_t maxPieceBytes = 65536;

    /** Replaces all pieces. Bytes that fit into one piece are not copied. */
    void assign(std::string bytes)
    {
        m_pieces.clear();
        m_bytes = bytes.size();
        if (bytes.size() <= maxPieceBytes) {
            m_pieces.push_back(std::move(bytes));
            return;
        }
        for (std::size_t at = 0; at < bytes.size(); at += maxPieceBytes) {
            m_pieces.push_back(bytes.substr(at, maxPieceBytes));
        }
    }

    /** @return the next bytes to write, valid until @ref pop. @pre some are left. */
    [[nodiscard]] std::string_view front() const
    {
        return m_pieces.front();
    }

    void pop()
    {
        m_bytes -= m_pieces.front().size();
        m_pieces.pop_front();
    }

    [[nodiscard]] bool empty() const
    {
        return m_pieces.empty();
    }

    /** @return the bytes that are held. */
    [[nodiscard]] std::size_t bytes() const
    {
        return m_bytes;
    }

private:
    std::deque<std::string> m_pieces;
    std::size_t m_bytes = 0;
};

} // namespace chivelock
