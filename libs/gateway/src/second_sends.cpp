/** @file Second sends: hedges, and retries of requests that a leaf may have run. */

#include "exchange.h"

namespace chivelock {

/** A part has arrived. @param bySecond whether a second send brought it. */
void gateway_engine::recordPart(bool bySecond)
{
    m_sendCounts.useful += bySecond ? 1 : 0;
}

silent_leafs gateway_engine::countSilentLeafs(millis now) const
{
    silent_leafs counts;
    m_leafs.forEach([&](const leaf &one) {
        counts.down += one.downUntil > now ? 1 : 0;
        counts.stalled += now - one.stalledSince() >= maxShortPause ? 1 : 0;
    });
    return counts;
}

} // namespace chivelock
