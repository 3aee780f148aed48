#define BOOST_TEST_MODULE schema
#include <boost/test/included/unit_test.hpp>

#include <schema/schema.h>

using namespace chivelock;

namespace {

constexpr std::string_view schemaText = R"({
  "type": "object", "additionalProperties": false, "required": ["limit_ms"],
  "properties": {"limit_ms": {"type": "integer", "minimum": 1, "maximum": 60}, "names": {"type": "array", "items": {"type": "string"}}}
})";

} // namespace

BOOST_AUTO_TEST_CASE(valid_document_is_returned)
{
    const auto document = parseAndValidate(R"({"limit_ms": 5})", schemaText);
    BOOST_REQUIRE(document.has_value());
    BOOST_TEST(document->at("limit_ms") == 5);
}

BOOST_AUTO_TEST_CASE(problem_reports_path_value_and_rule)
{
    const auto document = parseAndValidate(R"({"limit_ms": 61})", schemaText);
    BOOST_REQUIRE(!document.has_value());
    const document_problem &problem = document.error().problems.front();
    BOOST_TEST(problem.path == "/limit_ms");
    BOOST_TEST(problem.value == "61");
    BOOST_TEST(problem.message.find("\"maximum\":60") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(unknown_key_and_invalid_json_are_rejected)
{
    const auto unknown = parseAndValidate(R"({"limit_ms": 5, "limt": 1})", schemaText);
    BOOST_REQUIRE(!unknown.has_value());
    BOOST_TEST(toString(unknown.error()).find("limt") != std::string::npos);
    BOOST_TEST(!parseAndValidate("{\"limit_ms\":", schemaText).has_value());
    BOOST_TEST(!parseAndValidate("", schemaText).has_value());
}

BOOST_AUTO_TEST_CASE(problem_inside_an_array_reports_the_index)
{
    const auto document = parseAndValidate(R"({"limit_ms": 5, "names": ["a", 7]})", schemaText);
    BOOST_REQUIRE(!document.has_value());
    BOOST_TEST(document.error().problems.front().path == "/names/1");
}

// Guards against the end of the process by a stack overflow: the JSON library copies nested values by recursion.
BOOST_AUTO_TEST_CASE(a_document_nested_too_deeply_is_rejected)
{
    constexpr std::size_t depths[] = {maxDocumentDepth + 1, 500000};
    for (const std::size_t depth : depths) {
        const std::string lists = std::string(depth, '[') + std::string(depth, ']');
        std::string objects;
        for (std::size_t level = 0; level < depth; ++level) {
            objects += "{\"a\":";
        }
        BOOST_TEST(!parseDocument(lists).has_value());
        BOOST_TEST(!parseDocument(objects + "1" + std::string(depth, '}')).has_value());
        BOOST_TEST(!parseDocument(std::string(depth, '[')).has_value());
        BOOST_TEST(!parseAndValidate(R"({"limit_ms": 5, "names": )" + lists + "}", schemaText).has_value());
    }
}

BOOST_AUTO_TEST_CASE(brackets_in_strings_and_of_closed_lists_do_not_count_as_nesting)
{
    const std::string brackets(maxDocumentDepth * 2, '[');
    const std::string deepest = std::string(maxDocumentDepth, '[') + std::string(maxDocumentDepth, ']');
    BOOST_TEST(parseDocument(deepest).has_value());
    BOOST_TEST(parseDocument("[\"" + brackets + "\", \"\\\"" + brackets + "\", \"\\\\\", []]").has_value());
    std::string many = "[0";
    for (std::size_t count = 0; count < maxDocumentDepth * 2; ++count) {
        many += ",[],{}";
    }
    BOOST_TEST(parseDocument(many + "]").has_value());
}
