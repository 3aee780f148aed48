#pragma once

/**
 * @file
 * Counts the bytes that this VM sends to other VMs, by kind of message and by whether they leave its zone. Traffic
 * between zones costs the callers' operators money and takes up the links of small VMs; the count by kind shows which
 * messages cause it.
 */

#include <fleet/fleet.h>
#include <metrics/metrics.h>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chivelock {

/** Kind of a message between VMs. */
enum class peer_message_kind : std::uint8_t {
    FullDocuments, ///< the complete contents of one prefix of the store
    DocumentChanges, ///< changes under one prefix of the store
    FleetState, ///< heartbeats, and messages about who follows whom
    FleetMembers, ///< the same messages, with the list of VMs or its changes
    LeafReports,
    RequestEvidence, ///< evidence about requests that crash leafs
    DelegatedWork, ///< shards that a helper is to ask
    WorkProgress ///< results for these shards
};

inline constexpr std::size_t peerMessageKinds = 8;

/** Zone of the receiver, relative to this VM's own. */
enum class peer_distance : std::uint8_t {
    OwnZone,
    OtherZone,
    UnknownZone ///< the receiver is not in the list of known VMs
};

inline constexpr std::size_t peerDistances = 3;

[[nodiscard]] peer_message_kind kindOf(const fleet_message &message);

class peer_traffic
{
public:
    explicit peer_traffic(zone_name ownZone);

    /** Sets the zone of each VM. */
    void setMembers(const std::vector<fleet_member> &members);

    /** @param peer IP address of the receiver. @param bytes size of the frame, including its length prefix. */
    void count(peer_message_kind kind, const std::string &peer, std::size_t bytes);

    /** @return bytes sent to other zones so far. */
    [[nodiscard]] std::uint64_t bytesToOtherZones() const;

    /** @return bytes to the own zone, other zones and unknown zones, as "1200/3400/0". */
    [[nodiscard]] std::string bytesOf(peer_message_kind kind) const;

    /** Appends one metric value for each kind and distance. */
    void write(std::vector<metric_value> &values) const;

private:
    [[nodiscard]] peer_distance distanceTo(const std::string &peer) const;

    zone_name m_ownZone;
    std::unordered_map<std::string, peer_distance> m_distances; ///< by IP address
    std::array<std::array<std::uint64_t, peerDistances>, peerMessageKinds> m_bytes {};
};

} // namespace chivelock
