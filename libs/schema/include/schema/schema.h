#pragma once

/**
 * @file
 * Parses JSON documents from outside within a bound on their nesting, validates them against a JSON Schema (draft 7)
 * and reports each problem with its path, its value and what is allowed.
 */

#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace chivelock {

/** One violation of the schema in a document. */
struct document_problem {
    std::string path; ///< JSON pointer, such as /kinds/0/soft_limit_ms
    std::string value; ///< the value at the path, truncated
    std::string message; ///< what is wrong and what is allowed
};

/** Why a document was rejected; holds at least one problem. */
struct document_error {
    std::vector<document_problem> problems;
};

/** Formats all problems on one line, for logs and standard error. */
[[nodiscard]] std::string toString(const document_error &error);

/**
 * Deepest nesting of lists and objects in a document from outside. The JSON library copies, compares and writes a value
 * by recursion, so a deeper one overflows the stack of the thread that touches it.
 */
constexpr std::size_t maxDocumentDepth = 256;

/** Parses a JSON document that this process did not write. @return the document, or one problem: it is not JSON, or
 *  nested deeper than @ref maxDocumentDepth. */
[[nodiscard]] tl::expected<nlohmann::json, document_error> parseDocument(std::string_view text);

/** @return the parsed document, or all problems found in it. @pre @p schema is a valid JSON Schema. */
[[nodiscard]] tl::expected<nlohmann::json, document_error> parseAndValidate(std::string_view text,
                                                                            std::string_view schema);

} // namespace chivelock
