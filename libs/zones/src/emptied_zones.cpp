#include <zones/zones.h>

#include <algorithm>

namespace chivelock {

bool emptied_zones::empty(const zone_name &zone)
{
    m_givenBackAt.erase(zone);
    return m_emptied.insert(zone).second;
}

bool emptied_zones::giveBack(const zone_name &zone, millis now)
{
    if (m_emptied.erase(zone) == 0) {
        return false;
    }
    forgetEased(now);
    m_givenBackAt[zone] = now;
    return true;
}

void emptied_zones::forgetEased(millis now)
{
    std::erase_if(m_givenBackAt, [&](const auto &one) { return one.second + m_easing <= now; });
}

double emptied_zones::shareOf(const zone_name &zone, millis now) const
{
    if (isEmptied(zone)) {
        return 0;
    }
    const auto back = m_givenBackAt.find(zone);
    if (m_givenBackAt.empty() || back == m_givenBackAt.end()) {
        return 1;
    }
    constexpr double firstShare = 0.1; // that its leafs are met at all, so that the VMs learn how they are
    const double eased = (now - back->second).count() / m_easing.count();
    return std::clamp(eased, firstShare, 1.0);
}

} // namespace chivelock
