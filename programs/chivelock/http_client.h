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

/** Appends what libcurl received to the std::string @p target. Ends the transfer if the answer is too large: an address
 *  that was mistyped may belong to any server. */
std::size_t appendAnswer(char *data, std::size_t size, std::size_t count, void *target);

[[nodiscard]] tl::expected<http_result, http_error> httpGet(const std::string &url, millis timeout);
[[nodiscard]] tl::expected<http_result, http_error>
httpPost(const std::string &url, const std::string &body, millis timeout);

} // namespace chivelock
