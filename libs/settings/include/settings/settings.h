#pragma once

/**
 * @file
 * The daemon's settings: one JSON document, checked before anything starts.
 */

#include <base/base.h>
#include <entry/entry.h>
#include <schema/schema.h>

#include <tl/expected.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chivelock {

/** Where the process listens. */
struct listen_settings {
    std::string address; ///< IP number, the same as in the VM list
    std::uint16_t httpPort = 0;
    std::uint16_t peerPort = 0;
    std::uint32_t httpThreads = 2;
    std::size_t maxRequestBytes = 65536;
};

/** Where the platform's documents are read. */
struct platform_settings {
    std::string url; ///< such as http://10.0.0.2:8500
    millis watchFor {10000}; ///< how long one watch waits
    millis retryAfter {500}; ///< after a failed read, with jitter
};

/** Everything that one process is told. */
struct daemon_settings {
    vm_id vm;
    zone_name zone;
    listen_settings listen;
    platform_settings platform;
    std::vector<std::string> extraPeerAddresses; ///< may connect besides the VM list
    log_level log = log_level::Info;
    bool logAnswers = true; ///< one line for each lookup
    std::size_t ringCapacity = 16384; ///< messages between two threads
    entry_settings entry;
};

/** Reads and checks the text; gives each problem with path, value and what is allowed. */
[[nodiscard]] tl::expected<daemon_settings, document_error> readSettings(std::string_view text);

/** An IP number with a port. */
struct listen_address {
    std::string address;
    std::uint16_t port = 0;
};

/** What a process is told that passes requests through to leafs, see gateway/gateway.h. */
struct gateway_daemon_settings {
    std::string vmName;
    zone_name zone;
    listen_address callers;
    listen_address readiness;
    std::optional<listen_address> metrics;
    listen_address peers; ///< other processes of the fleet
    std::uint16_t helperPort = 0; ///< for VMs that ask leafs for each other; the same on all
    double cpuShare = 1; ///< of a core that this VM has
    std::vector<std::string> seeds; ///< addresses of a few of them; may be stale
    std::string storeAddress; ///< IP number and port
    millis applyLimit {3000}; ///< from the store's word to a configuration in force everywhere
    millis storeWait {900}; ///< how long the store holds a watch; bounds how long a lost answer goes unnoticed
    millis grace {6000}; ///< from SIGTERM to SIGKILL
    std::size_t maxConnections = 1000; ///< of callers at a time
    std::uint32_t logLinesPerSecond = 500;
    log_level log = log_level::Info;
    double retryRatio = 0.2; ///< extra sends for each request that the whole fleet may make to a service
    double retrySlack = 10; ///< extra sends in a window besides
    millis retryWindow {10000};
    millis leafHeartbeat {1200}; ///< between two words of a leaf to the store
    millis drainLimit {3000}; ///< from the store's word that a leaf leaves to the last request it gets
    millis callerRoundTrip {6}; ///< between callers and this VM, there and back
    millis quarantineHold {
        600000}; ///< a request under which leafs ended is refused for so long before it is tried again
    std::size_t quarantineEntries = 512; ///< requests of which it is kept that leafs ended under them
};

/** Reads and checks the text; gives each problem with path, value and what is allowed. */
[[nodiscard]] tl::expected<gateway_daemon_settings, document_error> readGatewaySettings(std::string_view text);

} // namespace chivelock
