#pragma once

/**
 * @file
 * The settings of the daemon: one JSON document, which is validated before any service starts.
 */

#include <base/base.h>
#include <entry/entry.h>
#include <gateway/gateway_settings.h>
#include <schema/schema.h>

#include <tl/expected.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chivelock {

/** The addresses and limits of the listening sockets. */
struct listen_settings {
    std::string address; ///< IP address, the same as in the VM list
    std::uint16_t httpPort = 0;
    std::uint16_t peerPort = 0;
    std::uint32_t httpThreads = 2;
    std::size_t maxRequestBytes = 65536;
};

/** How the documents of the platform are read. */
struct platform_settings {
    std::string url; ///< such as http://10.0.0.2:8500
    millis watchTimeout {10000}; ///< how long the platform holds a watch request open
    millis retryAfter {500}; ///< delay before the next attempt after a failed read, with jitter
};

/** The settings of a process that serves lookups, see entry/entry.h. */
struct daemon_settings {
    vm_id vm;
    zone_name zone;
    listen_settings listen;
    platform_settings platform;
    std::vector<std::string> extraPeerAddresses; ///< allowed to connect in addition to the addresses of the VM list
    log_level log = log_level::Info;
    bool logAnswers = true; ///< whether one line is logged for each lookup
    std::size_t ringCapacity = 16384; ///< maximum number of messages queued between two threads
    entry_settings entry;
};

/** Parses and validates the text. The error lists each problem with its path, value and the permitted values. */
[[nodiscard]] tl::expected<daemon_settings, document_error> readSettings(std::string_view text);

/** An IP address with a port. */
struct listen_address {
    std::string address;
    std::uint16_t port = 0;
};

/** The settings of a process that forwards requests to leafs, see gateway/gateway.h. */
struct gateway_daemon_settings {
    std::string vmName;
    zone_name zone;
    listen_address callers;
    listen_address readiness;
    std::optional<listen_address> metrics;
    listen_address peers; ///< for connections from other processes of the fleet
    std::uint16_t helperPort = 0; ///< for work that other VMs delegate to this VM as a helper; the same on all VMs
    double cpuShare = 1; ///< CPU capacity of this VM, in cores
    std::uint32_t memoryMegabytes = 0; ///< memory of this VM; 0 if it is not known
    std::uint32_t maxDescriptors = 0; ///< file descriptors of this process; 0 if it is not known
    double linkMegabits = 0; ///< bandwidth of this VM's network link, per second; 0 if it is not known
    std::map<zone_name, region_name> regions; ///< region of each zone, as far as they are known
    scheduling_switches scheduling;
    std::vector<std::string> seeds; ///< addresses of a few other processes of the fleet; may be stale
    std::string storeAddress; ///< IP address and port
    millis applyLimit {3000}; ///< limit from the store's notification until a configuration is in force on all VMs
    millis storeWatchTimeout {
        900}; ///< how long the store holds a watch open; limits how long a lost answer goes unnoticed
    millis grace {6000}; ///< from SIGTERM to SIGKILL
    std::optional<std::size_t>
        maxConnections; ///< concurrent connections from callers; absent: derived from the resources
    std::uint32_t logLinesPerSecond = 500;
    log_level log = log_level::Info;
    double retryRatio = 0.2; ///< extra sends per request that the whole fleet may make to a service
    double retrySlack = 10; ///< extra sends that the whole fleet may make in each window in addition
    millis retryWindow {10000};
    millis leafHeartbeat {1200}; ///< interval of the heartbeats that a leaf sends to the store
    millis drainLimit {3000}; ///< limit from the store's notification that a leaf leaves to the last request sent to it
    millis callerRoundTrip {6}; ///< network round-trip time between callers and this VM
    millis quarantineHold {600000}; ///< how long a request that crashed leafs is refused before it is tried again
    std::size_t quarantineEntries = 512; ///< maximum number of requests that are recorded as having crashed leafs
};

/** Parses and validates the text. The error lists each problem with its path, value and the permitted values. */
[[nodiscard]] tl::expected<gateway_daemon_settings, document_error> readGatewaySettings(std::string_view text);

} // namespace chivelock
