#pragma once

/** @file Work that one VM delegates to another and the progress reports on it; a part of gateway.h. */

#include <base/base.h>
#include <placement/placement.h>
#include <quarantine/quarantine.h>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <vector>

namespace chivelock {

/** Another VM of the fleet that can be reached now and accepts delegated work. */
struct helper_vm {
    std::string address;
    zone_name zone;
    std::size_t rank = 0; ///< position among the VMs of its zone; equal at all VMs once updates have arrived
};

/** Rank of work from a VM whose version sends none. */
inline constexpr std::uint32_t unknownRank = std::numeric_limits<std::uint32_t>::max();

/** Identifies one piece of delegated work; unique within the VM that delegates it. */
using delegation_id = std::uint64_t;

/**
 * Work for another VM: send the request to one leaf of each shard, at most once. A request to a second leaf is
 * delegated as separate work, for which the delegating VM spends an attempt and a part of its retry budget when it
 * delegates it. Only the delegating VM counts how many leafs may run a request, so the count stays correct whichever
 * messages between the two VMs are lost.
 */
struct delegated_work {
    std::string route; ///< name; both VMs look up their route latency by it
    request_fingerprint key;
    attempt_tag attempt = 0; ///< the same on both VMs, so that a leaf crash reported by both counts once
    std::vector<service_name> shards;
    std::vector<region_name> homeRegions; ///< regions whose leafs may be asked; empty: all
    std::size_t topRecords = 0;
    std::uint32_t rank = unknownRank; ///< priority of the route; 0 is the most urgent
    millis objective; ///< target latency of the route
    millis firstReportIn; ///< time until the first progress report is due, even if no shard has answered
    millis cutoffIn; ///< time until all parts received so far are reported; later ones are reported as they arrive
    millis limitIn; ///< time after which results are useless
    std::vector<std::string> triedLeafs; ///< ids of leafs of these shards that are not asked again
    bool alone = false; ///< each shard is reported separately, because another VM may deliver some of them first
};

/** A shard whose part has been received. */
struct delegated_part {
    std::uint32_t shard = 0; ///< index into @ref delegated_work::shards
    std::string stamp; ///< the leaf's digest of the part
};

/** A shard for which the helper stopped trying. */
struct lost_shard {
    std::uint32_t shard = 0;
    bool mayHaveRun = false; ///< a leaf may have run the request
    bool reachedLeaf = false; ///< a leaf received the request, even if it refused it
    bool leafCrashed = false; ///< the leaf crashed while it ran the request
    std::string leafId; ///< of the last leaf that the request was sent to; empty if none
};

/** A shard whose leaf has not answered yet. */
struct pending_shard {
    std::uint32_t shard = 0;
    std::string leafId;
};

/** What has changed since the previous progress report. */
struct delegated_progress {
    std::vector<delegated_part> parts;
    std::string records; ///< the greatest records of these parts, merged
    std::vector<lost_shard> lost;
    std::vector<pending_shard> pending; ///< reported once, when the first report is due
    bool last = false; ///< no further report follows
    std::optional<vm_load> load {}; ///< of the reporting VM
};

} // namespace chivelock
