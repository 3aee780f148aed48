/**
 * @file
 * What a process reads from the store at its start, before it has heard of the other processes. The store does not tell
 * which entries were deleted and written once more by a delayed write; the other processes do. So the contents are
 * passed on only once another process has been heard, none is running, or waiting longer would cost callers more.
 */

#include <fleet/fleet.h>

#include <algorithm>

namespace chivelock {

namespace {

constexpr millis deletionsDelay(100); // some round trips: the deletions follow the first message of a new neighbour

constexpr millis refusedWithin(200); // a round trip to another region, and a tick

} // namespace

void fleet_node::useChanges(store_changes_action changes)
{
    if (!m_awaitsConfirmation) {
        m_actions.emplace_back(std::move(changes));
        return;
    }
    if (m_unconfirmed.empty()) {
        addLogEvent("contents_unconfirmed", changes.prefix, millis());
    }
    m_unconfirmed.push_back(std::move(changes));
}

/** Dials all other seeds, also those that usually wait for this process. */
void fleet_node::searchForOthers()
{
    std::ranges::for_each(m_settings.seeds, [this](const std::string &address) { dial(address); });
}

/** Notes a process that did not refuse the connection, as it would if it did not run, and did not answer either. */
void fleet_node::recordUnanswered(const upstream_candidate &lost, millis now)
{
    m_othersMayKnowMore = m_othersMayKnowMore || (!lost.answered && now - lost.dialledAt > refusedWithin);
}

/** Another process that has confirmed contents is a neighbour now. */
void fleet_node::onJoined(millis now)
{
    const bool readAlone = !m_unconfirmed.empty() || m_phase == phase::Reading;
    m_awaitsConfirmation = m_awaitsConfirmation && readAlone;
    m_confirmedAt = std::min(m_confirmedAt, now + deletionsDelay);
}

/** The process above has heard of the others. What they deleted came before this message. */
void fleet_node::onUpstreamConfirmed(millis now)
{
    onJoined(now);
    m_confirmedAt = std::min(m_confirmedAt, now);
}

/** @return why the changes may be passed on, for the log; empty if they may not. */
std::string_view fleet_node::confirmationOfChanges(millis now) const
{
    if (now >= m_confirmedAt) {
        return "joined";
    }
    if (now >= m_confirmBy) {
        return "none_heard";
    }
    const bool allAnswered = std::ranges::all_of(m_candidates, [](const auto &one) { return one.second.answered; });
    const bool isAlone = m_phase == phase::Reading && allAnswered && !m_othersMayKnowMore;
    return isAlone && m_confirmedAt == millis::never() ? "none_running" : std::string_view();
}

void fleet_node::releaseUnconfirmed(millis now)
{
    if (!m_awaitsConfirmation || m_unconfirmed.empty()) {
        return;
    }
    const std::string_view why = confirmationOfChanges(now);
    if (why.empty()) {
        return;
    }
    m_awaitsConfirmation = false;
    addLogEvent("contents_confirmed", std::string(why), millis());
    std::ranges::move(m_unconfirmed, std::back_inserter(m_actions));
    m_unconfirmed.clear();
    sendStateToFollowers(now);
    if (m_phase == phase::Following) {
        sendHeartbeat(now);
    }
}

} // namespace chivelock
