#pragma once

/**
 * @file
 * Checks a JSON document against a JSON Schema (draft 7) and tells each problem with path, value and what is allowed.
 */

#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace chivelock {

/** One thing that is wrong with a document. */
struct document_problem {
    std::string path; ///< such as /kinds/0/soft_limit_ms
    std::string value; ///< what stands there, shortened
    std::string message; ///< what is allowed
};

/** Why a document was refused; never empty. */
struct document_error {
    std::vector<document_problem> problems;
};

/** All problems on one line, for logs and standard error. */
[[nodiscard]] std::string toString(const document_error &error);

/** @return the document, or each problem found in it. The schema must itself be valid. */
[[nodiscard]] tl::expected<nlohmann::json, document_error> parseChecked(std::string_view text, std::string_view schema);

} // namespace chivelock
