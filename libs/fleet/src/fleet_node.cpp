/** @file Message dispatch, periodic work and status queries of @ref fleet_node. */

#include <fleet/fleet.h>

#include <algorithm>

namespace chivelock {

namespace {

// Used while nobody has counted the processes; too high a value only tightens the limits divided by it.
constexpr std::uint32_t initialSizeEstimate = 64;
constexpr millis sizeEstimateDuration(5000);
constexpr millis largestSizeRetention(30000); // a part of the fleet that is cut off still uses its share of the limits

} // namespace

fleet_node::fleet_node(fleet_settings settings, std::uint64_t seed)
    : m_settings(std::move(settings))
    , m_random(seed)
    , m_members(std::make_shared<const std::vector<fleet_member>>())
    , m_membersSentUpstream(m_members)
{
    for (const std::string &prefix : m_settings.prefixes) {
        m_views[prefix];
        m_prefixReadOk[prefix] = false;
    }
}

void fleet_node::start(millis now)
{
    m_sizeEstimateUntil = now + sizeEstimateDuration;
    m_tickAt = now;
    m_previousTickAt = now;
    m_nextHeartbeat = now + m_settings.heartbeatInterval;
    m_confirmBy = now + m_settings.confirmationTimeout;
    m_awaitsConfirmation = namesOthers();
    startSearch(now);
}

void fleet_node::leave(millis now)
{
    m_leaving = true;
    const auto closeLink = [this](link_id link) { m_actions.emplace_back(close_link_action {link}); };
    std::ranges::for_each(m_followers, closeLink, [](const auto &one) { return one.first; });
    std::ranges::for_each(m_waiting, closeLink, &waiting_follower::link);
    m_followers.clear();
    m_waiting.clear();
    sendHeartbeat(now); // the upstream must not refer the dropped followers back to this process
    // The dropped followers may read the store now, and this process can follow one of them.
    m_nextReaderSearch = now + m_settings.drawInterval;
}

void fleet_node::onMessage(link_id link, fleet_message message, millis now)
{
    if (auto *request = std::get_if<follow_request>(&message)) {
        onFollow(link, std::move(*request), now);
    } else if (const auto *heartbeat = std::get_if<follow_heartbeat>(&message)) {
        onHeartbeat(link, *heartbeat, now);
    } else if (const auto *state = std::get_if<upstream_state>(&message)) {
        onState(link, *state, now);
    } else if (auto *items = std::get_if<store_items>(&message)) {
        onItems(link, std::move(*items), now);
    } else if (const auto *deletions = std::get_if<recent_deletions>(&message)) {
        onRecentDeletions(link, *deletions);
    } else if (auto *reports = std::get_if<leaf_reports_message>(&message)) {
        onLeafReports(link, std::move(*reports), now);
    } else if (auto *requests = std::get_if<request_evidence_message>(&message)) {
        onRequestEvidence(link, std::move(*requests), now);
    }
    releaseUnconfirmed(now);
}

void fleet_node::onStoreState(std::string_view prefix, bool ok, millis now)
{
    m_prefixReadOk.find(prefix)->second = ok;
    if (m_phase != phase::Reading) {
        return;
    }
    // After the store is lost, another reader is needed soon. After it is regained, many processes may be reading that
    // started during the outage, and all but one must stop. A process whose first read succeeds contacts the seeds
    // sooner still, since the store may be rejecting the others.
    const millis spread = m_settings.heartbeatInterval * (1 + 2 * m_random.uniform());
    const bool isFirstStoreResult = std::exchange(m_starting, m_starting && ok && !ownStoreOk());
    m_nextReaderSearch =
        std::min(m_nextReaderSearch, isFirstStoreResult && ok ? now + m_settings.drawInterval : now + spread);
    sendStateToFollowers(now);
}

void fleet_node::recordTick(millis now)
{
    const millis gap = now - m_tickAt;
    m_previousTickAt = m_tickAt;
    m_tickAt = now;
    // Messages sent to a suspended VM are lost, and their retransmissions may arrive long after it resumes, so
    // the link to the upstream is replaced.
    if (m_phase == phase::Following && gap > m_settings.upstreamTimeout) {
        dropUpstream("stood_still", now);
    }
}

void fleet_node::tick(millis now)
{
    recordTick(now);
    updateStoreAvailability(now);
    if (m_phase == phase::Following) {
        checkUpstream(now);
    }
    if (m_phase == phase::Seeking && now >= m_redialAt) {
        restartSeedSearch(now);
    }
    if (m_phase == phase::Seeking) {
        drawToRead(now);
    }
    drawToLeaveUpstream(now);
    if (m_phase == phase::Reading && now >= m_nextReaderSearch && !isReadingFirstContents()) {
        searchForReader(now);
    }
    releaseUnconfirmed(now);
    dropUnresponsiveFollowers(now);
    sendReports(now);
    if (now >= m_nextHeartbeat || m_subtreeChanged) {
        m_nextHeartbeat = now + m_settings.heartbeatInterval;
        sendHeartbeat(now);
    }
}

std::vector<fleet_action> fleet_node::takeActions()
{
    return std::exchange(m_actions, {});
}

std::size_t fleet_node::fleetSize(millis now) const
{
    const std::uint32_t seen = std::max(m_fleetSize, now < m_recentLargestSizeUntil ? m_recentLargestSize : 1);
    return now < m_sizeEstimateUntil ? std::max(seen, initialSizeEstimate) : seen;
}

std::size_t fleet_node::possibleFleetSize(millis now) const
{
    const bool hearsNobody = m_fleetSize <= 1 && namesOthers();
    return hearsNobody ? std::max<std::size_t>(fleetSize(now), initialSizeEstimate) : fleetSize(now);
}

/** @return whether the settings name other processes, running or not. */
bool fleet_node::namesOthers() const
{
    return std::ranges::any_of(m_settings.seeds,
                               [this](const std::string &address) { return address != m_settings.address; });
}

bool fleet_node::hasResponsivePeer(millis now) const
{
    const millis late = m_settings.heartbeatInterval * 2;
    if (m_phase == phase::Following) {
        return now - m_upstreamReceivedAt < late;
    }
    return std::ranges::any_of(m_followers, [&](const auto &one) { return now - one.second.receivedAt < late; });
}

const store_view &fleet_node::view(std::string_view prefix) const
{
    return m_views.find(prefix)->second;
}

bool fleet_node::ownStoreOk() const
{
    return std::ranges::all_of(m_prefixReadOk, [](const auto &one) { return one.second; });
}

void fleet_node::sendMessage(link_id link, fleet_message message)
{
    m_actions.emplace_back(send_message_action {{link}, std::move(message)});
}

void fleet_node::recordFleetSize(std::uint32_t size, millis now)
{
    m_fleetSize = size;
    if (size >= m_recentLargestSize || now >= m_recentLargestSizeUntil) {
        m_recentLargestSize = size;
        m_recentLargestSizeUntil = now + largestSizeRetention;
    }
}

void fleet_node::addLogEvent(std::string_view event, std::string subject, millis upstreamSilence)
{
    m_actions.emplace_back(tree_event_action {event, std::move(subject), upstreamSilence});
}

} // namespace chivelock
