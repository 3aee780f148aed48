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

json objectOrEmpty(const json &document, const char *key)
{
    return document.value(key, json::object());
}

void readListenSettings(const json &from, listen_settings &listen)
{
    readIfPresent(from, "address", listen.address);
    readIfPresent(from, "http_port", listen.httpPort);
    readIfPresent(from, "peer_port", listen.peerPort);
    readIfPresent(from, "http_threads", listen.httpThreads);
    readIfPresent(from, "max_request_bytes", listen.maxRequestBytes);
}

void readEntrySettings(const json &document, entry_settings &entry)
{
    const json stop = objectOrEmpty(document, "stop");
    readIfPresent(stop, "lame_duck_ms", entry.lameDuck);
    readIfPresent(stop, "limit_ms", entry.stopLimit);
    const json routing = objectOrEmpty(document, "routing");
    entry.root.direct = routing.value("mode", "runner") == "direct";
    readIfPresent(routing, "ack_timeout_ms", entry.root.ackTimeout);
    readIfPresent(routing, "avoid_stalled_ms", entry.root.stalledRunnerCooldown);
    readIfPresent(routing, "max_lookups", entry.root.maxLookups);
    const json leafs = objectOrEmpty(document, "leafs");
    readIfPresent(leafs, "extra_in_flight", entry.runner.extraInFlight);
    readIfPresent(leafs, "hedging", entry.runner.hedging);
    readIfPresent(leafs, "hedge_quantile", entry.runner.hedgeQuantile);
    readIfPresent(leafs, "hedge_budget", entry.runner.hedgeBudget);
    readIfPresent(leafs, "max_hedges", entry.runner.maxHedges);
    readIfPresent(leafs, "retry_budget", entry.runner.retryBudget);
    readIfPresent(leafs, "queue_share", entry.runner.maxQueueWaitShare);
    readIfPresent(leafs, "ordinary_floor", entry.runner.ordinaryFloor);
    readIfPresent(leafs, "fresh_bound_ms", entry.runner.maxHealthAge);
    readIfPresent(leafs, "probe_ms", entry.runner.probeInterval);
    const json tickets = objectOrEmpty(document, "tickets");
    readIfPresent(tickets, "capacity", entry.tickets.capacity);
    readIfPresent(tickets, "lifetime_ms", entry.tickets.lifetime);
}

/** Refuses a stop limit below the lame-duck time: it would silently shorten the lame-duck time. */
std::optional<document_error> stopLimitProblem(const daemon_settings &settings)
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
    return parseAndValidate(text, settingsSchema)
        .and_then([](const json &document) -> tl::expected<daemon_settings, document_error> {
            daemon_settings settings;
            readIfPresent(document, "vm", settings.vm.value);
            readIfPresent(document, "zone", settings.zone.value);
            readListenSettings(document.at("listen"), settings.listen);
            const json &platform = document.at("platform");
            readIfPresent(platform, "url", settings.platform.url);
            readIfPresent(platform, "watch_ms", settings.platform.watchTimeout);
            readIfPresent(platform, "retry_ms", settings.platform.retryAfter);
            readIfPresent(document, "extra_peer_addresses", settings.extraPeerAddresses);
            settings.log = logLevelFromName(document.value("log", "info"));
            readIfPresent(document, "log_answers", settings.logAnswers);
            readIfPresent(document, "ring_capacity", settings.ringCapacity);
            readEntrySettings(document, settings.entry);
            settings.entry.self = settings.vm;
            if (std::optional<document_error> error = stopLimitProblem(settings)) {
                return tl::unexpected(*std::move(error));
            }
            return settings;
        });
}

} // namespace chivelock
