#include <admission/admission.h>

#include <algorithm>

namespace chivelock {

namespace {

constexpr millis earlyMargin(10); // a caller's timer or clock may be a little fast
constexpr millis lateMargin(1000); // a busy caller, or a new connection
constexpr std::size_t maxPromises = 4096; // of some 100 bytes each

} // namespace

void returning_requests::expire(millis now)
{
    while (!m_expiries.empty() && m_expiries.begin()->first <= now) {
        const auto [first, last] = m_byKey.equal_range(m_expiries.begin()->second);
        const auto found = std::find_if(first, last, [now](const auto &one) { return one.second.keptUntil <= now; });
        if (found != last) {
            m_byKey.erase(found);
        }
        m_expiries.erase(m_expiries.begin());
    }
}

void returning_requests::add(const request_fingerprint &key, millis retryAfter, millis now)
{
    expire(now);
    if (!key.isKnown() || m_expiries.size() >= maxPromises) {
        return;
    }
    const promise added {now + retryAfter, now + retryAfter + lateMargin};
    m_byKey.emplace(key, added);
    m_expiries.emplace(added.keptUntil, key);
}

bool returning_requests::take(const request_fingerprint &key, millis now)
{
    expire(now);
    const auto [first, last] = m_byKey.equal_range(key);
    const auto due = std::find_if(first, last, [now](const auto &one) { return one.second.at <= now + earlyMargin; });
    if (due == last) {
        return false;
    }
    m_byKey.erase(due);
    return true;
}

} // namespace chivelock
