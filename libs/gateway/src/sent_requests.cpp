#include <gateway/sent_requests.h>

#include <algorithm>
#include <functional>

namespace chivelock {

namespace {

constexpr millis maxDelegationDelay(5000); // a frozen VM receives delegated work late, and its time limit begins then

std::uint64_t digestOf(std::string_view requestId)
{
    return std::hash<std::string_view>()(requestId);
}

} // namespace

void sent_requests::add(std::string_view requestId, millis attemptEnd, millis now)
{
    while (!m_sent.empty() && m_sent.front().keptUntil < now) {
        m_sent.pop_front();
    }
    m_sent.push_back({digestOf(requestId), attemptEnd + maxDelegationDelay});
}

bool sent_requests::contains(std::string_view requestId) const
{
    return std::ranges::find(m_sent, digestOf(requestId), &sent_request::digest) != m_sent.end();
}

} // namespace chivelock
