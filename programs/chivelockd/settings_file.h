#pragma once

/** @file The settings file as text, and what is wrong with it as lines. */

#include <schema/schema.h>

#include <tl/expected.hpp>

#include <string>

namespace chivelock {

[[nodiscard]] tl::expected<std::string, std::string> readFile(const std::string &path);

/** One line for each problem: path, rule, value. */
[[nodiscard]] std::string problemLines(const document_error &error);

} // namespace chivelock
