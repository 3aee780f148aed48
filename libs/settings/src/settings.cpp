#include "read_settings.h"

#include <settings/settings.h>

namespace chivelock {

namespace {

constexpr std::string_view settingsSchema = R"({
  "type": "object", "additionalProperties": false, "required": ["vm", "zone", "listen", "platform"],
  "properties": {
    "vm": {"type": "integer", "minimum": 0, "maximum": 4294967295},
    "zone": {"type": "string", "minLength": 1, "maxLength": 64},
    "listen": {
      "type": "object", "additionalProperties": false, "required": ["address", "http_port", "peer_port"],
      "properties": {
        "address": {"type": "string", "pattern": "^[0-9a-f.:]+$"},
        "http_port": {"type": "integer", "minimum": 1, "maximum": 65535},
        "peer_port": {"type": "integer", "minimum": 1, "maximum": 65535},
        "http_threads": {"type": "integer", "minimum": 1, "maximum": 64},
        "max_request_bytes": {"type": "integer", "minimum": 1024, "maximum": 1048576}
      }},
    "platform": {
      "type": "object", "additionalProperties": false, "required": ["url"],
      "properties": {
        "url": {"type": "string", "pattern": "^http://[0-9a-f.:]+$"},
        "watch_ms": {"type": "integer", "minimum": 100, "maximum": 60000},
        "retry_ms": {"type": "integer", "minimum": 50, "maximum": 60000}
      }},
    "extra_peer_addresses": {"type": "array", "items": {"type": "string", "pattern": "^[0-9a-f.:]+$"}},
    "log": {"enum": ["debug", "info", "warning", "error"]},
    "log_answers": {"type": "boolean"},
    "ring_capacity": {"type": "integer", "minimum": 64, "maximum": 65000},
    "stop": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "lame_duck_ms": {"type": "integer", "minimum": 0, "maximum": 600000},
        "limit_ms": {"type": "integer", "minimum": 100, "maximum": 600000}
      }},
    "routing": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "mode": {"enum": ["runner", "direct"]},
        "ack_timeout_ms": {"type": "integer", "minimum": 1, "maximum": 60000},
        "avoid_stalled_ms": {"type": "integer", "minimum": 1, "maximum": 60000},
        "max_lookups": {"type": "integer", "minimum": 1, "maximum": 60000}
      }},
    "leafs": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "extra_in_flight": {"type": "integer", "minimum": 0, "maximum": 64},
        "hedging": {"type": "boolean"},
        "hedge_quantile": {"type": "number", "minimum": 0.5, "maximum": 0.999},
        "hedge_budget": {"type": "number", "minimum": 0, "maximum": 1},
        "max_hedges": {"type": "integer", "minimum": 0, "maximum": 8},
        "retry_budget": {"type": "number", "minimum": 0, "maximum": 1},
        "queue_share": {"type": "number", "minimum": 0.01, "maximum": 1},
        "ordinary_floor": {"type": "integer", "minimum": 2, "maximum": 1000},
        "fresh_bound_ms": {"type": "integer", "minimum": 100, "maximum": 2500},
        "probe_ms": {"type": "integer", "minimum": 50, "maximum": 1000}
      }},
    "tickets": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "capacity": {"type": "integer", "minimum": 1, "maximum": 1000000},
        "lifetime_ms": {"type": "integer", "minimum": 1000, "maximum": 86400000}
      }}
  }
})";

using nlohmann::json;

json section(const json &document, const char *key)
{
    return document.value(key, json::object());
}

void readListen(const json &from, listen_settings &listen)
{
    take(from, "address", listen.address);
    take(from, "http_port", listen.httpPort);
    take(from, "peer_port", listen.peerPort);
    take(from, "http_threads", listen.httpThreads);
    take(from, "max_request_bytes", listen.maxRequestBytes);
}

void readEntry(const json &document, entry_settings &entry)
{
    const json stop = section(document, "stop");
    take(stop, "lame_duck_ms", entry.lameDuck);
    take(stop, "limit_ms", entry.stopLimit);
    const json routing = section(document, "routing");
    entry.root.direct = routing.value("mode", "runner") == "direct";
    take(routing, "ack_timeout_ms", entry.root.ackTimeout);
    take(routing, "avoid_stalled_ms", entry.root.avoidStalled);
    take(routing, "max_lookups", entry.root.maxLookups);
    const json leafs = section(document, "leafs");
    take(leafs, "extra_in_flight", entry.runner.extraInFlight);
    take(leafs, "hedging", entry.runner.hedging);
    take(leafs, "hedge_quantile", entry.runner.hedgeQuantile);
    take(leafs, "hedge_budget", entry.runner.hedgeBudget);
    take(leafs, "max_hedges", entry.runner.maxHedges);
    take(leafs, "retry_budget", entry.runner.retryBudget);
    take(leafs, "queue_share", entry.runner.queueShare);
    take(leafs, "ordinary_floor", entry.runner.ordinaryFloor);
    take(leafs, "fresh_bound_ms", entry.runner.freshBound);
    take(leafs, "probe_ms", entry.runner.probeInterval);
    const json tickets = section(document, "tickets");
    take(tickets, "capacity", entry.tickets.capacity);
    take(tickets, "lifetime_ms", entry.tickets.lifetime);
}

/** A stop limit below the notice would cut the notice short without saying so. */
std::optional<document_error> crossChecked(const daemon_settings &settings)
{
    if (settings.entry.lameDuck > settings.entry.stopLimit) {
        return document_error {{{"/stop/lame_duck_ms",
                                 std::to_string(settings.entry.lameDuck.ceiled()),
                                 "must not be above limit_ms, " + std::to_string(settings.entry.stopLimit.ceiled())}}};
    }
    return std::nullopt;
}

} // namespace

tl::expected<daemon_settings, document_error> readSettings(std::string_view text)
{
    return parseChecked(text, settingsSchema)
        .and_then([](const json &document) -> tl::expected<daemon_settings, document_error> {
            daemon_settings settings;
            take(document, "vm", settings.vm.value);
            take(document, "zone", settings.zone.value);
            readListen(document.at("listen"), settings.listen);
            const json &platform = document.at("platform");
            take(platform, "url", settings.platform.url);
            take(platform, "watch_ms", settings.platform.watchFor);
            take(platform, "retry_ms", settings.platform.retryAfter);
            take(document, "extra_peer_addresses", settings.extraPeerAddresses);
            settings.log = levelFrom(document.value("log", "info"));
            take(document, "log_answers", settings.logAnswers);
            take(document, "ring_capacity", settings.ringCapacity);
            readEntry(document, settings.entry);
            settings.entry.self = settings.vm;
            if (std::optional<document_error> error = crossChecked(settings)) {
                return tl::unexpected(*std::move(error));
            }
            return settings;
        });
}

} // namespace chivelock
