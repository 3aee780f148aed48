/** @file Time as of which this process knows the contents of the store, and whether the store is available. */

#include <fleet/fleet.h>

#include <algorithm>

namespace chivelock {

void fleet_node::onStoreFreshness(millis asOf, millis now)
{
    if (m_phase == phase::Reading) {
        advanceFreshness(asOf, now);
    }
}

/** Informs the followers at once; otherwise each level of the tree would add a heartbeat interval of delay. */
void fleet_node::advanceFreshness(millis asOf, millis now)
{
    constexpr double minProgressHeartbeats = 0.75; // share of the heartbeat interval
    m_currentAsOf = std::max(m_currentAsOf, asOf);
    if (m_currentAsOf - m_sentAsOf >= m_settings.heartbeatInterval * minProgressHeartbeats) {
        sendStateToFollowers(now);
    }
}

/**
 * A message may have waited here during a process pause, which the age in it does not include. The age therefore counts
 * back from the tick before the last.
 */
void fleet_node::onUpstreamFreshness(const upstream_state &state, millis now)
{
    if (state.currentAsOf && canConfirmFreshness()) {
        m_undelivered = 0;
        advanceFreshness(m_previousTickAt + *state.currentAsOf, now);
    }
}

bool fleet_node::knowsAllPrefixes() const
{
    return std::ranges::all_of(m_views, [](const auto &one) { return one.second.known(); });
}

/** A process that waits for the full contents of a prefix has skipped changes in it. */
bool fleet_node::canConfirmFreshness() const
{
    return knowsAllPrefixes() && m_fullContentsPending.empty();
}

void fleet_node::updateStoreAvailability(millis now)
{
    // A reader that has just started has no answer yet, which is no sign of an outage.
    constexpr millis unavailableAfter(100);
    const bool follows = m_phase == phase::Following;
    const bool answers =
        follows ? m_upstreamState.storeOk && !m_upstreamState.starting : m_phase == phase::Reading && ownStoreOk();
    m_storeLostSince = storeOk() ? millis::never() : std::min(m_storeLostSince, now);
    const bool lost = m_storeLostSince + unavailableAfter <= now && hasResponsivePeer(now);
    m_storeUnavailable = !answers && (m_storeUnavailable || lost);
    m_storeUnavailableAt = m_storeUnavailable ? now : m_storeUnavailableAt;
}

/** Whether an entry that is missing now may have expired only because the store was unavailable. */
bool fleet_node::mayHaveExpiredEntries() const
{
    return m_tickAt - m_storeUnavailableAt < outageExpiryWindow;
}

} // namespace chivelock
