#pragma once

/**
 * @file
 * Regions to which operators confine the requests of a route, for example because their bodies must not leave a
 * country. No input or output, no thread, no clock.
 */

#include <base/base.h>

#include <map>
#include <span>

namespace chivelock {

/** Decides in which zones the requests of a route may be handled. */
class region_policy
{
public:
    region_policy() = default;

    /** @param regions region of each zone. A zone that it does not name is in no region. */
    explicit region_policy(std::map<zone_name, region_name> regions)
        : m_regions(std::move(regions))
    {
    }

    /**
     * Whether a request may be sent to the leafs of @p zone. A zone whose region is not known is refused: a request
     * that waits can be sent later, but one that has left its region can't be taken back.
     * @param homeRegions regions in which the requests of the route may be handled; empty: all.
     */
    [[nodiscard]] bool allows(std::span<const region_name> homeRegions, const zone_name &zone) const;

private:
    std::map<zone_name, region_name> m_regions;
};

} // namespace chivelock
