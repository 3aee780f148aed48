#include <catalogue/catalogue.h>

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <set>

namespace chivelock {

namespace {

constexpr int hexBase = 16;

constexpr std::string_view kindSchema = R"({
  "type": "object", "additionalProperties": false,
  "required": ["name", "owner", "class", "service", "fan_out", "repeatable", "soft_limit_ms", "hard_limit_ms",
               "max_in_flight", "max_per_second"],
  "properties": {
    "name": {"type": "string", "pattern": "^[a-z][a-z0-9-]{0,63}$"},
    "owner": {"type": "string", "minLength": 1, "maxLength": 128},
    "class": {"enum": ["urgent", "ordinary"]},
    "service": {"type": "string", "pattern": "^[a-z][a-z0-9-]{0,63}$"},
    "fan_out": {"enum": ["all", "by_key"]},
    "repeatable": {"type": "boolean"},
    "whole_only": {"type": "boolean"},
    "min_coverage": {"type": "number", "minimum": 0, "maximum": 1},
    "soft_limit_ms": {"type": "integer", "minimum": 1, "maximum": 60000},
    "hard_limit_ms": {"type": "integer", "minimum": 1, "maximum": 60000},
    "max_in_flight": {"type": "integer", "minimum": 1, "maximum": 1000000},
    "max_per_second": {"type": "integer", "minimum": 1, "maximum": 10000000},
    "max_rows": {"type": "integer", "minimum": 1, "maximum": 10000},
    "merge": {"enum": ["top_score", "concatenate"]}
  }
})";

