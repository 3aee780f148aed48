#pragma once

#include <catalogue/catalogue.h>
#include <topology/topology.h>

#include <string>
#include <vector>

namespace chivelock::fakes {

/** Sizes of one published service. */
struct service_sizes {
    std::string name;
    std::uint32_t shards = 4;
    std::uint32_t leafsEach = 2;
    std::uint32_t slots = 2;
    std::uint32_t snapshot = 1;
    std::uint32_t version = 1;
};

/** A topology as published; leafs are numbered from 0 over all services. @p leaving names leafs listed as leaving. */
[[nodiscard]] std::string topologyText(std::uint64_t revision,
                                       const std::vector<service_sizes> &services,
                                       const std::vector<std::uint32_t> &leaving = {});

[[nodiscard]] std::string vmListText(std::uint64_t revision, std::size_t count);

/** Kinds: "whole" and "partial" over all shards of service "search", "claim" unrepeatable, on service "desk". */
[[nodiscard]] std::string catalogueText(std::uint64_t revision, std::uint32_t maxRows = 100);

} // namespace chivelock::fakes
