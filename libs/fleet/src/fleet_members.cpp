/**
 * @file
 * Members of the fleet. Each process sends the members of its subtree upstream and the members of the whole fleet to
 * its followers: the complete list first, then only changes.
 */

#include <fleet/fleet.h>

#include <algorithm>

namespace chivelock {

member_changes memberChangesBetween(std::span<const fleet_member> before, std::span<const fleet_member> after)
{
    member_changes changes;
    std::ranges::set_difference(after, before, std::back_inserter(changes.joined));
    std::ranges::set_difference(before, after, std::back_inserter(changes.left));
    return changes;
}

std::vector<fleet_member> applyMemberChanges(std::span<const fleet_member> before, const member_changes &changes)
{
    std::vector<fleet_member> left = changes.left;
    std::vector<fleet_member> joined = changes.joined;
    std::ranges::sort(left);
    std::ranges::sort(joined);
    std::vector<fleet_member> staying;
    std::ranges::set_difference(before, left, std::back_inserter(staying));
    std::vector<fleet_member> after;
    std::ranges::set_union(staying, joined, std::back_inserter(after));
    return after;
}

std::vector<fleet_member> fleet_node::subtreeMembers() const
{
    std::vector<fleet_member> members;
    if (!m_leaving) {
        members.push_back({m_settings.address, m_settings.zone});
    }
    for (const auto &[link, one] : m_followers) {
        std::ranges::copy(one.members, std::back_inserter(members));
    }
    std::ranges::sort(members);
    // A process that changed its upstream is in two subtrees until the old upstream notices.
    members.erase(std::unique(members.begin(), members.end()), members.end());
    members.resize(std::min(members.size(), m_settings.maxMembers));
    return members;
}

/** The root takes the members of the fleet from its followers; the others receive them from their upstream. */
void fleet_node::refreshMembers()
{
    if (m_phase == phase::Reading) {
        setMembers(subtreeMembers());
    }
}

void fleet_node::updateMembers(const upstream_state &state)
{
    if (!state.members.empty()) {
        std::vector<fleet_member> members = state.members;
        std::ranges::sort(members);
        setMembers(std::move(members));
    } else if (!state.changes.empty()) {
        setMembers(applyMemberChanges(*m_members, state.changes));
    }
}

void fleet_node::setMembers(std::vector<fleet_member> members)
{
    if (members.empty() || members == *m_members) {
        return;
    }
    m_members = std::make_shared<const std::vector<fleet_member>>(std::move(members));
    m_actions.emplace_back(members_action {*m_members});
}

} // namespace chivelock
