#pragma once

/**
 * @file
 * HTTP client of the command line program, based on libcurl.
 */

#include <base/base.h>

#include <tl/expected.hpp>

#include <string>
#include <string_view>

namespace chivelock {

/** Status and body of an HTTP response. */
struct http_result {
    long status = 0;
    std::string body;
};

/** Reason why a request got no HTTP response. */
struct http_error {
    std::string url;
    std::string reason;
};

[[nodiscard]] tl::expected<http_result, http_error> httpGet(const std::string &url, millis timeout);
[[nodiscard]] tl::expected<http_result, http_error>
httpPost(const std::string &url, const std::string &body, millis timeout);

} // namespace chivelock
