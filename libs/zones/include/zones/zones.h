#pragma once

/**
 * @file
 * Availability zones that operators have emptied: nothing is sent to their leafs until they are given back, whatever a
 * caller loses by it. No input or output, no thread, no clock.
 */

#include <base/base.h>

#include <cstddef>
#include <unordered_map>
#include <unordered_set>

namespace chivelock {

/** The operators' word on zones, as one VM knows it. */
class emptied_zones
{
public:
    /** @param easing after a zone was given back, until its leafs get their whole part again. */
    explicit emptied_zones(millis easing = millis(4000))
        : m_easing(easing)
    {
    }

    /** @return false if it was emptied already. */
    bool empty(const zone_name &zone);

    /** @return false if it was not emptied. */
    bool giveBack(const zone_name &zone, millis now);

    [[nodiscard]] bool isEmptied(const zone_name &zone) const
    {
        return !m_emptied.empty() && m_emptied.contains(zone);
    }

    /**
     * The part of the requests meant for the zone's leafs that they may get. They may have turned cold while nobody
     * asked them: with all VMs coming back at once each would meet a queue of requests that takes longer than any
     * caller waits.
     * @return from 0, emptied, to 1.
     */
    [[nodiscard]] double shareOf(const zone_name &zone, millis now) const;

    [[nodiscard]] std::size_t size() const
    {
        return m_emptied.size();
    }

private:
    void forgetEased(millis now);

    millis m_easing;
    std::unordered_set<zone_name> m_emptied;
    std::unordered_map<zone_name, millis> m_givenBackAt; ///< while requests come back to it
};

} // namespace chivelock
