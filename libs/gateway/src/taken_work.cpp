/** @file Shards that this VM asks for another one. */

#include "exchange.h"

#include <algorithm>

namespace chivelock {

exchange_id gateway_engine::arriveDelegated(std::string requestId, const delegated_work &asked, millis now)
{
    auto work = std::make_unique<exchange>();
    gateway_route &route = work->ownRoute.emplace();
    route.name = asked.route;
    route.idempotent = true;
    route.objective = asked.objective;
    route.timeout = asked.limitIn;
    route.maxAttempts = 1;
    route.shards = asked.shards;
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
    work->pace = &paceOf(route);
    work->arrivedAt = now;
    work->cutoff = now + asked.cutoffIn;
    work->speakBy = now + asked.speakIn;
    work->limit = now + asked.limitIn;
    work->alone = asked.alone;
    addCalls(*work, route.shards);
    noteTried(*work, asked.triedLeafs);
    const bool quarantined = m_requests.standingOf(asked.key, now) == request_standing::Quarantined;
    if (!m_table || quarantined) {
        return refuseDelegated(*work, now); // just started, it knows no leafs yet; or it knows more of the request
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
        tellProgress(kept, false, now); // the VM that waits may know a leaf that this one does not
    }
    finishGatherIfDone(kept, now);
    settle(kept, now);
    return id;
}

void gateway_engine::noteTried(exchange &work, std::span<const std::string> leafIds)
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
    tellProgress(work, true, now);
    return work.id;
}

/** A leaf that could not be reached at all got nothing, so another one is the first. Anything else is for the VM that
 *  counts the attempts to decide. */
void gateway_engine::askElsewhere(exchange &work, std::size_t at, std::string_view cause, millis now)
{
    constexpr unsigned mostTries = 3;
    shard_call &call = work.calls[at];
    const bool first = !call.reachedLeaf && call.sends < mostTries;
    const choice chosen = first ? chooseLeaf(work, call, false, now) : choice();
    if (chosen.to) {
        sendCall(work, at, chosen.to, now);
        return;
    }
    failCall(work, at, cause, now);
    if (!work.ended) {
        tellProgress(work, false, now);
    }
}

/** Tells what has come since the last word; nothing if nothing has, unless it is the first or the last. */
void gateway_engine::tellProgress(exchange &work, bool last, millis now)
{
    const bool pendingDue = !work.pendingTold && now >= work.speakBy;
    work.pendingTold = work.pendingTold || pendingDue;
    delegated_progress word;
    word.last = last;
    std::vector<std::string_view> parts;
    for (std::size_t at = 0; at < work.calls.size(); ++at) {
        shard_call &call = work.calls[at];
        const auto shard = static_cast<std::uint32_t>(at);
        if (call.done && !call.told) {
            call.told = true;
            if (call.pendingTold || work.alone) {
                tellAlone(work, shard);
                continue;
            }
            word.parts.push_back({shard, call.part.stamp});
            parts.emplace_back(call.part.body);
        } else if (call.missing && !call.told) {
            call.told = true;
            word.lost.push_back({shard, call.mayHaveRun > 0, call.reachedLeaf, call.leafEnded, call.lastAsked});
        } else if (pendingDue && !call.done && !call.missing && !call.lastAsked.empty()) {
            call.pendingTold = true;
            word.pending.push_back({shard, call.lastAsked});
        }
    }
    word.records = mergeRecords(parts, work.route->topRecords);
    work.ended = work.ended || last;
    const bool news = !word.parts.empty() || !word.lost.empty() || !word.pending.empty();
    if (news || last || !work.spoke) {
        work.spoke = true;
        m_actions.emplace_back(progress_action {work.id, std::move(word)});
    }
}

void gateway_engine::tellAlone(const exchange &work, std::uint32_t shard)
{
    const gateway_reply &part = work.calls[shard].part;
    delegated_progress word;
    word.parts.push_back({shard, part.stamp});
    const std::vector<std::string_view> parts = {part.body};
    word.records = mergeRecords(parts, work.route->topRecords);
    m_actions.emplace_back(progress_action {work.id, std::move(word)});
}

void gateway_engine::onSurvived(exchange_id id)
{
    const auto found = m_exchanges.find(id);
    if (found != m_exchanges.end()) {
        found->second->evidence->survived = true;
    }
}

void gateway_engine::onUnneeded(exchange_id id, millis now)
{
    const auto found = m_exchanges.find(id);
    if (found == m_exchanges.end()) {
        return;
    }
    settleEvidence(*found->second, now);
    for (auto &[sendId, one] : m_sends) {
        if (one.exchange == id) {
            one.exchange = 0; // its answer still tells of the leaf
        }
    }
    erase(id);
}

} // namespace chivelock
