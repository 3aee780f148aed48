#pragma once

/**
 * @file
 * Requests that end the leafs that run them (queries of death). A caller's attempts have ids of their own, so nothing
 * but the request itself tells that it comes again. No input or output, no thread, no clock.
 */

#include <base/base.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace chivelock {

/** What makes two attempts the same request. */
struct request_identity {
    std::string_view caller; ///< IP number; the port differs from connection to connection
    std::string_view host;
    std::string_view method;
    std::string_view target; ///< path and query, byte for byte
    std::string_view body; ///< whole, however it was framed
};

/** Stands for a request across attempts, connections and VMs. The caller has a digest of its own, so that no request of
 *  one caller is ever taken for one of another. */
struct request_fingerprint {
    std::uint64_t caller = 0;
    std::uint64_t content = 0;
    auto operator<=>(const request_fingerprint &) const = default;

    /** False for work whose request is not told, by a VM of an earlier version. */
    [[nodiscard]] bool isKnown() const
    {
        return caller != 0 || content != 0;
    }
};

[[nodiscard]] request_fingerprint fingerprintOf(const request_identity &request);

/** @return the key in hexadecimal digits, for logs. */
[[nodiscard]] std::string toString(const request_fingerprint &key);

} // namespace chivelock
