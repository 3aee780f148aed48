#include <zones/zones.h>

#include <algorithm>

namespace chivelock {

bool drained_zones::drain(const zone_name &zone)
{
    m_undrainedAt.erase(zone);
    return m_drained.insert(zone).second;
}

bool drained_zones::undrain(const zone_name &zone, millis now)
{
    if (m_drained.erase(zone) == 0) {
        return false;
    }
    removeFinishedRampUps(now);
    m_undrainedAt[zone] = now;
    return true;
}

void drained_zones::removeFinishedRampUps(millis now)
{
    std::erase_if(m_undrainedAt, [&](const auto &entry) { return entry.second + m_rampUp <= now; });
}

double drained_zones::trafficShare(const zone_name &zone, millis now) const
{
    if (isDrained(zone)) {
        return 0;
    }
    const auto undrained = m_undrainedAt.find(zone);
    if (m_undrainedAt.empty() || undrained == m_undrainedAt.end()) {
        return 1;
    }
    constexpr double initialShare = 0.1; // enough requests for the VMs to learn how fast and healthy the leafs are
    const double elapsed = (now - undrained->second).count() / m_rampUp.count();
    return std::clamp(elapsed, initialShare, 1.0);
}

} // namespace chivelock
