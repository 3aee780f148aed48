/**
 * @file
 * What was deleted of late, told by both ends of a new link: a write that comes late looks like a new thing to whoever
 * has not heard of the deletion before it, and the store does not tell it to one that begins to read.
 */

#include <fleet/fleet.h>

#include <algorithm>

namespace chivelock {

namespace {

constexpr millis lateWriteLife(10000); // the latest write of what is gone, and until its entry lapses
constexpr std::size_t mostLateDeletions = 256; // some kilobytes

} // namespace

/** The lapses of the store's trouble are none: what is written after them is a return. */
void fleet_node::keepDeletions(const std::string &prefix, std::span<const store_item> news)
{
    forgetLateDeletions();
    for (const store_item &item : news) {
        if (item.deleted && !mayLapse()) {
            m_lateDeletions.push_back({prefix, item, m_tickAt});
        }
    }
    while (m_lateDeletions.size() > mostLateDeletions) {
        m_lateDeletions.pop_front();
    }
}

void fleet_node::forgetLateDeletions()
{
    std::erase_if(m_lateDeletions, [&](const auto &one) { return m_tickAt - one.heardAt > lateWriteLife; });
}

void fleet_node::tellPastDeletions(link_id link)
{
    forgetLateDeletions();
    for (const auto &[prefix, view] : m_views) {
        past_deletions told {prefix, {}};
        for (const late_deletion &one : m_lateDeletions) {
            if (one.prefix == prefix) {
                told.items.push_back(one.item);
            }
        }
        if (!told.items.empty()) {
            tell(link, std::move(told));
        }
    }
}

void fleet_node::onPastDeletions(link_id link, const past_deletions &told)
{
    const auto view = m_views.find(told.prefix);
    if (!isNeighbour(link) || view == m_views.end()) {
        return;
    }
    std::vector<store_item> news = view->second.applyPastDeletions(told.items);
    if (news.empty()) {
        return;
    }
    keepDeletions(told.prefix, news);
    past_deletions rest {told.prefix, {}};
    std::ranges::copy_if(news, std::back_inserter(rest.items), &store_item::deleted);
    std::vector<link_id> links = neighbours();
    std::erase(links, link);
    if (!links.empty()) {
        m_actions.emplace_back(tell_action {std::move(links), std::move(rest)});
    }
    m_actions.emplace_back(news_action {told.prefix, std::move(news)});
}

} // namespace chivelock
