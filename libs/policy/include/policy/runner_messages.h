#pragma once

/** @file Requests and reports that the runner receives, and actions that it returns; a part of policy.h. */

#include <base/base.h>
#include <topology/topology.h>
#include <wire/wire.h>

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace chivelock {

/** Identifies one request to a leaf within this process. */
using call_id = std::uint64_t;

/** Action: send this request to the leaf. */
struct leaf_call {
    call_id id = 0;
    leaf_id leaf;
    std::string requestId;
    service_name service;
    shard_id shard;
    snapshot_id snapshot;
    map_version version;
    urgency priority = urgency::Ordinary;
    std::uint32_t maxRows = 0;
    std::shared_ptr<const std::string> body;
    millis deadline; ///< instant; the leaf receives the time that remains at the send
    millis notAfter; ///< instant; a send delayed past it, for example by a process pause, must be dropped
    bool once = false; ///< non-idempotent: the lower layers must not resend it on their own
};

/** Action: cancel the request at the leaf, and report how it ended. */
struct leaf_cancel {
    call_id id = 0;
    leaf_id leaf;
};

/** Action: request the health of the leaf. */
struct leaf_probe {
    leaf_id leaf;
    millis askedAt; ///< instant; copied into the @ref health_report
};

/** Action: send the result of a shard to the root. */
struct runner_reply {
    vm_id to;
    shard_reply reply;
};

/** Action: confirm to the root that the run was received or is in progress. */
struct runner_accept {
    vm_id to;
    run_accepted accepted;
};

/** Action: notify the peers that a leaf is leaving. */
struct leaving_leaf_report {
    leaving_leaf leaf;
};

/** Action: report the result of a non-idempotent request. */
struct at_most_once_result {
    std::uint64_t atMostOnceId = 0;
    shard_status status = shard_status::Ok;
    bool mayHaveRun = false; ///< false only if proven: never sent, or refused by the leaf itself
    shard_reply reply;
};

using runner_action = std::
    variant<leaf_call, leaf_cancel, leaf_probe, runner_reply, runner_accept, leaving_leaf_report, at_most_once_result>;

/** How one request to a leaf ended. */
enum class call_status : std::uint8_t {
    Ok,
    NotSent, ///< proven not to have reached the leaf
    Shed, ///< refused by the leaf: overloaded
    Leaving, ///< refused by the leaf: it is leaving
    SnapshotGone, ///< refused by the leaf: it does not hold the snapshot or map version
    Cancelled, ///< dropped by the leaf after a @ref leaf_cancel
    Failed ///< any other failure; the leaf may have run the request
};

/** A leaf's reply to one request. */
struct leaf_reply {
    call_id id = 0;
    call_status status = call_status::Failed;
    shard_id shard;
    snapshot_id snapshot;
    map_version version;
    snapshot_id heldSnapshot; ///< newest snapshot that the leaf holds, with @ref call_status::SnapshotGone
    bool announcesLeaving = false; ///< the leaf answered, and announces that it is leaving
    std::uint64_t incarnation = 0;
    millis retryAfter;
    std::vector<result_row> rows;
};

/** A leaf's report of its own health. The load that a leaf reports is not trusted, and not part of it. */
struct health_report {
    leaf_id leaf;
    millis askedAt; ///< from @ref leaf_probe; the report confirms the leaf's health as of this time, not of its arrival
    bool reachable = false;
    bool serving = false;
    bool cold = false;
    bool leaving = false;
    std::uint64_t incarnation = 0;
};

/** A non-idempotent request for exactly one shard; it runs at most once. */
struct at_most_once_request {
    std::uint64_t atMostOnceId = 0;
    std::string requestId;
    service_name service;
    shard_id shard;
    snapshot_id snapshot;
    map_version version;
    urgency priority = urgency::Ordinary;
    std::uint32_t maxRows = 0;
    std::shared_ptr<const std::string> body;
    millis deadline; ///< instant
};

} // namespace chivelock
