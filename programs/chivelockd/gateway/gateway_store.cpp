/** @file Applies updates from the store and from other VMs to the gateway. */

#include "addresses.h"
#include "gateway_service.h"

#include <algorithm>

namespace chivelock {

void gateway_service::onStoreItems(std::string_view prefix, const std::vector<store_item> &items)
{
    if (prefix == platform::configPrefix) {
        applyOperatorKeys(items);
    } else {
        applyLeafEvents(items);
        m_leafsReceived = true;
    }
    flush();
}

/** Applies zone drains before the configuration: requests are accepted once there is a configuration, and none of them
 *  may be sent to a drained zone. */
void gateway_service::applyOperatorKeys(const std::vector<store_item> &items)
{
    using enum platform::operator_key::subject;
    std::size_t unknown = 0;
    for (const store_item &item : items) {
        const platform::operator_key key = platform::readOperatorKey(item.key);
        if (key.about == DrainedZone) {
            applyZoneDrain(key.zone, item);
        }
        unknown += key.about == Unknown ? 1 : 0;
    }
    if (unknown > 0) {
        const auto first = std::ranges::find(
            items, Unknown, [](const store_item &item) { return platform::readOperatorKey(item.key).about; });
        logEvent(log_level::Warning,
                 "operator_keys_unknown",
                 {{"keys", std::uint64_t {unknown}},
                  {"first", first->key},
                  {"revision", first->revision},
                  {"outcome", std::string("ignored")}});
    }
    for (const store_item &item : items) {
        if (platform::readOperatorKey(item.key).about == Configuration) {
            applyConfig(item);
        }
    }
}

/** A zone is drained while its key exists; the value of the key is ignored. */
void gateway_service::applyZoneDrain(const zone_name &zone, const store_item &item)
{
    const bool changed = m_engine.setZoneDrained(zone, !item.deleted, m_clock.now());
    if (!changed) {
        return;
    }
    logEvent(log_level::Warning,
             item.deleted ? "zone_given_back" : "zone_emptied",
             {{"zone", zone.value},
              {"revision", item.revision},
              {"leafs", std::uint64_t {m_engine.leafs().countInZone(zone)}},
              {"outcome", std::string("in_force")}});
}

/** Logs one summary line for many items. The first contents and a new set of shards contain hundreds of leafs: a line
 * for each would use up the limit of log lines per second, and the more important lines about requests would be
 * dropped. */
void gateway_service::applyLeafEvents(const std::vector<store_item> &items)
{
    constexpr std::size_t maxSingleLogLines = 16; // a few percent of the limit of log lines per second
    const bool logEachLeaf = items.size() <= maxSingleLogLines;
    std::size_t changed = 0;
    for (const store_item &item : items) {
        changed += applyLeafEvent(item, logEachLeaf) ? 1 : 0;
    }
    if (!logEachLeaf) {
        logEvent(log_level::Info,
                 "leafs_changed",
                 {{"told", std::uint64_t {items.size()}},
                  {"changed", std::uint64_t {changed}},
                  {"known", std::uint64_t {m_engine.leafs().size()}},
                  {"told_by", m_feed->source()},
                  {"revision", items.back().revision}});
    }
}

void gateway_service::onFleetMembers(const std::vector<fleet_member> &members)
{
    m_helperLinks->setMembers(members);
}

std::vector<leaf_report> gateway_service::takeLeafReports()
{
    return m_engine.takeReports();
}

void gateway_service::onLeafReports(const std::vector<leaf_report> &reports)
{
    const std::size_t changes = m_engine.onReports(reports);
    if (changes == 0) {
        return;
    }
    const millis now = m_clock.now();
    const leaf_report &oldest = std::ranges::min(reports, {}, &leaf_report::observedAt);
    logEvent(log_level::Info,
             "leaf_reports",
             {{"heard", std::uint64_t {reports.size()}},
              {"beliefs_changed", std::uint64_t {changes}},
              {"oldest_ms", (now - oldest.observedAt).ceiled()}});
}

std::vector<request_evidence> gateway_service::onRequestEvidence(const std::vector<request_evidence> &evidence)
{
    const millis now = m_clock.now();
    std::vector<request_evidence> added = m_engine.onRequestEvidence(evidence, now);
    for (const request_evidence &one : added) {
        logEvent(log_level::Warning,
                 "request_verdict",
                 {{"key", toString(one.key)},
                  {"outcome", std::string(toString(m_engine.requests().quarantineStateOf(one.key, now)))},
                  {"leafs", std::uint64_t {crashedLeafs(one)}},
                  {"attempts", std::uint64_t {failedAttempts(one)}},
                  {"held_ms", m_engine.requests().quarantineRemaining(one.key, now).ceiled()},
                  {"told_by", std::string("fleet")}});
    }
    flush(); // sends what this VM knows about one of these requests
    return added;
}

std::vector<request_evidence> gateway_service::allRequestEvidence()
{
    return m_engine.requests().all();
}

void gateway_service::onFleetState(const fleet_state &state)
{
    m_engine.setFleetSize(state.size, state.possibleSize);
    m_engine.leafs().noteCurrent(state.currentAsOf);
    if (state.isStoreUnavailable) {
        m_engine.leafs().recordStoreFailure(m_clock.now());
    }
}

bool gateway_service::applyLeafEvent(const store_item &item, bool shouldLog)
{
    const millis now = m_clock.now();
    const std::string id(platform::leafIdFromKey(item.key));
    if (item.deleted) {
        const bool known = m_engine.leafs().remove(id, now, item.beforeStart);
        if (known && shouldLog) {
            logEvent(log_level::Info,
                     "leaf_missing",
                     {{"leaf", id},
                      {"revision", item.revision},
                      {"told_by", m_feed->source()},
                      {"before_start", item.beforeStart},
                      {"as_of_ms", m_engine.leafs().maxUpdateAge(now).ceiled()}});
        }
        return known;
    }
    auto entry = platform::decodeLeaf(item.key, item.value);
    if (entry && !parseEndpoint(entry->address)) {
        entry = tl::unexpected(platform::decode_error {"address is not an IP address with a port"});
    }
    if (!entry) {
        const bool wasInUse = m_engine.leafs().markUnreadable(id);
        logEvent(log_level::Error,
                 "leaf_entry_refused",
                 {{"key", item.key},
                  {"revision", item.revision},
                  {"cause", entry.error().reason},
                  {"outcome", std::string(wasInUse ? "leaf_not_asked" : "ignored")}});
        return false;
    }
    const bool changed = m_engine.leafs().put(*entry, now);
    if (changed && shouldLog) {
        logEvent(log_level::Info,
                 entry->draining ? "leaf_draining" : "leaf_ready",
                 {{"leaf", id},
                  {"service", entry->service.value},
                  {"address", entry->address},
                  {"revision", item.revision},
                  {"outcome", std::string(m_engine.leafs().find(id)->stateName())},
                  {"told_by", m_feed->source()},
                  {"as_of_ms", m_engine.leafs().maxUpdateAge(now).ceiled()}});
    }
    return changed;
}

void gateway_service::applyConfig(const store_item &item)
{
    if (item.deleted) {
        return;
    }
    auto config = platform::decodeConfig(item.value);
    if (!config) {
        logEvent(log_level::Error, "config_refused", {{"revision", item.revision}, {"cause", config.error().reason}});
        return;
    }
    const std::uint64_t version = config->version;
    const std::size_t routes = config->routes.size();
    const caller_limits limits = config->limits;
    const bool isInForce = m_engine.applyConfig(*std::move(config));
    if (isInForce) {
        m_callers->setLimits(limits);
    }
    logEvent(log_level::Info,
             isInForce ? "config_in_force" : "config_not_newer",
             {{"version", version}, {"routes", std::uint64_t {routes}}, {"revision", item.revision}});
}

} // namespace chivelock
