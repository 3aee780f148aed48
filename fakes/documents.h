#pragma once

#include <catalogue/catalogue.h>
#include <topology/topology.h>

#include <string>
#include <vector>

namespace chivelock::fakes {

/** Describes one service of a generated topology document. */
struct service_spec {
    std::string name;
    std::uint32_t shards = 4;
    std::uint32_t leafsPerShard = 2;
    std::uint32_t slots = 2;
    std::uint32_t snapshot = 1;
    std::uint32_t version = 1;
};

/**
 * Returns a topology document as the platform publishes it. Leaf ids count up from 0 across all services; the leafs
 * whose ids are in @p leaving are marked as leaving.
 */
[[nodiscard]] std::string topologyText(std::uint64_t revision,
                                       const std::vector<service_spec> &services,
                                       const std::vector<std::uint32_t> &leaving = {});

/** Returns a VM list document with the VMs 1 to @p count, spread over four availability zones. */
[[nodiscard]] std::string vmListText(std::uint64_t revision, std::size_t count);

/**
 * Returns a catalogue document with three kinds of lookup: "whole" (complete answers only) and "partial" query all
 * shards of the service "search"; "claim" is non-idempotent and goes to one shard of the service "desk".
 */
[[nodiscard]] std::string catalogueText(std::uint64_t revision, std::uint32_t maxRows = 100);

} // namespace chivelock::fakes
