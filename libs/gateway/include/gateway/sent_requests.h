#pragma once

/** @file The requests that a connection to a leaf has carried; a part of gateway.h. */

#include <base/base.h>

#include <cstdint>
#include <deque>
#include <string_view>

namespace chivelock {

/**
 * Remembers the requests sent on one connection for as long as they may be sent again. An answer names only its
 * request, not the send. If a connection carried one request twice, a late copy of the first answer would be taken for
 * the second one.
 */
class sent_requests
{
public:
    /** @param attemptEnd when the attempt ends; by then it is not sent again, save by a VM that learned of it late. */
    void add(std::string_view requestId, millis attemptEnd, millis now);

    /** @return true if the request was sent; may be true for another one with an equal digest. */
    [[nodiscard]] bool contains(std::string_view requestId) const;

    void clear()
    {
        m_sent.clear();
    }

    [[nodiscard]] std::size_t size() const
    {
        return m_sent.size();
    }

private:
    struct sent_request {
        std::uint64_t digest = 0; ///< of the request id
        millis keptUntil;
    };

    std::deque<sent_request> m_sent; ///< in the order of the sends
};

} // namespace chivelock
