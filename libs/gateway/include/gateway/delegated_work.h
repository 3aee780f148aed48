#pragma once

/** @file What one VM asks of another, and what it is told of it; a part of gateway.h. */

#include <base/base.h>
#include <quarantine/quarantine.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace chivelock {

/** Another VM of the fleet that can be reached now. */
struct helper_vm {
    std::string address;
    zone_name zone;
    std::size_t rank = 0; ///< among the VMs of its zone, in an order that all VMs agree on but for late news
};

/** Names one piece of work handed to another VM, among those of the VM that hands it out. */
using delegation_id = std::uint64_t;

/**
 * What another VM is to do: ask one leaf of each shard, once. A second leaf is asked by further work, for which the VM
 * that hands it out spends an attempt and a part of its budget at that moment: it alone counts how many leafs may run a
 * request, so that the count holds whatever is lost between the two.
 */
struct delegated_work {
    std::string route; ///< name, by which both know how long leafs take
    request_fingerprint key;
    attempt_tag attempt = 0; ///< the same on both VMs, so that a leaf's end that both tell counts once
    std::vector<service_name> shards;
    std::size_t topRecords = 0;
    millis objective; ///< of the route
    millis speakIn; ///< a first word is due then at the latest, also if nothing has come
    millis cutoffIn; ///< what has come is told then, and the rest as it comes
    millis limitIn; ///< nothing is of use any more then
    std::vector<std::string> triedLeafs; ///< ids of leafs of these shards that others may be asked before
    bool alone = false; ///< each shard is to be told by itself: another VM may bring some of them first
};

/** A shard that answered. */
struct delegated_part {
    std::uint32_t shard = 0; ///< index into @ref delegated_work::shards
    std::string stamp;
};

/** A shard that was given up. */
struct lost_shard {
    std::uint32_t shard = 0;
    bool mayHaveRun = false;
    bool reachedLeaf = false; ///< a leaf got it, also if that refused it
    bool leafEnded = false; ///< the leaf ended while it ran it
    std::string leafId; ///< of the last leaf that was asked; empty if none was
};

/** A shard whose leaf is silent so far. */
struct pending_shard {
    std::uint32_t shard = 0;
    std::string leafId;
};

/** What has come since the last word. */
struct delegated_progress {
    std::vector<delegated_part> parts;
    std::string records; ///< the greatest of these parts, merged
    std::vector<lost_shard> lost;
    std::vector<pending_shard> pending; ///< told once, when the first word is due
    bool last = false;
};

} // namespace chivelock
