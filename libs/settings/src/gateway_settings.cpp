#include "read_settings.h"

#include <settings/settings.h>

#include <algorithm>

namespace chivelock {

namespace {

constexpr std::string_view gatewaySchema = R"({
  "type": "object", "required": ["vm", "zone", "listen", "store", "limits"],
  "properties": {
    "vm": {"type": "string", "minLength": 1},
    "zone": {"type": "string", "minLength": 1, "maxLength": 64},
    "listen": {
      "type": "object", "required": ["callers", "readiness", "peers", "helper_port"],
      "properties": {
        "callers": {"type": "string", "pattern": "^[0-9.]+:[0-9]{1,5}$"},
        "readiness": {"type": "string", "pattern": "^[0-9.]+:[0-9]{1,5}$"},
        "peers": {"type": "string", "pattern": "^[0-9.]+:[0-9]{1,5}$"},
        "helper_port": {"type": "integer", "minimum": 1, "maximum": 65535},
        "metrics": {"type": "string", "pattern": "^[0-9.]+:[0-9]{1,5}$"}
      }},
    "store": {
      "type": "object", "required": ["address"],
      "properties": {
        "address": {"type": "string", "pattern": "^[0-9.]+:[0-9]{1,5}$"},
        "wait_ms": {"type": "integer", "minimum": 100, "maximum": 30000}
      }},
    "seeds": {"type": "array", "items": {"type": "string", "pattern": "^[0-9.]+:[0-9]{1,5}$"}},
    "cpu_share": {"type": "number", "exclusiveMinimum": 0},
    "memory_mb": {"type": "integer", "minimum": 0},
    "max_fds": {"type": "integer", "minimum": 0},
    "link_mbps": {"type": "number", "minimum": 0},
    "regions": {"type": "object", "additionalProperties": {"type": "string"}},
    "scheduling": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "priorities": {"type": "boolean"},
        "placement": {"type": "boolean"},
        "hedging": {"type": "boolean"},
        "overload": {"type": "boolean"}
      }},
    "log": {"enum": ["debug", "info", "warning", "error"]},
    "log_lines_per_s": {"type": "integer", "minimum": 10, "maximum": 100000},
    "limits": {
      "type": "object", "required": ["retry_ratio", "retry_slack", "retry_window_s", "drain_ms", "grace_s"],
      "properties": {
        "retry_ratio": {"type": "number", "minimum": 0, "maximum": 1},
        "retry_slack": {"type": "number", "minimum": 0},
        "retry_window_s": {"type": "number", "exclusiveMinimum": 0, "maximum": 600},
        "drain_ms": {"type": "number", "exclusiveMinimum": 0},
        "grace_s": {"type": "number", "exclusiveMinimum": 0},
        "apply_ms": {"type": "number", "minimum": 500},
        "leaf_heartbeat_ms": {"type": "number", "exclusiveMinimum": 0},
        "connections": {"type": "integer", "minimum": 16},
        "caller_round_trip_ms": {"type": "number", "minimum": 0, "maximum": 1000},
        "quarantine_s": {"type": "number", "minimum": 10, "maximum": 86400},
        "quarantine_entries": {"type": "integer", "minimum": 16, "maximum": 65536}
      }}
  }
})";

using nlohmann::json;

listen_address readAddress(const json &from)
{
    const auto text = from.get<std::string>();
    const std::size_t colon = text.rfind(':');
    return {text.substr(0, colon), static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1)))};
}

millis millisFromSeconds(const json &from)
{
    constexpr double millisPerSecond = 1000;
    return millis(from.get<double>() * millisPerSecond);
}

std::map<zone_name, region_name> readRegions(const json &document)
{
    std::map<zone_name, region_name> regions;
    const json given = document.value("regions", json::object());
    for (const auto &[zone, region] : given.items()) {
        regions[{zone}] = {region.get<std::string>()};
    }
    return regions;
}

scheduling_switches readScheduling(const json &document)
{
    scheduling_switches switches;
    const json given = document.value("scheduling", json::object());
    readIfPresent(given, "priorities", switches.priorities);
    readIfPresent(given, "placement", switches.placement);
    readIfPresent(given, "hedging", switches.hedging);
    readIfPresent(given, "overload", switches.overload);
    return switches;
}

/**
 * The default wait of a watch. A store reader that silently loses the store detects it only when its watch is not
 * answered. Another reader must then read the store and update all VMs, still within the time limit for a configuration
 * to be in force. About a third of that limit is for the detection.
 */
millis defaultStoreWatchTimeout(millis applyLimit)
{
    constexpr double detectionShare = 0.3;
    return applyLimit * detectionShare;
}

} // namespace

tl::expected<gateway_daemon_settings, document_error> readGatewaySettings(std::string_view text)
{
    return parseAndValidate(text, gatewaySchema).map([](const json &document) {
        gateway_daemon_settings settings;
        readIfPresent(document, "vm", settings.vmName);
        readIfPresent(document, "zone", settings.zone.value);
        const json &listen = document.at("listen");
        settings.callers = readAddress(listen.at("callers"));
        settings.readiness = readAddress(listen.at("readiness"));
        settings.peers = readAddress(listen.at("peers"));
        readIfPresent(document, "seeds", settings.seeds);
        readIfPresent(document, "cpu_share", settings.cpuShare);
        readIfPresent(document, "memory_mb", settings.memoryMegabytes);
        readIfPresent(document, "max_fds", settings.maxDescriptors);
        readIfPresent(document, "link_mbps", settings.linkMegabits);
        settings.regions = readRegions(document);
        settings.scheduling = readScheduling(document);
        readIfPresent(listen, "helper_port", settings.helperPort);
        if (listen.contains("metrics")) {
            settings.metrics = readAddress(listen.at("metrics"));
        }
        const json &limits = document.at("limits");
        readIfPresent(limits, "apply_ms", settings.applyLimit);
        settings.storeWatchTimeout = defaultStoreWatchTimeout(settings.applyLimit);
        readIfPresent(document.at("store"), "address", settings.storeAddress);
        readIfPresent(document.at("store"), "wait_ms", settings.storeWatchTimeout);
        settings.log = logLevelFromName(document.value("log", "info"));
        readIfPresent(document, "log_lines_per_s", settings.logLinesPerSecond);
        readIfPresent(limits, "retry_ratio", settings.retryRatio);
        readIfPresent(limits, "retry_slack", settings.retrySlack);
        settings.retryWindow = millisFromSeconds(limits.at("retry_window_s"));
        readIfPresent(limits, "drain_ms", settings.drainLimit);
        settings.grace = millisFromSeconds(limits.at("grace_s"));
        readIfPresent(limits, "leaf_heartbeat_ms", settings.leafHeartbeat);
        if (limits.contains("connections")) {
            settings.maxConnections = limits.at("connections").get<std::size_t>();
        }
        readIfPresent(limits, "caller_round_trip_ms", settings.callerRoundTrip);
        if (limits.contains("quarantine_s")) {
            settings.quarantineHold = millisFromSeconds(limits.at("quarantine_s"));
        }
        readIfPresent(limits, "quarantine_entries", settings.quarantineEntries);
        return settings;
    });
}

} // namespace chivelock
