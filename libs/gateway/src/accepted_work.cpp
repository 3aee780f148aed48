/** @file Work accepted from other VMs: shards that this VM queries on their behalf. */

#include "exchange.h"

#include <algorithm>

namespace chivelock {

exchange_id gateway_engine::acceptDelegatedWork(std::string requestId, const delegated_work &asked, millis now)
{
    auto work = std::make_unique<exchange>();
    gateway_route &route = work->ownRoute.emplace();
    route.name = asked.route;
    route.idempotent = true;
    route.objective = asked.objective;
    route.timeout = asked.limitIn;
    route.maxAttempts = 1;
    route.shards = asked.shards;
    route.homeRegions = asked.homeRegions;
    route.rank = asked.rank;
    route.topRecords = asked.topRecords;
    route.minCoverage = 0;
    work->id = m_nextId++;
    work->requestId = std::move(requestId);
    work->key = asked.key;
    work->evidence = std::make_shared<attempt_evidence>();
    work->evidence->key = asked.key;
    work->evidence->route = digestOfRoute(asked.route);
    work->evidence->attempt = asked.attempt;
    work->table = m_table;
    work->route = &*work->ownRoute;
    work->latency = &latencyOf(route);
    work->urgency = urgencyOf(asked.rank);
    work->arrivedAt = now;
    work->begunAt = now;
    work->cutoff = now + asked.cutoffIn;
    work->firstReportDue = now + asked.firstReportIn;
    work->pendingReportDue = pendingReportDue(*work, asked, now);
    work->limit = now + asked.limitIn;
    limitToStop(*work);
    work->reportSeparately = asked.alone;
    addCalls(*work, route.shards);
    excludeTriedLeafs(*work, asked.triedLeafs);
    const bool quarantined = m_requests.quarantineStateOf(asked.key, now) == quarantine_state::Quarantined;
    const bool expired = work->limit <= now; // it was queued here until its time limit, or the process is about to end
    // Without a table this VM has just started and knows no leafs; the delegating VM may not know of a quarantine yet.
    if (!m_table || quarantined || expired) {
        return refuseDelegated(*work, now);
    }
    const exchange_id id = work->id;
    exchange &kept = *m_exchanges.emplace(id, std::move(work)).first->second;
    for (std::size_t at = 0; at < kept.calls.size(); ++at) {
        shard_call &call = kept.calls[at];
        const choice chosen = chooseLeaf(kept, call, false, now);
        if (chosen.to) {
            sendCall(kept, at, chosen.to, now);
        } else if (chosen.full) {
            call.waiting = true;
        } else {
            call.missing = true;
            kept.missing += 1;
        }
    }
    if (kept.missing > 0 && kept.missing < kept.calls.size()) {
        reportProgress(kept, false, now); // the delegating VM may know a leaf that this one does not
    }
    finishGatherIfDone(kept, now);
    settle(kept, now);
    return id;
}

void gateway_engine::excludeTriedLeafs(exchange &work, std::span<const std::string> leafIds)
{
    for (const std::string &id : leafIds) {
        const std::shared_ptr<leaf> tried = m_leafs.find(id);
        if (!tried) {
            continue;
        }
        const auto call = std::ranges::find(work.calls, tried->entry.service, &shard_call::service);
        if (call != work.calls.end()) {
            call->tried.push_back(tried);
        }
    }
}

exchange_id gateway_engine::refuseDelegated(exchange &work, millis now)
{
    std::ranges::for_each(work.calls, [](shard_call &call) { call.missing = true; });
    reportProgress(work, true, now);
    return work.id;
}

/** Tries another leaf if none has received the request yet, since this is not a further attempt. In all other cases the
 *  delegating VM, which counts the attempts, decides. */
void gateway_engine::retryIfUnreached(exchange &work, std::size_t at, std::string_view cause, millis now)
{
    constexpr unsigned maxSends = 3;
    shard_call &call = work.calls[at];
    const bool first = !call.reachedLeaf && call.sends < maxSends;
    const choice chosen = first ? chooseLeaf(work, call, false, now) : choice();
    if (chosen.to) {
        sendCall(work, at, chosen.to, now);
        return;
    }
    failCall(work, at, cause, now);
    if (!work.ended) {
        reportProgress(work, false, now);
    }
}

/** Reports the changes since the previous report. An empty report is sent only as the first or the last one. */
void gateway_engine::reportProgress(exchange &work, bool last, millis now)
{
    const bool pendingDue = !work.pendingReported && now >= work.pendingReportDue;
    work.pendingReported = work.pendingReported || pendingDue;
    delegated_progress report;
    report.last = last;
    const bool isGivenUp = last && isLimitedByStop(work); // while the delegating VM still has time
    std::vector<std::string_view> parts;
    for (std::size_t at = 0; at < work.calls.size(); ++at) {
        shard_call &call = work.calls[at];
        const auto shard = static_cast<std::uint32_t>(at);
        if (call.done && !call.reported) {
            call.reported = true;
            if (call.pendingReported || work.reportSeparately) {
                reportSinglePart(work, shard);
                continue;
            }
            report.parts.push_back({shard, call.part.stamp});
            parts.emplace_back(call.part.body);
        } else if ((call.missing || (isGivenUp && !call.done)) && !call.reported) {
            call.reported = true;
            report.lost.push_back({shard, call.mayHaveRun > 0, call.reachedLeaf, call.leafCrashed, call.lastAsked});
        } else if (pendingDue && !call.done && !call.missing && !call.lastAsked.empty()) {
            call.pendingReported = true;
            report.pending.push_back({shard, call.lastAsked});
        }
    }
    report.records = mergeRecords(parts, work.route->topRecords);
    if (last) {
        recordLateParts(work, now);
    }
    work.ended = work.ended || last;
    const bool hasChanges = !report.parts.empty() || !report.lost.empty() || !report.pending.empty();
    if (hasChanges || last || !work.firstReportSent) {
        work.firstReportSent = true;
        m_actions.emplace_back(progress_action {work.id, std::move(report)});
    }
}

void gateway_engine::reportSinglePart(const exchange &work, std::uint32_t shard)
{
    const shard_part &part = work.calls[shard].part;
    delegated_progress report;
    report.parts.push_back({shard, part.stamp});
    const std::vector<std::string_view> parts = {part.body};
    report.records = mergeRecords(parts, work.route->topRecords);
    m_actions.emplace_back(progress_action {work.id, std::move(report)});
}

void gateway_engine::onSurvived(exchange_id id)
{
    const auto found = m_exchanges.find(id);
    if (found != m_exchanges.end()) {
        found->second->evidence->survived = true;
    }
}

void gateway_engine::onDelegationCancelled(exchange_id id, millis now)
{
    const auto found = m_exchanges.find(id);
    if (found == m_exchanges.end()) {
        return;
    }
    submitEvidence(*found->second, now);
    for (auto &[sendId, one] : m_sends) {
        if (one.exchange == id) {
            one.exchange = 0; // its answer still updates the leaf's health
        }
    }
    erase(id);
}

} // namespace chivelock
