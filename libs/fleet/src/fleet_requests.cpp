/**
 * @file
 * What VMs found out about requests that end leafs, on its way through the tree, in both directions. It is told at
 * once, since the next attempt may be at another VM within milliseconds, and whole to whoever joins: a VM that starts
 * or was cut off would be the one that lets such a request through. Nothing is sent while nothing is found out.
 */

#include <fleet/fleet.h>

#include <algorithm>

namespace chivelock {

namespace {

/** As they go on the wire: how long ago. */
request_news withAges(std::span<const request_evidence> requests, millis now)
{
    request_news news;
    news.requests.assign(requests.begin(), requests.end());
    for (request_evidence &one : news.requests) {
        one.answeredAt = one.answeredAt - now;
        std::ranges::for_each(one.ends, [&](leaf_end &end) { end.at = end.at - now; });
    }
    return news;
}

} // namespace

bool fleet_node::isNeighbour(link_id link) const
{
    const bool upstream = link == m_upstream && m_phase == phase::Following;
    return upstream || m_followers.contains(link);
}

void fleet_node::onRequestNews(link_id link, request_news news, millis now)
{
    if (!isNeighbour(link)) {
        return;
    }
    for (request_evidence &one : news.requests) {
        one.answeredAt = one.answeredAt + now;
        std::ranges::for_each(one.ends, [&](leaf_end &end) { end.at = end.at + now; });
    }
    m_actions.emplace_back(requests_action {link, std::move(news.requests)});
}

void fleet_node::tellRequests(std::span<const request_evidence> requests, link_id except, millis now)
{
    std::vector<link_id> links = neighbours();
    std::erase(links, except);
    if (!requests.empty() && !links.empty()) {
        m_actions.emplace_back(tell_action {std::move(links), withAges(requests, now)});
    }
}

void fleet_node::greet(link_id link, std::span<const request_evidence> requests, millis now)
{
    if (!requests.empty() && isNeighbour(link)) {
        tell(link, withAges(requests, now));
    }
}

} // namespace chivelock
