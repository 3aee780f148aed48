#pragma once

/** @file Reads a settings file and formats the problems found in it. */

#include <schema/schema.h>

#include <tl/expected.hpp>

#include <string>

namespace chivelock {

/** @return the content of the file, or an error message with its path. */
[[nodiscard]] tl::expected<std::string, std::string> readFile(const std::string &path);

/** Formats the problems as one line each: path, violated rule and value. */
[[nodiscard]] std::string formatProblems(const document_error &error);

} // namespace chivelock
