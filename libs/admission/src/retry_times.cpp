#include <admission/admission.h>

#include <algorithm>
#include <cmath>

namespace chivelock {

namespace {

constexpr double returningShare = 0.5; // of the completed requests; the rest is left to new requests
constexpr double minCompletedPerSecond = 1; // before the first completions
constexpr double goldenRatio = 0.618033988749895; // its multiples modulo 1 fill an interval evenly
constexpr double millisPerSecond = 1000;

} // namespace

millis retry_times::next(double completedPerSecond, const retry_window &window, millis now)
{
    const millis earliest = std::min(window.earliest, window.latest);
    const millis interval(millisPerSecond / (returningShare * std::max(completedPerSecond, minCompletedPerSecond)));
    const millis at = std::max(now + earliest, m_lastPromised + interval);
    if (at <= now + window.latest) {
        m_lastPromised = at;
        return at - now;
    }
    // All times of the window are taken. The caller still gets its own time, in the later half of the window.
    m_spread = std::fmod(m_spread + goldenRatio, 1.0);
    const millis half = std::max(earliest, window.latest * 0.5);
    return half + (window.latest - half) * m_spread;
}

} // namespace chivelock
