#include "reports.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace chivelock {

namespace {

using nlohmann::json;

constexpr std::uint16_t okStatus = 200;
constexpr std::uint16_t notReadyStatus = 503;

/** Lists the problems that an operator should look at, one text each. Empty if there are none. */
json listTroubles(const entry_status &status)
{
    json troubles = json::array();
    if (status.ready != readiness::Ready) {
        troubles.push_back("not ready: " + std::string(toString(status.ready)));
    }
    if (!status.catalogueRefusal.empty()) {
        troubles.push_back("catalogue: " + status.catalogueRefusal);
    }
    if (!status.topologyRefusal.empty()) {
        troubles.push_back("topology refused: " + status.topologyRefusal);
    }
    if (!status.receivedPeerHeartbeat && status.members.size() > 1) {
        troubles.push_back("no peer was heard since the start: what is in force here may be older than elsewhere");
    }
    for (const member_rumour &member : status.members) {
        if (member.state != member_state::Alive) {
            troubles.push_back("vm " + std::to_string(member.vm.value) + " is " + std::string(toString(member.state)));
        }
    }
    return troubles;
}

std::string statusText(const entry_core &core, millis now)
{
    const entry_status status = core.status(now);
    json page = {{"vm", status.self.value},
                 {"incarnation", status.incarnation},
                 {"ready", status.ready == readiness::Ready},
                 {"readiness", toString(status.ready)},
                 {"catalogue_revision", status.catalogueRevision},
                 {"topology_revision", status.topologyRevision},
                 {"vm_list_revision", status.vmListRevision},
                 {"lookups_in_flight", status.lookupsInFlight},
                 {"shards_in_hand", status.shardsInHand},
                 {"leaf_requests", status.leafRequests},
                 {"tickets", status.tickets},
                 {"troubles", listTroubles(status)},
                 {"members", json::array()},
                 {"services", json::array()},
                 {"kinds", json::array()}};
    for (const member_rumour &member : status.members) {
        page["members"].push_back(
            {{"vm", member.vm.value}, {"state", toString(member.state)}, {"incarnation", member.incarnation}});
    }
    if (core.topology()) {
        for (const service_map &service : core.topology()->services) {
            page["services"].push_back({{"name", service.name.value},
                                        {"snapshot", service.snapshot.value},
                                        {"map_version", service.version.value},
                                        {"shards", service.shards.size()}});
        }
    }
    std::ranges::transform(core.catalogue().current()->kinds,
                           std::back_inserter(page["kinds"]),
                           [](const kind_entry &kind) { return kind.name.value; });
    return page.dump(1);
}

std::string auditText(const entry_core &core, millis now)
{
    json lines = json::array();
    for (const audit_entry &entry : core.catalogue().audit()) {
        lines.push_back({{"age_ms", (now - entry.at).ceiled()},
                         {"revision", entry.revision},
                         {"verdict", toString(entry.verdict)},
                         {"source", entry.source},
                         {"kind", entry.kind},
                         {"owner", entry.owner},
                         {"old", entry.oldValue},
                         {"new", entry.newValue},
                         {"detail", entry.detail}});
    }
    return lines.dump(1);
}

} // namespace

report_page writeReport(const report_requested &request, const entry_core &core, millis now)
{
    report_page page {request.caller, okStatus, "application/json", {}};
    switch (request.kind) {
    case report_kind::Ready: {
        const readiness ready = core.status(now).ready;
        page.status = ready == readiness::Ready ? okStatus : notReadyStatus;
        page.body = json {{"ready", ready == readiness::Ready}, {"readiness", toString(ready)}}.dump();
        break;
    }
    case report_kind::Audit:
        page.body = auditText(core, now);
        break;
    case report_kind::Status:
    case report_kind::Metrics:
        page.body = statusText(core, now);
        break;
    }
    return page;
}

std::vector<metric_value> metricValues(const metrics_page &page)
{
    const auto count = [](std::uint64_t value) { return static_cast<double>(value); };
    const runner_counters &runner = page.runner;
    const root_counters &root = page.root;
    const std::string_view leafSends = "chivelock_leaf_requests_total";
    const std::string_view leafSendsHelp = "Requests sent to leafs, by cause";
    const std::string_view refusals = "chivelock_refusals_total";
    const std::string_view refusalsHelp = "Refusals, by who refused: own_limits, own_queue or leaf";
    const std::string_view dropped = "chivelock_dropped_replies_total";
    const std::string_view droppedHelp = "Replies that were not used, by cause";
    return {
        {leafSends, leafSendsHelp, count(runner.firstSends), "first"},
        {leafSends, leafSendsHelp, count(runner.retries), "retry"},
        {leafSends, leafSendsHelp, count(runner.hedges), "hedge"},
        {"chivelock_hedge_wins_total", "Hedges whose answer came first", count(runner.hedgeWins), {}},
        {"chivelock_cancels_total", "Requests cancelled at leafs", count(runner.cancels), {}},
        {refusals, refusalsHelp, count(root.refusedLocally), "own_limits"},
        {refusals, refusalsHelp, count(runner.refusedOverload), "own_queue"},
        {refusals, refusalsHelp, count(runner.leafSheds), "leaf"},
        {"chivelock_leaf_failures_total", "Requests to leafs that failed", count(runner.leafFailures), {}},
        {dropped, droppedHelp, count(runner.staleReplies + root.staleReplies), "late_or_doubled"},
        {dropped, droppedHelp, count(runner.mismatchedReplies + root.mismatchedReplies), "other_snapshot_or_shard"},
        {"chivelock_snapshot_restarts_total", "Lookups restarted on another snapshot", count(root.restarts), {}},
        {"chivelock_rerouted_shards_total", "Shards taken from a runner that did not answer", count(root.reroutes), {}},
        {"chivelock_lookups_in_flight", "Lookups in hand", count(page.status.lookupsInFlight), {}},
        {"chivelock_shards_in_hand", "Shards in hand for any root", count(page.status.shardsInHand), {}},
        {"chivelock_catalogue_revision", "Catalogue revision in force", count(page.status.catalogueRevision), {}},
        {"chivelock_topology_revision", "Topology revision in force", count(page.status.topologyRevision), {}},
        {"chivelock_ready", "1 if ready", page.status.ready == readiness::Ready ? 1.0 : 0.0, {}}};
}

} // namespace chivelock
