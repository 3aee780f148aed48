#include <schema/schema.h>

#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include <algorithm>
#include <numeric>

namespace chivelock {

namespace {

constexpr std::size_t shownLength = 80;

/** valijson names a place as "<root>", "[kinds]", "[0]"; a JSON pointer is what people can search for. */
std::string pointerFrom(std::span<const std::string> context)
{
    std::string pointer;
    for (const std::string &step : context) {
        if (step.size() > 2 && step.front() == '[') {
            pointer += '/' + step.substr(1, step.size() - 2);
        }
    }
    return pointer;
}

std::string shown(const nlohmann::json &document, const std::string &pointer)
{
    const nlohmann::json::json_pointer place(pointer);
    if (!document.contains(place)) {
        return "absent";
    }
    return document.at(place).dump().substr(0, shownLength);
}

/** The part of the schema that rules a place, so that a refusal can say what is allowed there. */
std::string allowedAt(const nlohmann::json &schema, std::span<const std::string> context)
{
    constexpr std::size_t longestRule = 160;
    const nlohmann::json *rule = &schema;
    for (const std::string &step : context) {
        if (step.size() < 3 || step.front() != '[') {
            continue;
        }
        const std::string name = step.substr(1, step.size() - 2);
        if (rule->contains("properties") && rule->at("properties").contains(name)) {
            rule = &rule->at("properties").at(name);
        } else if (rule->contains("items")) {
            rule = &rule->at("items");
        } else {
            return "";
        }
    }
    if (rule->contains("properties")) {
        std::string names;
        for (const auto &property : rule->at("properties").items()) {
            names += (names.empty() ? "" : ", ") + property.key();
        }
        return "; keys allowed: " + names;
    }
    const std::string text = rule->dump();
    return text.size() <= longestRule ? "; allowed: " + text : "";
}

/** A parent only repeats that a child failed; the child's own line says why. */
bool onlyRepeatsChild(const std::string &description)
{
    return description.starts_with("Failed to validate against schema associated with property name")
        || description.starts_with("Failed to validate item");
}

document_error
problemsOf(const nlohmann::json &document, const nlohmann::json &schema, valijson::ValidationResults &results)
{
    document_error error;
    valijson::ValidationResults::Error found;
    while (results.popError(found)) {
        if (onlyRepeatsChild(found.description)) {
            continue;
        }
        const std::string pointer = pointerFrom(found.context);
        error.problems.push_back({pointer.empty() ? "/" : pointer,
                                  shown(document, pointer),
                                  found.description + allowedAt(schema, found.context)});
    }
    if (error.problems.empty()) {
        error.problems.push_back({"/", "", "does not match the schema"});
    }
    return error;
}

} // namespace

std::string toString(const document_error &error)
{
    return std::accumulate(error.problems.begin(),
                           error.problems.end(),
                           std::string(),
                           [](std::string text, const document_problem &problem) {
                               const std::string separator = text.empty() ? "" : "; ";
                               return std::move(text) + separator + problem.path + " (" + problem.value
                                   + "): " + problem.message;
                           });
}

tl::expected<nlohmann::json, document_error> parseChecked(std::string_view text, std::string_view schemaText)
{
    nlohmann::json document = nlohmann::json::parse(text, nullptr, false);
    if (document.is_discarded()) {
        return tl::unexpected(document_error {{{"/", std::string(text.substr(0, shownLength)), "is not JSON"}}});
    }
    const nlohmann::json schemaDocument = nlohmann::json::parse(schemaText);
    valijson::Schema schema;
    valijson::SchemaParser parser;
    parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(schemaDocument), schema);
    valijson::Validator validator;
    valijson::ValidationResults results;
    if (!validator.validate(schema, valijson::adapters::NlohmannJsonAdapter(document), &results)) {
        return tl::unexpected(problemsOf(document, schemaDocument, results));
    }
    return document;
}

} // namespace chivelock
