#pragma once

/** @file Messages between the processes of the fleet and their encoding; a part of fleet.h. */

#include "store_view.h"

#include <base/base.h>
#include <leafs/leafs.h>
#include <quarantine/quarantine.h>

#include <tl/expected.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace chivelock {

/** Revision up to which a process knows one prefix. */
struct known_revision {
    std::string prefix;
    std::uint64_t revision = 0;
};

/** A process of the fleet. */
struct fleet_member {
    std::string address;
    zone_name zone;
    auto operator<=>(const fleet_member &) const = default;
};

/** Sent to a prospective upstream: asks it to accept the sender as a follower and to forward store changes to it. */
struct follow_request {
    std::string address; ///< at which the sender accepts followers
    zone_name zone; ///< of the sender
    bool readsStore = false; ///< the sender reads the store successfully; a receiver without the store may follow it
    std::uint32_t subtree = 1; ///< number of processes in the sender's subtree, itself included
    std::vector<known_revision> known;
    std::vector<fleet_member> members; ///< of the subtree
    bool isUnconfirmed = false; ///< the sender holds only what was read alone, see @ref fleet_node::isUnconfirmed
    bool acceptsParts = false; ///< the sender collects contents that come in several messages; older versions do not
};

/** Difference between a list of processes and the one that was sent before on the same link. */
struct member_changes {
    std::vector<fleet_member> joined;
    std::vector<fleet_member> left;

    [[nodiscard]] bool empty() const
    {
        return joined.empty() && left.empty();
    }
};

/** @pre both lists are sorted. */
[[nodiscard]] member_changes memberChangesBetween(std::span<const fleet_member> before,
                                                  std::span<const fleet_member> after);

/** @param before sorted. @return the list after the changes, sorted. */
[[nodiscard]] std::vector<fleet_member> applyMemberChanges(std::span<const fleet_member> before,
                                                           const member_changes &changes);

/** Heartbeat that a follower sends to its upstream. */
struct follow_heartbeat {
    std::uint32_t subtree = 1;
    member_changes changes; ///< of the subtree
    bool isUnconfirmed = false; ///< see @ref follow_request::isUnconfirmed
};

/** Heartbeat that an upstream sends to its followers, with the state of the store reader and of the path to it. */
struct upstream_state {
    bool accepted = false; ///< the receiver is a follower of the sender
    bool storeOk = false; ///< the root of the tree reads the store successfully
    bool starting = false; ///< the root has asked the store and waits for its first answer
    std::uint32_t fleetSize = 1;
    std::vector<std::string> path; ///< addresses from the root down to the sender
    std::vector<std::string> referrals; ///< addresses to ask instead, if not accepted
    std::vector<fleet_member> members; ///< of the whole fleet; empty if the message carries only changes
    member_changes changes; ///< of the fleet
    std::optional<millis> currentAsOf; ///< see @ref fleet_node::currentAsOf; encoded as an age, decoded negative
    bool isUnconfirmed = false; ///< the sender holds only what was read alone, see @ref fleet_node::isUnconfirmed
};

/** One item as a delta to the value that the receiver holds. */
struct item_patch {
    std::string key;
    std::uint64_t revision = 0;
    std::uint64_t baseRevision = 0; ///< revision of the value that the delta applies to
    std::uint64_t digest = 0; ///< of the complete new value
    std::uint32_t size = 0; ///< of the complete new value
    std::string bytes;
};

/** Sent to followers: changes or complete contents of one prefix. */
struct store_items {
    std::string prefix;
    bool whole = false; ///< complete contents of the prefix, not only changes
    std::uint64_t revision = 0;
    std::vector<store_item> items;
    std::vector<item_patch> patches;
    std::uint32_t part = 0; ///< position of this message among those of the same complete contents
    bool isUnfinished = false; ///< the next part follows; the receiver must not use this one before the last
};

/** Sent in both directions: reports of VMs about leafs. */
struct leaf_reports_message {
    std::vector<leaf_report> reports; ///< times are sent as ages and decoded as negative ages
};

/** Sent in both directions without delay: evidence of VMs about requests that crash leafs (queries of death). */
struct request_evidence_message {
    std::vector<request_evidence> requests; ///< times are sent as ages and decoded as negative ages
};

/** Recent deletions, sent by both ends of a new link. The store does not report them to a process that starts reading.
 */
struct recent_deletions {
    std::string prefix;
    std::vector<store_item> items;
};

using fleet_message = std::variant<follow_request,
                                   follow_heartbeat,
                                   upstream_state,
                                   store_items,
                                   leaf_reports_message,
                                   request_evidence_message,
                                   recent_deletions>;

/** Why bytes are not a message of the fleet. */
enum class fleet_wire_error : std::uint8_t {
    Malformed, ///< rejected by the FlatBuffers verifier
    DecompressionFailed, ///< compressed bytes that do not decompress to the declared size
    UnknownMessage
};

/** @return a complete frame: a four-byte little-endian length, then the message. */
[[nodiscard]] std::string encodeFleetFrame(const fleet_message &message);

/** @param payload one frame without its length prefix. */
[[nodiscard]] tl::expected<fleet_message, fleet_wire_error> decodeFleetPayload(std::span<const std::uint8_t> payload);

} // namespace chivelock
