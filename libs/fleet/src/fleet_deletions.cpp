/**
 * @file
 * Recent deletions, sent by both ends of a new link. To a process that does not know of a deletion, a late write of the
 * deleted entry looks like a new entry, and the store does not report past deletions to a process that starts reading.
 */

#include <fleet/fleet.h>

#include <algorithm>

namespace chivelock {

namespace {

// Covers the latest write after a deletion and the time until that entry expires.
constexpr millis deletionRetention(10000);
constexpr std::size_t maxRecentDeletions = 256; // some kilobytes

} // namespace

/**
 * Does not record entries that may have expired because the store was unavailable: a later write restores such an entry
 * and is no late write.
 */
void fleet_node::recordDeletions(const std::string &prefix, std::span<const store_item> newItems)
{
    dropExpiredDeletions();
    for (const store_item &item : newItems) {
        if (item.deleted && !mayHaveExpiredEntries()) {
            m_recentDeletions.push_back({prefix, item, m_tickAt});
        }
    }
    while (m_recentDeletions.size() > maxRecentDeletions) {
        m_recentDeletions.pop_front();
    }
}

void fleet_node::dropExpiredDeletions()
{
    std::erase_if(m_recentDeletions, [&](const auto &one) { return m_tickAt - one.receivedAt > deletionRetention; });
}

void fleet_node::sendRecentDeletions(link_id link)
{
    dropExpiredDeletions();
    for (const auto &[prefix, view] : m_views) {
        recent_deletions message {prefix, {}};
        for (const recorded_deletion &one : m_recentDeletions) {
            if (one.prefix == prefix) {
                message.items.push_back(one.item);
            }
        }
        if (!message.items.empty()) {
            sendMessage(link, std::move(message));
        }
    }
}

void fleet_node::onRecentDeletions(link_id link, const recent_deletions &message)
{
    const auto view = m_views.find(message.prefix);
    if (!isNeighbour(link) || view == m_views.end()) {
        return;
    }
    std::vector<store_item> newItems = view->second.applyRecentDeletions(message.items);
    if (newItems.empty()) {
        return;
    }
    recordDeletions(message.prefix, newItems);
    recent_deletions rest {message.prefix, {}};
    std::ranges::copy_if(newItems, std::back_inserter(rest.items), &store_item::deleted);
    std::vector<link_id> links = neighbours();
    std::erase(links, link);
    if (!links.empty()) {
        m_actions.emplace_back(send_message_action {std::move(links), std::move(rest)});
    }
    useChanges({message.prefix, std::move(newItems)});
}

} // namespace chivelock
