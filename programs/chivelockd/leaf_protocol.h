#pragma once

/**
 * @file
 * The leafs' published protocol: bodies, replies and status codes of a search, a cancel and a health check.
 */

#include <policy/policy.h>

#include <string>
#include <string_view>

namespace chivelock::leaf_protocol {

inline constexpr std::string_view searchPath = "/v1/search";
inline constexpr std::string_view healthPath = "/v1/health";
inline constexpr std::string_view requestsPath = "/v1/requests/";

/** The body of POST /v1/search. @param name of this request, for a cancel. */
[[nodiscard]] std::string searchBody(const leaf_call &call, std::string_view name, millis remaining);

/** Reads the reply to a search. A reply that can't be read counts as failed: it may have run. */
[[nodiscard]] leaf_reply readSearchReply(const leaf_call &call, long status, std::string_view body);

/** Reads the reply to a health check. */
[[nodiscard]] health_report readHealth(const leaf_probe &probe, long status, std::string_view body);

} // namespace chivelock::leaf_protocol
