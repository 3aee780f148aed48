#include "documents.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace chivelock::fakes {

using nlohmann::json;

std::string topologyText(std::uint64_t revision,
                         const std::vector<service_spec> &services,
                         const std::vector<std::uint32_t> &leaving)
{
    json document = {{"revision", revision}, {"services", json::array()}, {"leafs", json::array()}};
    std::uint32_t next = 0;
    for (const service_spec &sizes : services) {
        json service = {{"name", sizes.name},
                        {"snapshot", sizes.snapshot},
                        {"map_version", sizes.version},
                        {"shards", json::array()}};
        for (std::uint32_t shard = 0; shard < sizes.shards; ++shard) {
            json ids = json::array();
            for (std::uint32_t replica = 0; replica < sizes.leafsPerShard; ++replica) {
                ids.push_back(next);
                document["leafs"].push_back({{"id", next},
                                             {"address", "127.0.0.1"},
                                             {"port", 20000 + next},
                                             {"zone", "z" + std::to_string(replica)},
                                             {"slots", sizes.slots},
                                             {"connections", 25},
                                             {"incarnation", 1},
                                             {"leaving", std::ranges::find(leaving, next) != leaving.end()}});
                ++next;
            }
            service["shards"].push_back({{"shard", shard}, {"leafs", ids}});
        }
        document["services"].push_back(service);
    }
    return document.dump();
}

std::string vmListText(std::uint64_t revision, std::size_t count)
{
    json document = {{"revision", revision}, {"vms", json::array()}};
    for (std::size_t vm = 1; vm <= count; ++vm) {
        document["vms"].push_back({{"id", vm},
                                   {"address", "127.0.0.1"},
                                   {"zone", "z" + std::to_string(vm % 4)},
                                   {"peer_port", 17000},
                                   {"http_port", 18080}});
    }
    return document.dump();
}

std::string catalogueText(std::uint64_t revision, std::uint32_t maxRows)
{
    const auto kind = [maxRows](const std::string &name,
                                const std::string &service,
                                bool all,
                                bool repeatable,
                                bool requiresCompleteAnswer) {
        return json {{"name", name},
                     {"owner", "tests"},
                     {"class", name == "partial" ? "ordinary" : "urgent"},
                     {"service", service},
                     {"fan_out", all ? "all" : "by_key"},
                     {"repeatable", repeatable},
                     {"whole_only", requiresCompleteAnswer},
                     {"min_coverage", requiresCompleteAnswer ? 1.0 : 0.5},
                     {"soft_limit_ms", requiresCompleteAnswer ? 400 : 100},
                     {"hard_limit_ms", 400},
                     {"max_in_flight", 100000},
                     {"max_per_second", 1000000},
                     {"max_rows", maxRows}};
    };
    const json document = {{"revision", revision},
                           {"kinds",
                            json::array({kind("whole", "search", true, true, true),
                                         kind("partial", "search", true, true, false),
                                         kind("claim", "desk", false, false, true)})}};
    return document.dump();
}

} // namespace chivelock::fakes
