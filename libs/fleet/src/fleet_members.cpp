/** @file Who the fleet is, as the tree tells: up what is below, down the whole. */

#include <fleet/fleet.h>

#include <algorithm>

namespace chivelock {

std::vector<fleet_member> fleet_node::subtreeMembers() const
{
    std::vector<fleet_member> members = {{m_settings.address, m_settings.zone}};
    for (const auto &[link, one] : m_followers) {
        std::ranges::copy(one.members, std::back_inserter(members));
    }
    std::ranges::sort(members);
    members.resize(std::min(members.size(), m_settings.mostMembers));
    return members;
}

/** The process at the top knows the fleet by its followers; the others hear of it from above. */
void fleet_node::refreshMembers()
{
    if (m_phase == phase::Reading) {
        setMembers(subtreeMembers());
    }
}

void fleet_node::setMembers(std::vector<fleet_member> members)
{
    if (members.empty() || members == m_members) {
        return;
    }
    m_members = std::move(members);
    for (auto &[link, one] : m_followers) {
        one.membersTold = false;
    }
    m_actions.emplace_back(members_action {m_members});
}

} // namespace chivelock
