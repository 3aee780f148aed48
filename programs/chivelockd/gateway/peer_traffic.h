#pragma once

/**
 * @file
 * Bytes that this VM sends to others, by kind of message and by whether they leave its zone. Bytes between zones cost
 * callers' operators money and small VMs their links; without a count by kind nobody can say which message it was.
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

/** What a message between VMs carries. */
enum class peer_message_kind : std::uint8_t {
    WholeDocuments, ///< all that a prefix of the store holds
    DocumentChanges, ///< what changed there
    FleetState, ///< signs of life, and who follows whom
    FleetMembers, ///< the same with the list of VMs
    LeafReports,
    RequestNews, ///< what is held against requests
    HandedWork, ///< shards that another VM is to ask
    WorkProgress ///< what came of them
};

inline constexpr std::size_t peerMessageKinds = 8;

/** Where a message goes. */
enum class peer_distance : std::uint8_t {
    OwnZone,
    OtherZone,
    UnknownZone ///< the receiver is not among the VMs that are known
};

inline constexpr std::size_t peerDistances = 3;

[[nodiscard]] peer_message_kind kindOf(const fleet_message &message);

class peer_traffic
{
public:
    explicit peer_traffic(zone_name ownZone);

    /** Who is in which zone. */
    void setMembers(const std::vector<fleet_member> &members);

    /** @param peer IP number of the receiver. @param bytes of the frame, its length included. */
    void count(peer_message_kind kind, const std::string &peer, std::size_t bytes);

    /** @return bytes sent to other zones so far. */
    [[nodiscard]] std::uint64_t bytesToOtherZones() const;

    /** @return own zone, other zones and unknown ones, as "1200/3400/0". */
    [[nodiscard]] std::string bytesOf(peer_message_kind kind) const;

    /** One value for each kind and distance. */
    void write(std::vector<metric_value> &values) const;

private:
    [[nodiscard]] peer_distance distanceTo(const std::string &peer) const;

    zone_name m_ownZone;
    std::unordered_map<std::string, peer_distance> m_distances; ///< by IP number
    std::array<std::array<std::uint64_t, peerDistances>, peerMessageKinds> m_bytes {};
};

} // namespace chivelock
