#pragma once

/**
 * @file
 * Availability zones that operators have drained. The gateway sends nothing to the leafs of a drained zone until the
 * zone is undrained, even if callers get partial answers or errors for it. No input or output, no thread, no clock.
 */

#include <base/base.h>

#include <cstddef>
#include <unordered_map>
#include <unordered_set>

namespace chivelock {

/** Drained zones, as known to one VM. */
class drained_zones
{
public:
    /** @param rampUp time after which the leafs of an undrained zone get their full share of requests again. */
    explicit drained_zones(millis rampUp = millis(4000))
        : m_rampUp(rampUp)
    {
    }

    /** Drains the zone. @return false if it was drained already. */
    bool drain(const zone_name &zone);

    /** Undrains the zone. @return false if it was not drained. */
    bool undrain(const zone_name &zone, millis now);

    [[nodiscard]] bool isDrained(const zone_name &zone) const
    {
        return !m_drained.empty() && m_drained.contains(zone);
    }

    /**
     * The share of the requests meant for the zone's leafs that may be sent to them. After an undrain it rises
     * gradually: the leafs' caches may have turned cold without requests, and if all VMs returned at once, the queue at
     * each leaf would take longer than any caller waits.
     * @return from 0 (drained) to 1.
     */
    [[nodiscard]] double trafficShare(const zone_name &zone, millis now) const;

    [[nodiscard]] std::size_t size() const
    {
        return m_drained.size();
    }

private:
    void removeFinishedRampUps(millis now);

    millis m_rampUp;
    std::unordered_set<zone_name> m_drained;
    std::unordered_map<zone_name, millis> m_undrainedAt; ///< zones whose share is still rising
};

} // namespace chivelock
