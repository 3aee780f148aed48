/** @file As of when this process knows the store's word, and whether the store is in trouble. */

#include <fleet/fleet.h>

#include <algorithm>

namespace chivelock {

void fleet_node::onStoreCurrent(millis asOf, millis now)
{
    if (m_phase == phase::Reading) {
        noteCurrent(asOf, now);
    }
}

/** Passed on at once, or each level of the tree would add a beat. */
void fleet_node::noteCurrent(millis asOf, millis now)
{
    constexpr double leastProgress = 0.75; // of a beat
    m_asOf = std::max(m_asOf, asOf);
    if (m_asOf - m_toldAsOf >= m_settings.beat * leastProgress) {
        tellFollowers(now);
    }
}

/** The message may have waited here while this process was not at work, and its age says nothing of that: it counts
 * from the tick before the last. */
void fleet_node::hearCurrent(const upstream_state &state, millis now)
{
    if (state.currentAsOf && m_wholeAsked.empty()) {
        noteCurrent(m_quietAt + *state.currentAsOf, now);
    }
}

/** Whoever waits for the whole of a prefix has passed over what changed in it. */
bool fleet_node::mayVouch() const
{
    const bool knowsAll = std::ranges::all_of(m_views, [](const auto &one) { return one.second.known(); });
    return knowsAll && m_wholeAsked.empty();
}

void fleet_node::judgeStore(millis now)
{
    constexpr millis troubleAfter(100); // one that has just begun to read has had no answer yet: that is no trouble
    const bool follows = m_phase == phase::Following;
    const bool answers =
        follows ? m_upstreamState.storeOk && !m_upstreamState.starting : m_phase == phase::Reading && ownStoreOk();
    m_lostSince = storeOk() ? millis::never() : std::min(m_lostSince, now);
    const bool lost = m_lostSince + troubleAfter <= now && hearsPeers(now);
    m_inTrouble = !answers && (m_inTrouble || lost);
    m_troubleAt = m_inTrouble ? now : m_troubleAt;
}

/** Whether an entry that is missing may have lapsed for the store's trouble. */
bool fleet_node::mayLapse() const
{
    return m_tickAt - m_troubleAt < lapseEcho;
}

} // namespace chivelock
