/** @file Delegation of a lookup's shards to other VMs: sending the work, applying reports, reclaiming lost work. */

#include "exchange.h"

#include <algorithm>

namespace chivelock {

namespace {

constexpr double reportTimeoutFactor = 1.3; // times the due time of the first report: a busy VM reports late
constexpr millis hopMargin(3); // for the message there and back, and for reading it on a busy small VM
constexpr millis avoidHelperFor(1500); // a frozen VM delays one lookup in this time and not every one

} // namespace

void gateway_engine::delegateCalls(exchange &work,
                                   const std::string &helper,
                                   std::vector<std::size_t> calls,
                                   millis now)
{
    for (const std::size_t at : calls) {
        shard_call &call = work.calls[at];
        budgetOf(call.service).countRequest(now);
        call.openDelegations += 1;
        call.mayHaveRun += 1;
    }
    delegate(work, helper, std::move(calls), false, now);
}

/**
 * Sends the request to a second leaf. The send is delegated to the VM whose part contains the leaf, unless this VM has
 * a kept connection to it: a new connection across zones costs a round trip and some milliseconds of a slot of the
 * leaf.
 */
void gateway_engine::sendSecond(exchange &work, std::size_t at, const std::shared_ptr<leaf> &to, millis now)
{
    countSecondSend(work, work.calls[at]);
    work.delegatedSecondSends += sendApart(work, at, to, now) ? 1 : 0;
}

/** @return whether the send was delegated; otherwise this VM sends it. */
bool gateway_engine::sendApart(exchange &work, std::size_t at, const std::shared_ptr<leaf> &to, millis now)
{
    const auto parts = work.partsByZone.find(to->entry.zone);
    const bool apart = parts != work.partsByZone.end() && to->keptConnections == 0 && !work.isDelegated();
    std::string helper =
        apart ? secondHelperFor(work, to->entry.zone, at % parts->second, parts->second, now) : std::string();
    if (helper.empty()) {
        sendCall(work, at, to, now);
        return false;
    }
    shard_call &call = work.calls[at];
    call.openDelegations += 1;
    call.mayHaveRun += 1;
    call.sends += 1;
    call.waiting = false;
    call.nextHedge = millis::never();
    work.secondSends[std::move(helper)].push_back(at);
    return true;
}

/** Delegates the second sends of this step, in one message for each VM. */
void gateway_engine::delegateSecondSends(exchange &work, millis now)
{
    for (auto &[helper, calls] : std::exchange(work.secondSends, {})) {
        if (!work.ended) {
            delegate(work, helper, std::move(calls), true, now);
        }
    }
}

/** @param calls whose attempt is already counted. @param second second sends, whose shards are reported separately. */
void gateway_engine::delegate(
    exchange &work, const std::string &helper, std::vector<std::size_t> calls, bool second, millis now)
{
    updateHedgeDelay(work, now);
    delegate_action action;
    action.id = m_nextId++;
    action.exchange = work.id;
    action.helper = helper;
    action.work.route = work.route->name;
    action.work.key = work.key;
    action.work.attempt = work.evidence->attempt;
    action.work.homeRegions = work.route->homeRegions;
    action.work.topRecords = work.route->topRecords;
    action.work.rank = work.route->rank;
    action.work.objective = work.route->objective;
    action.work.cutoffIn = std::max(work.cutoff - now - hopMargin, hopMargin);
    action.work.firstReportIn = firstReportDelay(work, action.work.cutoffIn);
    action.work.limitIn = std::max(work.limit - now - hopMargin, hopMargin);
    action.work.alone = second;
    for (const std::size_t at : calls) {
        const shard_call &call = work.calls[at];
        action.work.shards.push_back(call.service);
        for (const std::shared_ptr<leaf> &one : call.tried) {
            action.work.triedLeafs.push_back(one->entry.id);
        }
        listAvoidedLeafs(work, call, action.work.triedLeafs, now);
    }
    delegation made;
    made.exchange = work.id;
    made.helper = helper;
    made.second = second;
    made.shardDone.resize(calls.size());
    made.calls = std::move(calls);
    made.delegatedAt = now;
    made.firstReportIn = action.work.firstReportIn;
    // A small VM may be some milliseconds late. With the learnt delay, all its shards would be hedged for that.
    made.reportExpectedIn = std::max(made.firstReportIn, work.latency->hedgeDelay());
    made.firstReportTimeout = made.reportExpectedIn * reportTimeoutFactor + hopMargin * 2;
    m_due.push({now + made.firstReportTimeout, due_kind::Delegation, action.id});
    work.delegations.push_back(action.id);
    work.sends += 1;
    m_delegations.emplace(action.id, std::move(made));
    m_actions.emplace_back(std::move(action));
}

void gateway_engine::onProgress(delegation_id id, delegated_progress progress, millis now)
{
    const auto found = m_delegations.find(id);
    if (found == m_delegations.end()) {
        return;
    }
    learnHelperHop(found->second, progress, now);
    if (!std::exchange(found->second.reportReceived, true)) {
        recordReportDelay(found->second, now);
    }
    if (found->second.late) {
        m_unresponsiveUntil.erase(found->second.helper);
    }
    exchange &work = *m_exchanges.at(found->second.exchange);
    acceptDelegatedParts(work, progress, found->second, now);
    std::vector<lost_shard> lost;
    std::ranges::copy_if(progress.lost, std::back_inserter(lost), [&](const lost_shard &one) {
        return markShardDone(found->second, one.shard);
    });
    const delegation from = found->second;
    if (progress.last) {
        m_delegations.erase(found);
        std::erase(work.delegations, id);
    }
    for (const lost_shard &one : lost) {
        if (from.second && !one.mayHaveRun) {
            releaseSecond(work, work.calls[from.calls[one.shard]]);
        }
        if (!work.ended) {
            resumeCall(work, from.calls[one.shard], one, now);
        }
    }
    for (const pending_shard &pending : progress.pending) {
        if (pending.shard < from.calls.size() && !from.shardDone[pending.shard]) {
            rememberPause(id, pending, now);
            onPendingShard(work, from.calls[pending.shard], pending, now);
        }
    }
    if (!work.ended) {
        sendDueHedges(work, now);
    }
    finishGatherIfDone(work, now);
    settle(work, now);
}

/**
 * A report on several parts holds their records merged, so it is used as a whole or not at all. A part that was
 * reported alone can be taken back: the merged report replaces it.
 */
void gateway_engine::acceptDelegatedParts(exchange &work, delegated_progress &progress, delegation &from, millis now)
{
    if (!isUsable(work, progress.parts, from)) {
        discardReport(work, progress, from, now);
        return;
    }
    const bool alone = progress.parts.size() == 1;
    for (delegated_part &part : progress.parts) {
        shard_call &call = work.calls[from.calls[part.shard]];
        call.openDelegations -= markShardDone(from, part.shard) ? 1 : 0;
        endPause(from, part.shard);
        if (alone && call.done) {
            return;
        }
        if (from.second && !call.done) {
            recordUsefulSecond(work, call);
        }
        takePart(work, call, std::move(part.stamp), now);
        call.mergedWithOthers = !alone;
    }
    if (alone) {
        work.calls[from.calls[progress.parts.front().shard]].part.body = std::move(progress.records);
    } else if (!progress.parts.empty()) {
        work.mergedRecords.push_back(std::move(progress.records));
    }
}

/** @return false if the parts are invalid or if one is contained in another merged report, which would count its
 *  records twice. */
bool gateway_engine::isUsable(const exchange &work, std::span<const delegated_part> parts, const delegation &from)
{
    std::set<std::uint32_t> shards;
    return std::ranges::all_of(parts, [&](const delegated_part &part) {
        return part.shard < from.calls.size() && shards.insert(part.shard).second && !part.stamp.empty()
            && (parts.size() == 1 || !work.calls[from.calls[part.shard]].mergedWithOthers);
    });
}

/** Treats the shards of the report that have no part yet as lost. */
void gateway_engine::discardReport(exchange &work, delegated_progress &progress, delegation &from, millis now)
{
    const auto isRepeated = [&](const delegated_part &part) {
        return part.shard < from.calls.size() && from.shardDone[part.shard];
    };
    if (std::ranges::all_of(progress.parts, isRepeated)) {
        return;
    }
    logEvent(work, "report_discarded", "unusable", nullptr, {from.helper}, now - work.arrivedAt, now);
    for (const delegated_part &part : progress.parts) {
        if (part.shard >= from.calls.size()) {
            continue;
        }
        shard_call &call = work.calls[from.calls[part.shard]];
        if (!call.done) {
            progress.lost.push_back({part.shard, true, true, false, {}});
        } else if (markShardDone(from, part.shard)) {
            call.openDelegations -= 1;
        }
    }
}

void gateway_engine::takePart(exchange &work, shard_call &call, std::string stamp, millis now)
{
    work.done += call.done ? 0 : 1;
    work.missing -= call.missing ? 1 : 0;
    call.done = true;
    call.missing = false;
    call.part = {};
    call.part.stamp = std::move(stamp);
    recordSurvived(work, now);
}

/** @return true if this is the first final report on the shard; false if it repeats one or the shard is unknown. */
bool gateway_engine::markShardDone(delegation &from, std::uint32_t shard)
{
    if (shard >= from.calls.size() || from.shardDone[shard]) {
        return false;
    }
    from.shardDone[shard] = true;
    return true;
}

/** The helper's leaf has not answered: this VM, which counts the attempts, may hedge with another leaf. */
void gateway_engine::onPendingShard(exchange &work, std::size_t at, const pending_shard &pending, millis now)
{
    shard_call &call = work.calls[at];
    if (call.done || call.missing) {
        return;
    }
    if (std::shared_ptr<leaf> asked = m_leafs.find(pending.leafId)) {
        call.tried.push_back(std::move(asked));
    }
    call.nextHedge = std::min(call.nextHedge, now);
}

/** The delegation of the shard ended without a part; continues the call here if allowed. */
void gateway_engine::resumeCall(exchange &work, std::size_t at, const lost_shard &lost, millis now)
{
    shard_call &call = work.calls[at];
    call.openDelegations -= 1;
    call.mayHaveRun -= lost.mayHaveRun ? 0 : 1;
    if (lost.leafCrashed) {
        recordLeafCrash(work, lost.leafId);
    }
    if (std::shared_ptr<leaf> asked = m_leafs.find(lost.leafId)) {
        call.tried.push_back(std::move(asked));
    }
    if (call.done || call.missing || call.open > 0 || call.openDelegations > 0) {
        return;
    }
    if (lost.mayHaveRun || lost.reachedLeaf) {
        retryCall(work, at, "helper_gave_up", now);
        return;
    }
    if (!maySendMore(work, now)) {
        holdCall(work, at, now);
        return;
    }
    const choice chosen = chooseLeaf(work, call, false, now);
    if (chosen.to) {
        sendCall(work, at, chosen.to, now);
    } else {
        failCall(work, at, chosen.reason(), now);
    }
}

/**
 * When the first report is overdue, second leafs are asked as if the first ones were unresponsive; parts that the
 * helper still delivers are accepted. The delegation is reclaimed only after the same time has passed again without a
 * report. Reclaiming immediately would waste the work of helpers that are only some milliseconds late.
 */
void gateway_engine::onReportOverdue(delegation_id id, millis now)
{
    const auto found = m_delegations.find(id);
    if (found == m_delegations.end() || found->second.reportReceived) {
        return;
    }
    if (found->second.late) {
        reclaimDelegation(id, "helper_silent", now);
        return;
    }
    delegation &late = found->second;
    late.late = true;
    recordReportDelay(late, now);
    m_due.push({now + late.firstReportTimeout, due_kind::Delegation, id});
    m_unresponsiveUntil[late.helper] = now + avoidHelperFor;
    exchange &work = *m_exchanges.at(late.exchange);
    logEvent(work, "helper_late", "silent", nullptr, {late.helper}, now - work.arrivedAt, now);
    for (const std::size_t at : late.calls) {
        work.calls[at].helperLate = true;
        work.calls[at].nextHedge = std::min(work.calls[at].nextHedge, now);
    }
    sendDueHedges(work, now);
    settle(work, now);
}

void gateway_engine::reclaimDelegation(delegation_id id, std::string_view cause, millis now)
{
    const auto found = m_delegations.find(id);
    if (found == m_delegations.end()) {
        return;
    }
    const delegation ended = std::move(found->second);
    m_delegations.erase(found);
    m_unresponsiveUntil[ended.helper] = now + avoidHelperFor;
    m_actions.emplace_back(delegate_cancel_action {id, ended.helper, false, false});
    exchange &work = *m_exchanges.at(ended.exchange);
    std::erase(work.delegations, id);
    logEvent(work, "helper_given_up", cause, nullptr, {ended.helper}, now - work.arrivedAt, now);
    for (std::size_t shard = 0; shard < ended.calls.size(); ++shard) {
        if (!ended.shardDone[shard] && !work.ended) {
            // Whether a leaf received the request is unknown, so it counts as received and as run.
            resumeCall(work, ended.calls[shard], {0, true, true, false, {}}, now);
        }
    }
    settle(work, now);
}

void gateway_engine::onHelperLost(std::string_view address, millis now)
{
    std::vector<delegation_id> lost;
    for (const auto &[id, one] : m_delegations) {
        if (one.helper == address) {
            lost.push_back(id);
        }
    }
    std::ranges::for_each(lost, [&](delegation_id id) { reclaimDelegation(id, "helper_lost", now); });
}

void gateway_engine::cancelDelegations(exchange &work, bool callerLeft)
{
    for (const delegation_id id : work.delegations) {
        const auto found = m_delegations.find(id);
        if (found != m_delegations.end()) {
            m_actions.emplace_back(
                delegate_cancel_action {id, found->second.helper, callerLeft, work.evidence->survived});
            m_delegations.erase(found);
        }
    }
    work.delegations.clear();
}

} // namespace chivelock