const std::string &catalogueSchema()
{
    static const std::string schema = R"({
      "type": "object", "additionalProperties": false, "required": ["revision", "kinds"],
      "properties": {
        "revision": {"type": "integer", "minimum": 1},
        "published_by": {"type": "string", "maxLength": 128},
        "kinds": {"type": "array", "maxItems": 10000, "items": )"
        + std::string(kindSchema) + "}}}";
    return schema;
}

const std::string &deltaSchema()
{
    static const std::string schema = R"({
      "type": "object", "additionalProperties": false,
      "required": ["from_revision", "revision", "digest", "changed", "removed"],
      "properties": {
        "from_revision": {"type": "integer", "minimum": 0},
        "revision": {"type": "integer", "minimum": 1},
        "digest": {"type": "string", "pattern": "^[0-9a-f]{1,16}$"},
        "removed": {"type": "array", "items": {"type": "string"}},
        "changed": {"type": "array", "items": )"
        + std::string(kindSchema) + "}}}";
    return schema;
}

kind_entry entryFromJson(const nlohmann::json &json)
{
    constexpr std::uint32_t defaultMaxRows = 100;
    kind_entry entry;
    entry.name = {json.at("name").get<std::string>()};
    entry.owner = json.at("owner").get<std::string>();
    entry.priority = json.at("class") == "urgent" ? urgency::Urgent : urgency::Ordinary;
    entry.service = {json.at("service").get<std::string>()};
    entry.shards = json.at("fan_out") == "all" ? fan_out::AllShards : fan_out::ByKey;
    entry.repeatable = json.at("repeatable").get<bool>();
    entry.requiresCompleteAnswer = json.value("whole_only", true);
    entry.minCoverage = json.value("min_coverage", 1.0);
    entry.softLimit = millis(json.at("soft_limit_ms").get<double>());
    entry.hardLimit = millis(json.at("hard_limit_ms").get<double>());
    entry.maxInFlight = json.at("max_in_flight").get<std::uint32_t>();
    entry.maxPerSecond = json.at("max_per_second").get<std::uint32_t>();
    entry.maxRows = json.value("max_rows", defaultMaxRows);
    entry.merge = json.value("merge", "top_score") == "concatenate" ? merge_rule::Concatenate : merge_rule::TopScore;
    return entry;
}

nlohmann::json entryToJson(const kind_entry &entry)
{
    return {{"name", entry.name.value},
            {"owner", entry.owner},
            {"class", toString(entry.priority)},
            {"service", entry.service.value},
            {"fan_out", entry.shards == fan_out::AllShards ? "all" : "by_key"},
            {"repeatable", entry.repeatable},
            {"whole_only", entry.requiresCompleteAnswer},
            {"min_coverage", entry.minCoverage},
            {"soft_limit_ms", entry.softLimit.ceiled()},
            {"hard_limit_ms", entry.hardLimit.ceiled()},
            {"max_in_flight", entry.maxInFlight},
            {"max_per_second", entry.maxPerSecond},
            {"max_rows", entry.maxRows},
            {"merge", entry.merge == merge_rule::Concatenate ? "concatenate" : "top_score"}};
}

/**
 * Digests are written as hexadecimal text because they use all 64 bits: JSON readers, including the schema
 * validator, read numbers above 2^63 as negative.
 */
std::string toHex(std::uint64_t number)
{
    std::array<char, sizeof(number) * 2> digits {};
    const auto conversion = std::to_chars(digits.begin(), digits.end(), number, hexBase);
    return {digits.begin(), conversion.ptr};
}

/** @pre the text consists of 1 to 16 hexadecimal digits, as the schema requires. */
std::uint64_t parseHex(const std::string &text)
{
    std::uint64_t number = 0;
    (void)std::from_chars(text.data(), text.data() + text.size(), number, hexBase);
    return number;
}

/** Checks the rules across fields, which a JSON schema cannot express. */
std::vector<document_problem> crossFieldProblems(std::span<const kind_entry> kinds)
{
    std::vector<document_problem> problems;
    std::set<kind_name> seenNames;
    for (std::size_t index = 0; index < kinds.size(); ++index) {
        const kind_entry &entry = kinds[index];
        const std::string path = "/kinds/" + std::to_string(index);
        if (!seenNames.insert(entry.name).second) {
            problems.push_back({path + "/name", entry.name.value, "each kind is named once"});
        }
        if (entry.softLimit > entry.hardLimit) {
            problems.push_back({path + "/soft_limit_ms",
                                std::to_string(entry.softLimit.ceiled()),
                                "must not be above hard_limit_ms, " + std::to_string(entry.hardLimit.ceiled())});
        }
        if (!entry.repeatable && entry.shards != fan_out::ByKey) {
            problems.push_back({path + "/fan_out", "all", "an unrepeatable kind goes to one shard: by_key"});
        }
        if (entry.requiresCompleteAnswer && entry.minCoverage < 1.0) {
            problems.push_back(
                {path + "/min_coverage", std::to_string(entry.minCoverage), "a whole_only kind covers all: 1"});
        }
    }
    return problems;
}

} // namespace

const kind_entry *catalogue_document::find(const kind_name &name) const
{
    const auto found = std::ranges::lower_bound(kinds, name, {}, &kind_entry::name);
    return found != kinds.end() && found->name == name ? &*found : nullptr;
}

tl::expected<catalogue_document, document_error> readCatalogue(std::string_view text)
{
    return parseAndValidate(text, catalogueSchema())
        .and_then([](const nlohmann::json &json) -> tl::expected<catalogue_document, document_error> {
            catalogue_document document;
            document.revision = json.at("revision").get<std::uint64_t>();
            std::ranges::transform(json.at("kinds"), std::back_inserter(document.kinds), entryFromJson);
            std::vector<document_problem> problems = crossFieldProblems(document.kinds);
            if (!problems.empty()) {
                return tl::unexpected(document_error {std::move(problems)});
            }
            std::ranges::sort(document.kinds, {}, &kind_entry::name);
            return document;
        });
}

std::string writeCatalogue(const catalogue_document &document)
{
    nlohmann::json json = {{"revision", document.revision}, {"kinds", nlohmann::json::array()}};
    std::ranges::transform(document.kinds, std::back_inserter(json["kinds"]), entryToJson);
    return json.dump();
}

std::uint64_t contentDigest(const catalogue_document &document)
{
    const std::string text = writeCatalogue(document);
    return XXH3_64bits(text.data(), text.size());
}

std::string writeDelta(const catalogue_delta &delta)
{
    nlohmann::json json = {{"from_revision", delta.fromRevision},
                           {"revision", delta.revision},
                           {"digest", toHex(delta.digest)},
                           {"changed", nlohmann::json::array()},
                           {"removed", nlohmann::json::array()}};
    std::ranges::transform(delta.changed, std::back_inserter(json["changed"]), entryToJson);
    std::ranges::transform(delta.removed, std::back_inserter(json["removed"]), &kind_name::value);
    return json.dump();
}

tl::expected<catalogue_delta, document_error> readDelta(std::string_view text)
{
    return parseAndValidate(text, deltaSchema()).map([](const nlohmann::json &json) {
        catalogue_delta delta;
        delta.fromRevision = json.at("from_revision").get<std::uint64_t>();
        delta.revision = json.at("revision").get<std::uint64_t>();
        delta.digest = parseHex(json.at("digest").get<std::string>());
        std::ranges::transform(json.at("changed"), std::back_inserter(delta.changed), entryFromJson);
        std::ranges::transform(json.at("removed"), std::back_inserter(delta.removed), [](const nlohmann::json &name) {
            return kind_name {name.get<std::string>()};
        });
        return delta;
    });
}

} // namespace chivelock
