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

constexpr std::size_t maxShownBytes = 80;

/** Converts a valijson context ("<root>", "[kinds]", "[0]") to a JSON pointer, which operators can search for. */
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

std::string describeValue(const nlohmann::json &document, const std::string &pointer)
{
    const nlohmann::json::json_pointer location(pointer);
    if (!document.contains(location)) {
        return "absent";
    }
    return document.at(location).dump().substr(0, maxShownBytes);
}

/** Describes the subschema that applies at a location, so that an error message can say what is allowed there. */
std::string describeRule(const nlohmann::json &schema, std::span<const std::string> context)
{
    constexpr std::size_t maxRuleBytes = 160;
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
    return text.size() <= maxRuleBytes ? "; allowed: " + text : "";
}

/** valijson reports a failed child again for its parent; only the problem of the child says why. */
bool repeatsChildProblem(const std::string &description)
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
        if (repeatsChildProblem(found.description)) {
            continue;
        }
        const std::string pointer = pointerFrom(found.context);
        error.problems.push_back({pointer.empty() ? "/" : pointer,
                                  describeValue(document, pointer),
                                  found.description + describeRule(schema, found.context)});
    }
    if (error.problems.empty()) {
        error.problems.push_back({"/", "", "does not match the schema"});
    }
    return error;
}

/** Counts brackets outside strings, so it needs no valid JSON and no recursion. */
bool isNestedTooDeeply(std::string_view text)
{
    std::size_t depth = 0;
    bool inString = false;
    bool isEscaped = false;
    return std::ranges::any_of(text, [&](char c) {
        if (inString) {
            inString = isEscaped || c != '"';
            isEscaped = !isEscaped && c == '\\';
            return false;
        }
        inString = c == '"';
        const bool opens = c == '[' || c == '{';
        const bool closes = c == ']' || c == '}';
        depth += opens ? 1 : 0;
        depth -= closes && depth > 0 ? 1 : 0;
        return depth > maxDocumentDepth;
    });
}

tl::unexpected<document_error> wholeDocumentProblem(std::string_view text, std::string message)
{
    return tl::unexpected(document_error {{{"/", std::string(text.substr(0, maxShownBytes)), std::move(message)}}});
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

tl::expected<nlohmann::json, document_error> parseDocument(std::string_view text)
{
    if (isNestedTooDeeply(text)) {
        return wholeDocumentProblem(text, "nests deeper than " + std::to_string(maxDocumentDepth) + " levels");
    }
    try {
        return nlohmann::json::parse(text);
    } catch (const nlohmann::json::exception &problem) {
        return wholeDocumentProblem(text, std::string("is not JSON: ") + problem.what());
    }
}

tl::expected<nlohmann::json, document_error> parseAndValidate(std::string_view text, std::string_view schemaText)
{
    tl::expected<nlohmann::json, document_error> parsed = parseDocument(text);
    if (!parsed) {
        return parsed;
    }
    const nlohmann::json &document = *parsed;
    const nlohmann::json schemaDocument = nlohmann::json::parse(schemaText);
    valijson::Schema schema;
    valijson::SchemaParser parser;
    parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(schemaDocument), schema);
    valijson::Validator validator;
    valijson::ValidationResults results;
    if (!validator.validate(schema, valijson::adapters::NlohmannJsonAdapter(document), &results)) {
        return tl::unexpected(problemsOf(document, schemaDocument, results));
    }
    return parsed;
}

} // namespace chivelock
