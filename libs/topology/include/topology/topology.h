#pragma once

/**
 * @file
 * What the platform publishes of the fleet: which services have which shards on which leafs, and the list of VMs that
 * run this system. Pure readers; the published documents can be stale or lag.
 */

#include <base/base.h>
#include <schema/schema.h>

#include <tl/expected.hpp>

#include <memory>
#include <string>
#include <vector>

namespace chivelock {

/** One target. */
struct leaf_info {
    leaf_id id;
    std::string address; ///< IP number
    std::uint16_t port = 0;
    zone_name zone;
    std::uint32_t slots = 1; ///< requests that it runs at once
    std::uint32_t connections = 1; ///< connections that it takes from everyone
    std::uint64_t incarnation = 0; ///< rises with each start
    bool leaving = false;

    bool operator==(const leaf_info &) const = default;
};

/** One shard of a service and the leafs that hold it. */
struct shard_info {
    shard_id id;
    std::vector<leaf_id> leafs;

    bool operator==(const shard_info &) const = default;
};

/** The shard map of one service at one snapshot. */
struct service_map {
    service_name name;
    snapshot_id snapshot;
    map_version version;
    std::vector<shard_info> shards; ///< sorted by id

    bool operator==(const service_map &) const = default;
};

/** One publication of all services. */
struct topology_document {
    std::uint64_t revision = 0;
    std::vector<service_map> services; ///< sorted by name
    std::vector<leaf_info> leafs; ///< sorted by id

    [[nodiscard]] const service_map *findService(const service_name &name) const;
    [[nodiscard]] const leaf_info *findLeaf(leaf_id id) const;
};

/** One VM of this system, as listed. */
struct vm_info {
    vm_id id;
    zone_name zone;
    std::string address; ///< IP number
    std::uint16_t peerPort = 0;
    std::uint16_t httpPort = 0;
    bool leaving = false;

    bool operator==(const vm_info &) const = default;
};

/** One publication of the VM list. */
struct vm_list_document {
    std::uint64_t revision = 0;
    std::vector<vm_info> vms; ///< sorted by id
};

using topology_ptr = std::shared_ptr<const topology_document>;

[[nodiscard]] tl::expected<topology_document, document_error> readTopology(std::string_view text);
[[nodiscard]] tl::expected<vm_list_document, document_error> readVmList(std::string_view text);

} // namespace chivelock
