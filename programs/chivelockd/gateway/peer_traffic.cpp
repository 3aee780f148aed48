#include "peer_traffic.h"

#include "addresses.h"

#include <numeric>

namespace chivelock {

namespace {

/** Label values of the metric, by kind and distance. */
constexpr std::array<std::array<std::string_view, peerDistances>, peerMessageKinds> labels = {{
    {"whole_documents/own_zone", "whole_documents/other_zone", "whole_documents/unknown_zone"},
    {"document_changes/own_zone", "document_changes/other_zone", "document_changes/unknown_zone"},
    {"fleet_state/own_zone", "fleet_state/other_zone", "fleet_state/unknown_zone"},
    {"fleet_members/own_zone", "fleet_members/other_zone", "fleet_members/unknown_zone"},
    {"leaf_reports/own_zone", "leaf_reports/other_zone", "leaf_reports/unknown_zone"},
    {"request_news/own_zone", "request_news/other_zone", "request_news/unknown_zone"},
    {"handed_work/own_zone", "handed_work/other_zone", "handed_work/unknown_zone"},
    {"work_progress/own_zone", "work_progress/other_zone", "work_progress/unknown_zone"},
}};

struct message_kind_visitor {
    peer_message_kind operator()(const follow_request &message) const
    {
        return message.members.size() > 1 ? peer_message_kind::FleetMembers : peer_message_kind::FleetState;
    }

    peer_message_kind operator()(const follow_heartbeat &message) const
    {
        return message.changes.empty() ? peer_message_kind::FleetState : peer_message_kind::FleetMembers;
    }

    peer_message_kind operator()(const upstream_state &message) const
    {
        const bool hasMembers = !message.members.empty() || !message.changes.empty();
        return hasMembers ? peer_message_kind::FleetMembers : peer_message_kind::FleetState;
    }

    peer_message_kind operator()(const store_items &message) const
    {
        return message.whole ? peer_message_kind::FullDocuments : peer_message_kind::DocumentChanges;
    }

    peer_message_kind operator()(const recent_deletions &) const
    {
        return peer_message_kind::DocumentChanges;
    }

    peer_message_kind operator()(const leaf_reports_message &) const
    {
        return peer_message_kind::LeafReports;
    }

    peer_message_kind operator()(const request_evidence_message &) const
    {
        return peer_message_kind::RequestEvidence;
    }
};

} // namespace

peer_message_kind kindOf(const fleet_message &message)
{
    return std::visit(message_kind_visitor {}, message);
}

peer_traffic::peer_traffic(zone_name ownZone)
    : m_ownZone(std::move(ownZone))
{
}

void peer_traffic::setMembers(const std::vector<fleet_member> &members)
{
    m_distances.clear();
    for (const fleet_member &one : members) {
        m_distances[std::string(hostOf(one.address))] =
            one.zone == m_ownZone ? peer_distance::OwnZone : peer_distance::OtherZone;
    }
}

peer_distance peer_traffic::distanceTo(const std::string &peer) const
{
    const auto found = m_distances.find(peer);
    return found == m_distances.end() ? peer_distance::UnknownZone : found->second;
}

void peer_traffic::count(peer_message_kind kind, const std::string &peer, std::size_t bytes)
{
    m_bytes[static_cast<std::size_t>(kind)][static_cast<std::size_t>(distanceTo(peer))] += bytes;
}

std::uint64_t peer_traffic::bytesToOtherZones() const
{
    return std::accumulate(m_bytes.begin(), m_bytes.end(), std::uint64_t {0}, [](std::uint64_t sum, const auto &kind) {
        return sum + kind[static_cast<std::size_t>(peer_distance::OtherZone)];
    });
}

std::string peer_traffic::bytesOf(peer_message_kind kind) const
{
    const auto &bytes = m_bytes[static_cast<std::size_t>(kind)];
    return std::to_string(bytes[0]) + "/" + std::to_string(bytes[1]) + "/" + std::to_string(bytes[2]);
}

void peer_traffic::write(std::vector<metric_value> &values) const
{
    for (std::size_t kind = 0; kind < peerMessageKinds; ++kind) {
        for (std::size_t distance = 0; distance < peerDistances; ++distance) {
            values.push_back({"chivelock_peer_bytes_total",
                              "Bytes sent to other VMs, by kind of message and distance.",
                              static_cast<double>(m_bytes[kind][distance]),
                              labels[kind][distance]});
        }
    }
}

} // namespace chivelock
