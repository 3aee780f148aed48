/** @file Followers of this process: which it accepts, where it refers the others, and what it sends to them. */

#include <fleet/fleet.h>

#include <algorithm>

namespace chivelock {

namespace {

constexpr double followerTimeoutHeartbeats = 6; // without a message from a follower until it is dropped
constexpr double liveFollowerHeartbeats = 2.5; // without a message until another follower of the same zone is accepted
// Links whose requests wait while this process seeks an upstream: a quarter of a VM's descriptors.
constexpr std::size_t maxWaitingFollowers = 1024;

} // namespace

follow_request fleet_node::ownRequest() const
{
    follow_request request;
    request.address = m_settings.address;
    request.zone = m_settings.zone;
    request.readsStore = m_phase == phase::Reading && ownStoreOk();
    request.subtree = subtree();
    request.members = subtreeMembers();
    request.isUnconfirmed = m_awaitsConfirmation;
    request.acceptsParts = true;
    for (const auto &[prefix, view] : m_views) {
        request.known.push_back({prefix, view.known() ? view.revision() : 0});
    }
    return request;
}

/**
 * The root accepts one follower of each other zone besides those of its own zone, so that each store change enters a
 * zone once. Without this rule, five of six links crossed zones in a fleet with six zones, and a configuration of 80 kB
 * was sent between zones 245 times for each change.
 */
bool fleet_node::mayFollow(const follow_request &request, millis now) const
{
    if (m_phase == phase::Following && std::ranges::count(m_upstreamState.path, request.address) > 0) {
        return false;
    }
    const auto isInRequestZone = [&](const auto &one) {
        return one.second.zone == request.zone && !one.second.isLeaving();
    };
    if (request.zone == m_settings.zone) {
        return static_cast<std::size_t>(std::ranges::count_if(m_followers, isInRequestZone)) < m_settings.fanOut;
    }
    const millis liveSince = now - m_settings.heartbeatInterval * liveFollowerHeartbeats;
    return m_phase == phase::Reading && std::ranges::none_of(m_followers, [&](const auto &one) {
               return isInRequestZone(one) && one.second.receivedAt >= liveSince;
           });
}

/**
 * @return addresses to ask instead: followers in the zone of the request, those with free capacity if there are any;
 * without such followers the root of the tree.
 */
std::vector<std::string> fleet_node::referralsFor(const follow_request &request) const
{
    std::vector<std::string> withCapacity;
    std::vector<std::string> others;
    for (const auto &[link, one] : m_followers) {
        if (one.zone == request.zone && !one.isLeaving()) {
            (one.subtree <= m_settings.fanOut ? withCapacity : others).push_back(one.address);
        }
    }
    if (withCapacity.empty() && others.empty() && m_phase == phase::Following && !m_upstreamState.path.empty()) {
        return {m_upstreamState.path.front()};
    }
    return withCapacity.empty() ? others : withCapacity;
}

void fleet_node::refuse(link_id link, const follow_request &request)
{
    upstream_state refusal = ownState(false);
    refusal.referrals = referralsFor(request);
    sendMessage(link, std::move(refusal));
}

void fleet_node::onFollow(link_id link, follow_request request, millis now)
{
    std::erase_if(m_followers, [&](const auto &one) { return one.second.address == request.address; });
    if (m_leaving) {
        refuse(link, request);
        return;
    }
    dialReaderIfNeeded(request);
    if (m_phase == phase::Seeking) {
        upstream_state wait = ownState(false);
        wait.starting = m_waiting.size() < maxWaitingFollowers;
        if (wait.starting) {
            m_waiting.push_back({link, std::move(request)});
        }
        sendMessage(link, std::move(wait));
        return;
    }
    if (!mayFollow(request, now)) {
        refuse(link, request);
        return;
    }
    dropCandidateBehind(request.address);
    std::ranges::sort(request.members);
    const bool hasContents = !request.isUnconfirmed
        && std::ranges::any_of(request.known, [](const known_revision &one) { return one.revision > 0; });
    m_followers[link] = {request.address,
                         request.zone,
                         request.subtree,
                         now,
                         std::move(request.members),
                         m_members,
                         hasContents,
                         request.isUnconfirmed,
                         request.acceptsParts,
                         {}};
    m_subtreeChanged = true;
    upstream_state acceptance = ownState(true);
    acceptance.members = *m_members;
    sendMessage(link, std::move(acceptance));
    // Before the configuration, since the follower serves callers once it has that.
    m_actions.emplace_back(link_joined_action {link});
    sendMissingItems(link, request);
    sendRecentDeletions(link);
}

/** Gives up following a process that follows this one now. Of two seeds that ask each other at the same time, the one
 *  that is listed first does so. */
void fleet_node::dropCandidateBehind(const std::string &address)
{
    const auto isSame = [&](const auto &one) { return one.second.address == address; };
    const auto candidate = std::ranges::find_if(m_candidates, isSame);
    const std::vector<std::string> before = followableSeeds();
    if (candidate == m_candidates.end() || std::ranges::find(before, address) != before.end()) {
        return;
    }
    m_actions.emplace_back(close_link_action {candidate->first});
    m_candidates.erase(candidate);
}

/** Processes the follow requests that arrived while this process was seeking an upstream. */
void fleet_node::processWaitingRequests(millis now)
{
    for (waiting_follower &one : std::exchange(m_waiting, {})) {
        onFollow(one.link, std::move(one.request), now);
    }
}

/**
 * Dials the sender of a follow request if it reads the store and this process has no access to it. Processes that
 * cannot reach the store thereby find a reader through the seeds, and their followers are informed at once.
 */
void fleet_node::dialReaderIfNeeded(const follow_request &request)
{
    if (request.readsStore && !storeOk()) {
        dial(request.address);
    }
}

void fleet_node::onHeartbeat(link_id link, const follow_heartbeat &heartbeat, millis now)
{
    const auto found = m_followers.find(link);
    if (found == m_followers.end()) {
        return;
    }
    follower &from = found->second;
    m_subtreeChanged = m_subtreeChanged || from.subtree != heartbeat.subtree || !heartbeat.changes.empty();
    from.subtree = heartbeat.subtree;
    from.receivedAt = now;
    const bool wasUnconfirmed = std::exchange(from.isUnconfirmed, heartbeat.isUnconfirmed);
    from.hasContents = from.hasContents || (wasUnconfirmed && !from.isUnconfirmed);
    if (from.hasContents) {
        onJoined(now); // only now: one that has asked may still prefer another process, and then tells nothing
    }
    from.members = applyMemberChanges(from.members, heartbeat.changes);
    sendNextPart(link);
}

void fleet_node::sendHeartbeatUpstream()
{
    auto members = std::make_shared<const std::vector<fleet_member>>(subtreeMembers());
    sendMessage(
        m_upstream,
        follow_heartbeat {subtree(), memberChangesBetween(*m_membersSentUpstream, *members), m_awaitsConfirmation});
    m_membersSentUpstream = std::move(members);
}

void fleet_node::sendHeartbeat(millis now)
{
    m_subtreeChanged = false;
    if (m_phase == phase::Following) {
        sendHeartbeatUpstream();
    } else if (m_phase == phase::Reading) {
        recordFleetSize(subtree(), now);
        if (now >= m_nextMemberUpdate) {
            // Each change goes to the whole fleet, so changes are sent in batches.
            m_nextMemberUpdate = now + m_settings.heartbeatInterval;
            refreshMembers();
        }
    }
    // Usually advanceFreshness sends the state to followers; this covers the times without progress.
    const double maxIdleHeartbeats = m_phase == phase::Following ? 1.5 : 0.75;
    if (now - m_stateSentAt >= m_settings.heartbeatInterval * maxIdleHeartbeats) {
        sendStateToFollowers(now);
    }
}

/**
 * Sends one message to all followers that were last sent the same member list: encoding a message for each follower
 * costs a small VM more than sending it.
 */
void fleet_node::sendStateToFollowers(millis now)
{
    m_stateSentAt = now;
    m_sentAsOf = m_currentAsOf;
    std::map<member_list, std::vector<link_id>> linksByKnownMembers;
    for (auto &[link, one] : m_followers) {
        linksByKnownMembers[std::exchange(one.sentMembers, m_members)].push_back(link);
    }
    for (auto &[knownMembers, links] : linksByKnownMembers) {
        upstream_state state = ownState(true);
        // The state of a seeking process is not based on an answer of the store.
        state.starting = state.starting || m_phase == phase::Seeking;
        state.currentAsOf = canConfirmFreshness() ? std::optional(m_currentAsOf - now) : std::nullopt;
        state.changes = knownMembers == m_members ? member_changes() : memberChangesBetween(*knownMembers, *m_members);
        m_actions.emplace_back(send_message_action {std::move(links), std::move(state)});
    }
}

void fleet_node::dropUnresponsiveFollowers(millis now)
{
    const millis limit = m_settings.heartbeatInterval * followerTimeoutHeartbeats;
    for (auto at = m_followers.begin(); at != m_followers.end();) {
        if (now - at->second.receivedAt > limit) {
            m_actions.emplace_back(close_link_action {at->first});
            at = m_followers.erase(at);
            m_subtreeChanged = true;
        } else {
            ++at;
        }
    }
}

upstream_state fleet_node::ownState(bool accepted) const
{
    upstream_state state;
    state.accepted = accepted;
    const bool follows = m_phase == phase::Following;
    // A seeking process does not know the state of the store; it reports success so that its followers do not search as
    // well.
    state.storeOk = follows ? m_upstreamState.storeOk : m_phase == phase::Seeking || ownStoreOk();
    state.starting = follows ? m_upstreamState.starting : m_starting;
    state.fleetSize = m_fleetSize;
    state.isUnconfirmed = m_awaitsConfirmation;
    state.path = follows ? m_upstreamState.path : std::vector<std::string>();
    state.path.push_back(m_settings.address);
    return state;
}

std::uint32_t fleet_node::subtree() const
{
    std::uint32_t size = 1;
    for (const auto &[link, one] : m_followers) {
        size += one.subtree;
    }
    return size;
}

} // namespace chivelock
