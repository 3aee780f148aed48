/**
 * @file
 * Distribution of evidence about queries of death (requests that crash leafs) through the tree, in both directions. It
 * is sent without delay, since the next attempt may reach another VM within milliseconds. A process that joins receives
 * all evidence: otherwise a VM that has just started or was cut off would let such a request through. Nothing is sent
 * while there is no new evidence.
 */

#include <fleet/fleet.h>

#include <algorithm>

namespace chivelock {

namespace {

/** Converts the times to negative ages, as the codec expects them. */
request_evidence_message withWireAges(std::span<const request_evidence> requests, millis now)
{
    request_evidence_message message;
    message.requests.assign(requests.begin(), requests.end());
    for (request_evidence &one : message.requests) {
        one.answeredAt = one.answeredAt - now;
        std::ranges::for_each(one.ends, [&](leaf_crash &end) { end.at = end.at - now; });
    }
    return message;
}

} // namespace

bool fleet_node::isNeighbour(link_id link) const
{
    const bool upstream = link == m_upstream && m_phase == phase::Following;
    return upstream || m_followers.contains(link);
}

void fleet_node::onRequestEvidence(link_id link, request_evidence_message message, millis now)
{
    if (!isNeighbour(link)) {
        return;
    }
    for (request_evidence &one : message.requests) {
        one.answeredAt = one.answeredAt + now;
        std::ranges::for_each(one.ends, [&](leaf_crash &end) { end.at = end.at + now; });
    }
    m_actions.emplace_back(requests_action {link, std::move(message.requests)});
}

void fleet_node::sendRequestEvidence(std::span<const request_evidence> requests, link_id except, millis now)
{
    std::vector<link_id> links = neighbours();
    std::erase(links, except);
    if (!requests.empty() && !links.empty()) {
        m_actions.emplace_back(send_message_action {std::move(links), withWireAges(requests, now)});
    }
}

void fleet_node::sendAllRequestEvidence(link_id link, std::span<const request_evidence> requests, millis now)
{
    if (!requests.empty() && isNeighbour(link)) {
        sendMessage(link, withWireAges(requests, now));
    }
}

} // namespace chivelock
