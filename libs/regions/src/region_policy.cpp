#include <regions/regions.h>

#include <algorithm>

namespace chivelock {

bool region_policy::allows(std::span<const region_name> homeRegions, const zone_name &zone) const
{
    if (homeRegions.empty()) {
        return true;
    }
    const auto region = m_regions.find(zone);
    return region != m_regions.end() && std::ranges::find(homeRegions, region->second) != homeRegions.end();
}

} // namespace chivelock
