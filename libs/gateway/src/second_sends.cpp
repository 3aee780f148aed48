/** @file Second sends: hedges, and retries of requests that a leaf may have run. */

#include "exchange.h"

#include <utility>

namespace chivelock {

/** @return whether a further leaf may be asked for the shard. The limit does not apply if no leaf has run the request.
 */
bool gateway_engine::maySendSecond(const exchange &work, shard_call &call)
{
    if (call.mayHaveRun == 0 || !work.secondSendLimit.isReached()) {
        return true;
    }
    m_sendCounts.withheld += std::exchange(call.secondWithheld, true) ? 0 : 1;
    return false;
}

/** @pre the attempt is not counted in the call yet. */
void gateway_engine::countSecondSend(exchange &work, shard_call &call)
{
    if (call.mayHaveRun > 0) {
        m_sendCounts.second += 1;
        call.limitedSends += 1;
        work.secondSendLimit.onSent();
    }
}

/** A second send brought the part before the first leaf did. */
void gateway_engine::recordUsefulSecond(exchange &work, shard_call &call)
{
    m_sendCounts.useful += 1;
    releaseSecond(work, call);
}

void gateway_engine::releaseSecond(exchange &work, shard_call &call)
{
    if (call.limitedSends > 0) {
        call.limitedSends -= 1;
        work.secondSendLimit.onReleased();
    }
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
