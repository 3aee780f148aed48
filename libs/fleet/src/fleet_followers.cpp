/** @file Those who follow this process: whom it takes, where it sends the others, what it tells them. */

#include <fleet/fleet.h>

#include <algorithm>

namespace chivelock {

namespace {

constexpr double silentFollowerBeats = 6; // after which it is dropped
constexpr double liveFollowerBeats = 2.5; // after which another one of its zone is taken beside it
constexpr std::size_t mostWaiting = 1024; // links that ask while nothing can be said: a quarter of a VM's descriptors

} // namespace

follow_request fleet_node::ownRequest() const
{
    follow_request request;
    request.address = m_settings.address;
    request.zone = m_settings.zone;
    request.readsStore = m_phase == phase::Reading && ownStoreOk();
    request.subtree = subtree();
    request.members = subtreeMembers();
    for (const auto &[prefix, view] : m_views) {
        request.known.push_back({prefix, view.known() ? view.revision() : 0});
    }
    return request;
}

/**
 * The process at the top takes one follower of each other zone, and its own zone's beside them: all that the store says
 * crosses into a zone once. Without that five links in six crossed zones with six zones, and a configuration of 80 kB
 * went between zones 245 times for each change.
 */
bool fleet_node::mayFollow(const follow_request &request, millis now) const
{
    if (m_phase == phase::Following && std::ranges::count(m_upstreamState.path, request.address) > 0) {
        return false;
    }
    const auto ofItsZone = [&](const auto &one) { return one.second.zone == request.zone && !one.second.isLeaving(); };
    if (request.zone == m_settings.zone) {
        return static_cast<std::size_t>(std::ranges::count_if(m_followers, ofItsZone)) < m_settings.fanOut;
    }
    const millis liveSince = now - m_settings.beat * liveFollowerBeats;
    return m_phase == phase::Reading && std::ranges::none_of(m_followers, [&](const auto &one) {
               return ofItsZone(one) && one.second.heardAt >= liveSince;
           });
}

/** @return whom to ask instead: followers of the same zone, with room if any has, or whoever is at the top. */
std::vector<std::string> fleet_node::referralsFor(const follow_request &request) const
{
    std::vector<std::string> withRoom;
    std::vector<std::string> others;
    for (const auto &[link, one] : m_followers) {
        if (one.zone == request.zone && !one.isLeaving()) {
            (one.subtree <= m_settings.fanOut ? withRoom : others).push_back(one.address);
        }
    }
    if (withRoom.empty() && others.empty() && m_phase == phase::Following && !m_upstreamState.path.empty()) {
        return {m_upstreamState.path.front()};
    }
    return withRoom.empty() ? others : withRoom;
}

void fleet_node::refuse(link_id link, const follow_request &request)
{
    upstream_state refusal = ownState(false);
    refusal.elsewhere = referralsFor(request);
    tell(link, std::move(refusal));
}

void fleet_node::onFollow(link_id link, follow_request request, millis now)
{
    std::erase_if(m_followers, [&](const auto &one) { return one.second.address == request.address; });
    if (m_leaving) {
        refuse(link, request);
        return;
    }
    noticeReader(request);
    if (m_phase == phase::Seeking) {
        upstream_state wait = ownState(false);
        wait.starting = m_waiting.size() < mostWaiting;
        if (wait.starting) {
            m_waiting.push_back({link, std::move(request)});
        }
        tell(link, std::move(wait));
        return;
    }
    if (!mayFollow(request, now)) {
        refuse(link, request);
        return;
    }
    std::ranges::sort(request.members);
    m_followers[link] = {request.address, request.zone, request.subtree, now, std::move(request.members), m_members};
    m_subtreeChanged = true;
    upstream_state welcome = ownState(true);
    welcome.members = *m_members;
    tell(link, std::move(welcome));
    m_actions.emplace_back(greet_action {link}); // before the configuration, with which it begins to serve
    sendMissing(link, request);
    tellPastDeletions(link);
}

/** Those who asked while this process itself was looking. */
void fleet_node::answerWaiting(millis now)
{
    for (waiting_follower &one : std::exchange(m_waiting, {})) {
        onFollow(one.link, std::move(one.request), now);
    }
}

/** A process without the store follows one that reads it, whoever that is: those who can't reach the store find it
 *  through the seeds, and whoever is below is told at once. */
void fleet_node::noticeReader(const follow_request &request)
{
    if (request.readsStore && !storeOk()) {
        dial(request.address);
    }
}

void fleet_node::onBeat(link_id link, const follow_beat &sign, millis now)
{
    const auto found = m_followers.find(link);
    if (found == m_followers.end()) {
        return;
    }
    follower &from = found->second;
    m_subtreeChanged = m_subtreeChanged || from.subtree != sign.subtree || !sign.changes.empty();
    from.subtree = sign.subtree;
    from.heardAt = now;
    from.members = applied(from.members, sign.changes);
}

void fleet_node::beat(millis now)
{
    m_subtreeChanged = false;
    if (m_phase == phase::Following) {
        auto members = std::make_shared<const std::vector<fleet_member>>(subtreeMembers());
        tell(m_upstream, follow_beat {subtree(), differenceOf(*m_toldUpstream, *members)});
        m_toldUpstream = std::move(members);
    } else if (m_phase == phase::Reading) {
        noteSize(subtree(), now);
        if (now >= m_nextMembers) {
            m_nextMembers = now + m_settings.beat; // each change reaches all of the fleet: not one by one
            refreshMembers();
        }
    }
    // Followers are told with what is heard, see noteCurrent; this is for when nothing is.
    const double quietBeats = m_phase == phase::Following ? 1.5 : 0.75;
    if (now - m_toldAt >= m_settings.beat * quietBeats) {
        tellFollowers(now);
    }
}

/** One message for all who know the same of the fleet: encoding it anew for each costs a small VM more than the way. */
void fleet_node::tellFollowers(millis now)
{
    m_toldAt = now;
    m_toldAsOf = m_asOf;
    std::map<member_list, std::vector<link_id>> byKnowledge;
    for (auto &[link, one] : m_followers) {
        byKnowledge[std::exchange(one.told, m_members)].push_back(link);
    }
    for (auto &[told, links] : byKnowledge) {
        upstream_state state = ownState(true);
        state.starting = state.starting || m_phase == phase::Seeking; // no answer of the store stands behind its word
        state.currentAsOf = mayVouch() ? std::optional(m_asOf - now) : std::nullopt;
        state.changes = told == m_members ? member_changes() : differenceOf(*told, *m_members);
        m_actions.emplace_back(tell_action {std::move(links), std::move(state)});
    }
}

void fleet_node::dropSilentFollowers(millis now)
{
    const millis limit = m_settings.beat * silentFollowerBeats;
    for (auto at = m_followers.begin(); at != m_followers.end();) {
        if (now - at->second.heardAt > limit) {
            m_actions.emplace_back(hang_up_action {at->first});
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
    // One that seeks does not know; those below need not look as well.
    state.storeOk = follows ? m_upstreamState.storeOk : m_phase == phase::Seeking || ownStoreOk();
    state.starting = follows ? m_upstreamState.starting : m_starting;
    state.fleetSize = m_size;
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
