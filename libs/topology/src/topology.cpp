#include <topology/topology.h>

#include <algorithm>
#include <set>

namespace chivelock {

namespace {

constexpr std::string_view topologySchema = R"({
  "type": "object", "additionalProperties": false, "required": ["revision", "services", "leafs"],
  "properties": {
    "revision": {"type": "integer", "minimum": 1},
    "services": {"type": "array", "items": {
      "type": "object", "additionalProperties": false, "required": ["name", "snapshot", "map_version", "shards"],
      "properties": {
        "name": {"type": "string", "pattern": "^[a-z][a-z0-9-]{0,63}$"},
        "snapshot": {"type": "integer", "minimum": 1, "maximum": 4294967295},
        "map_version": {"type": "integer", "minimum": 1, "maximum": 4294967295},
        "shards": {"type": "array", "minItems": 1, "items": {
          "type": "object", "additionalProperties": false, "required": ["shard", "leafs"],
          "properties": {
            "shard": {"type": "integer", "minimum": 0, "maximum": 4294967295},
            "leafs": {"type": "array", "minItems": 1, "items": {"type": "integer", "minimum": 0, "maximum": 4294967295}}
          }}}
      }}},
    "leafs": {"type": "array", "items": {
      "type": "object", "additionalProperties": false,
      "required": ["id", "address", "port", "zone", "slots", "connections"],
      "properties": {
        "id": {"type": "integer", "minimum": 0, "maximum": 4294967295},
        "address": {"type": "string", "pattern": "^[0-9a-f.:]+$"},
        "port": {"type": "integer", "minimum": 1, "maximum": 65535},
        "zone": {"type": "string", "minLength": 1, "maxLength": 64},
        "slots": {"type": "integer", "minimum": 1, "maximum": 1024},
        "connections": {"type": "integer", "minimum": 1, "maximum": 65535},
        "incarnation": {"type": "integer", "minimum": 0},
        "leaving": {"type": "boolean"}
      }}}
  }
})";

constexpr std::string_view vmListSchema = R"({
  "type": "object", "additionalProperties": false, "required": ["revision", "vms"],
  "properties": {
    "revision": {"type": "integer", "minimum": 1},
    "vms": {"type": "array", "items": {
      "type": "object", "additionalProperties": false, "required": ["id", "address", "zone", "peer_port", "http_port"],
      "properties": {
        "id": {"type": "integer", "minimum": 0, "maximum": 4294967295},
        "address": {"type": "string", "pattern": "^[0-9a-f.:]+$"},
        "zone": {"type": "string", "minLength": 1, "maxLength": 64},
        "peer_port": {"type": "integer", "minimum": 1, "maximum": 65535},
        "http_port": {"type": "integer", "minimum": 1, "maximum": 65535},
        "leaving": {"type": "boolean"}
      }}}
  }
})";

leaf_info parseLeaf(const nlohmann::json &json)
{
    return {{json.at("id").get<std::uint32_t>()},
            json.at("address").get<std::string>(),
            json.at("port").get<std::uint16_t>(),
            {json.at("zone").get<std::string>()},
            json.at("slots").get<std::uint32_t>(),
            json.at("connections").get<std::uint32_t>(),
            json.value("incarnation", std::uint64_t {0}),
            json.value("leaving", false)};
}

shard_info parseShard(const nlohmann::json &json)
{
    shard_info shard {{json.at("shard").get<std::uint32_t>()}, {}};
    std::ranges::transform(json.at("leafs"), std::back_inserter(shard.leafs), [](const nlohmann::json &id) {
        return leaf_id {id.get<std::uint32_t>()};
    });
    return shard;
}

service_map parseService(const nlohmann::json &json)
{
    service_map service {{json.at("name").get<std::string>()},
                         {json.at("snapshot").get<std::uint32_t>()},
                         {json.at("map_version").get<std::uint32_t>()},
                         {}};
    std::ranges::transform(json.at("shards"), std::back_inserter(service.shards), parseShard);
    std::ranges::sort(service.shards, {}, &shard_info::id);
    return service;
}

vm_info parseVm(const nlohmann::json &json)
{
    return {{json.at("id").get<std::uint32_t>()},
            {json.at("zone").get<std::string>()},
            json.at("address").get<std::string>(),
            json.at("peer_port").get<std::uint16_t>(),
            json.at("http_port").get<std::uint16_t>(),
            json.value("leaving", false)};
}

/**
 * Checks the rules between fields that the schema cannot express. A shard that names an unknown leaf, or an id that
 * occurs twice, would make the coverage that answers report wrong.
 */
std::vector<document_problem> findConsistencyProblems(const topology_document &document)
{
    std::vector<document_problem> problems;
    const auto duplicate = std::ranges::adjacent_find(document.leafs, {}, &leaf_info::id);
    if (duplicate != document.leafs.end()) {
        problems.push_back({"/leafs", std::to_string(duplicate->id.value), "must be unique among the leaf ids"});
    }
    for (const service_map &service : document.services) {
        const std::string path = "/services/" + service.name.value;
        if (std::ranges::adjacent_find(service.shards, {}, &shard_info::id) != service.shards.end()) {
            problems.push_back({path + "/shards", "", "shard numbers must be unique within a service"});
        }
        for (const shard_info &shard : service.shards) {
            const bool allKnown =
                std::ranges::all_of(shard.leafs, [&document](leaf_id id) { return document.findLeaf(id) != nullptr; });
            if (!allKnown) {
                problems.push_back({path + "/shards",
                                    std::to_string(shard.id.value),
                                    "a shard must name only leafs listed under /leafs"});
            }
        }
    }
    return problems;
}

} // namespace

const service_map *topology_document::findService(const service_name &name) const
{
    const auto found = std::ranges::lower_bound(services, name, {}, &service_map::name);
    return found != services.end() && found->name == name ? &*found : nullptr;
}

const leaf_info *topology_document::findLeaf(leaf_id id) const
{
    const auto found = std::ranges::lower_bound(leafs, id, {}, &leaf_info::id);
    return found != leafs.end() && found->id == id ? &*found : nullptr;
}

tl::expected<topology_document, document_error> readTopology(std::string_view text)
{
    return parseAndValidate(text, topologySchema)
        .and_then([](const nlohmann::json &json) -> tl::expected<topology_document, document_error> {
            topology_document document;
            document.revision = json.at("revision").get<std::uint64_t>();
            std::ranges::transform(json.at("leafs"), std::back_inserter(document.leafs), parseLeaf);
            std::ranges::transform(json.at("services"), std::back_inserter(document.services), parseService);
            std::ranges::sort(document.leafs, {}, &leaf_info::id);
            std::ranges::sort(document.services, {}, &service_map::name);
            std::vector<document_problem> problems = findConsistencyProblems(document);
            if (!problems.empty()) {
                return tl::unexpected(document_error {std::move(problems)});
            }
            return document;
        });
}

tl::expected<vm_list_document, document_error> readVmList(std::string_view text)
{
    return parseAndValidate(text, vmListSchema).map([](const nlohmann::json &json) {
        vm_list_document document;
        document.revision = json.at("revision").get<std::uint64_t>();
        std::ranges::transform(json.at("vms"), std::back_inserter(document.vms), parseVm);
        std::ranges::sort(document.vms, {}, &vm_info::id);
        return document;
    });
}

} // namespace chivelock
