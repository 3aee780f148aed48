#include <leafs/leafs.h>

#include <algorithm>
#include <numeric>

namespace chivelock {

namespace {

constexpr std::int64_t slicesPerWindow = 20; // the window slides in steps of a twentieth

} // namespace

retry_budget::slice &retry_budget::current(millis now)
{
    const std::int64_t index = now.micros() * slicesPerWindow / m_window.micros();
    while (!m_slices.empty() && m_slices.front().index <= index - slicesPerWindow) {
        m_slices.pop_front();
    }
    if (m_slices.empty() || m_slices.back().index != index) {
        m_slices.push_back({index});
    }
    return m_slices.back();
}

void retry_budget::countRequest(millis now)
{
    current(now).requests += 1;
}

bool retry_budget::tryAcquire(double fixedAllowance, double reserve, millis now)
{
    slice &latest = current(now);
    double requests = 0;
    double extras = 0;
    for (const slice &one : m_slices) {
        requests += one.requests;
        extras += one.extras;
    }
    const double allowed = (m_ratio * requests + fixedAllowance) * (1 - reserve);
    if (extras + 1 > allowed) {
        return false;
    }
    latest.extras += 1;
    return true;
}

} // namespace chivelock
