#pragma once

/**
 * @file
 * HTTP from the command line program to entries of the system, by libcurl.
 */

#include <base/base.h>

#include <tl/expected.hpp>

#include <string>
#include <string_view>

namespace chivelock {

/** One reply. */
struct http_result {
    long status = 0;
    std::string body;
};

/** Why no reply came. */
struct http_error {
    std::string url;
    std::string reason;
};

[[nodiscard]] tl::expected<http_result, http_error> httpGet(const std::string &url, millis timeout);
[[nodiscard]] tl::expected<http_result, http_error>
httpPost(const std::string &url, const std::string &body, millis timeout);

} // namespace chivelock
