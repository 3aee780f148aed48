#pragma once

/**
 * @file
 * The published HTTP protocol of the leafs: paths, request bodies, replies and status codes of searches, cancels and
 * health checks.
 */

#include <policy/policy.h>

#include <string>
#include <string_view>

namespace chivelock::leaf_protocol {

inline constexpr std::string_view searchPath = "/v1/search";
inline constexpr std::string_view healthPath = "/v1/health";
inline constexpr std::string_view requestsPath = "/v1/requests/";

/** Returns the body of POST /v1/search. @param name identifies the request in a later cancel. */
[[nodiscard]] std::string searchBody(const leaf_call &call, std::string_view name, millis remaining);

/** Parses the reply to a search. A successful reply that cannot be parsed counts as failed: the search may have run. */
[[nodiscard]] leaf_reply readSearchReply(const leaf_call &call, long status, std::string_view body);

/** Parses the reply to a health check. */
[[nodiscard]] health_report readHealth(const leaf_probe &probe, long status, std::string_view body);

} // namespace chivelock::leaf_protocol
