#pragma once

/**
 * @file
 * Documents that the platform publishes about the fleet: which leafs hold which shards of which service, and which VMs
 * run this system. Parses their text and performs no I/O. A published document can lag behind the real state.
 */

#include <base/base.h>
#include <schema/schema.h>

#include <tl/expected.hpp>

#include <memory>
#include <string>
#include <vector>

namespace chivelock {

/** One leaf. */
struct leaf_info {
    leaf_id id;
    std::string address; ///< IP address
    std::uint16_t port = 0;
    zone_name zone;
    std::uint32_t slots = 1; ///< requests that the leaf runs concurrently
    std::uint32_t connections = 1; ///< connections that the leaf accepts from all VMs together
    std::uint64_t incarnation = 0; ///< increases with each start of the leaf; 0 if not published
    bool leaving = false; ///< gets no new requests

    bool operator==(const leaf_info &) const = default;
};

/** One shard of a service and the leafs that hold a replica of it. */
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

/** One published version of the shard maps of all services. */
struct topology_document {
    std::uint64_t revision = 0;
    std::vector<service_map> services; ///< sorted by name
    std::vector<leaf_info> leafs; ///< sorted by id

    /** @return nullptr if the document does not contain the service. */
    [[nodiscard]] const service_map *findService(const service_name &name) const;
    /** @return nullptr if the document does not contain the leaf. */
    [[nodiscard]] const leaf_info *findLeaf(leaf_id id) const;
};

/** One VM of this system, as published. */
struct vm_info {
    vm_id id;
    zone_name zone;
    std::string address; ///< IP address
    std::uint16_t peerPort = 0; ///< for other VMs
    std::uint16_t httpPort = 0; ///< for callers
    bool leaving = false; ///< gets no new work

    bool operator==(const vm_info &) const = default;
};

/** One published version of the VM list. */
struct vm_list_document {
    std::uint64_t revision = 0;
    std::vector<vm_info> vms; ///< sorted by id
};

using topology_ptr = std::shared_ptr<const topology_document>;

/** Parses a topology and checks it: the schema, that ids are unique, and that each shard names only known leafs. */
[[nodiscard]] tl::expected<topology_document, document_error> readTopology(std::string_view text);

/** Parses a VM list and checks it against its schema. */
[[nodiscard]] tl::expected<vm_list_document, document_error> readVmList(std::string_view text);

} // namespace chivelock
