/** @file Shards of a lookup in other VMs' hands: handing them out, what comes back, and what if nothing does. */

#include "exchange.h"

#include <algorithm>

namespace chivelock {

namespace {

constexpr double silentAfter = 1.3; // of the time by which the first word is due: a busy VM speaks late
constexpr millis hopMargin(3); // for the message there and back, and the reading of it on a busy small VM
constexpr millis distrustFor(1500); // a frozen VM costs one lookup in this time, not each

} // namespace

void gateway_engine::delegateCalls(exchange &work,
                                   const std::string &helper,
                                   std::vector<std::size_t> calls,
                                   millis now)
{
    for (const std::size_t at : calls) {
        shard_call &call = work.calls[at];
        budgetOf(call.service).countRequest(now);
        call.handed += 1;
        call.mayHaveRun += 1;
    }
    hand(work, helper, std::move(calls), false, now);
}

/**
 * Asks a second leaf, by the VM that has the leaf in its part unless this one has a connection itself: a new one
 * through zones costs a round trip and some milliseconds of a slot of the leaf.
 */
void gateway_engine::askSecond(exchange &work, std::size_t at, const std::shared_ptr<leaf> &to, millis now)
{
    const auto parts = work.partsIn.find(to->entry.zone);
    const bool apart = parts != work.partsIn.end() && to->keptConnections == 0 && !work.isDelegated();
    std::string helper = apart ? helperFor(to->entry.zone, at % parts->second, parts->second, now) : std::string();
    if (helper.empty()) {
        sendCall(work, at, to, now);
        return;
    }
    shard_call &call = work.calls[at];
    call.handed += 1;
    call.mayHaveRun += 1;
    call.sends += 1;
    call.waiting = false;
    call.nextHedge = millis::never();
    work.handedSeconds += 1;
    work.secondSends[std::move(helper)].push_back(at);
}

/** One message for each VM, with all that this step asks of it. */
void gateway_engine::handSecondSends(exchange &work, millis now)
{
    for (auto &[helper, calls] : std::exchange(work.secondSends, {})) {
        if (!work.ended) {
            hand(work, helper, std::move(calls), true, now);
        }
    }
}

/** @param calls of which the attempt is counted already. @param second each is to be told by itself. */
void gateway_engine::hand(
    exchange &work, const std::string &helper, std::vector<std::size_t> calls, bool second, millis now)
{
    delegate_action action;
    action.id = m_nextId++;
    action.exchange = work.id;
    action.helper = helper;
    action.work.route = work.route->name;
    action.work.key = work.key;
    action.work.attempt = work.evidence->attempt;
    action.work.topRecords = work.route->topRecords;
    action.work.objective = work.route->objective;
    action.work.speakIn = work.pace->hedgeAfter();
    action.work.cutoffIn = std::max(work.cutoff - now - hopMargin, hopMargin);
    action.work.limitIn = std::max(work.limit - now - hopMargin, hopMargin);
    action.work.alone = second;
    for (const std::size_t at : calls) {
        const shard_call &call = work.calls[at];
        action.work.shards.push_back(call.service);
        for (const std::shared_ptr<leaf> &one : call.tried) {
            action.work.triedLeafs.push_back(one->entry.id);
        }
    }
    delegation made;
    made.exchange = work.id;
    made.helper = helper;
    made.ended.resize(calls.size());
    made.calls = std::move(calls);
    made.wordDueIn = action.work.speakIn * silentAfter + hopMargin * 2;
    m_due.push({now + made.wordDueIn, due_kind::Delegation, action.id});
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
    found->second.heard = true;
    if (found->second.late) {
        m_distrustedUntil.erase(found->second.helper);
    }
    exchange &work = *m_exchanges.at(found->second.exchange);
    takeParts(work, progress, found->second, now);
    std::vector<lost_shard> lost;
    std::ranges::copy_if(progress.lost, std::back_inserter(lost), [&](const lost_shard &one) {
        return endsNow(found->second, one.shard);
    });
    const delegation from = found->second;
    if (progress.last) {
        m_delegations.erase(found);
        std::erase(work.delegations, id);
    }
    for (const lost_shard &one : lost) {
        if (!work.ended) {
            resumeCall(work, from.calls[one.shard], one, now);
        }
    }
    for (const pending_shard &pending : progress.pending) {
        if (pending.shard < from.calls.size() && !from.ended[pending.shard]) {
            notePending(work, from.calls[pending.shard], pending, now);
        }
    }
    if (!work.ended) {
        hedgeDue(work, now);
    }
    finishGatherIfDone(work, now);
    settle(work, now);
}

/**
 * Records of several shards come merged and can't be told apart again. If one of the shards was answered otherwise in
 * the meantime, its records would count twice in the answer; a helper therefore tells shards of which a second leaf may
 * be asked one by one, and what overlaps is left out.
 */
void gateway_engine::takeParts(exchange &work, delegated_progress &progress, delegation &from, millis now)
{
    const auto isOpen = [&](const delegated_part &part) {
        return part.shard < from.calls.size() && !from.ended[part.shard] && !work.calls[from.calls[part.shard]].done
            && !work.calls[from.calls[part.shard]].missing;
    };
    const bool allOpen = std::ranges::all_of(progress.parts, isOpen);
    for (delegated_part &part : progress.parts) {
        if (!allOpen && isOpen(part)) {
            progress.lost.push_back({part.shard, true, true, false, {}});
        } else if (!allOpen && endsNow(from, part.shard)) {
            work.calls[from.calls[part.shard]].handed -= 1;
        }
        if (allOpen && endsNow(from, part.shard)) {
            shard_call &call = work.calls[from.calls[part.shard]];
            call.handed -= 1;
            call.done = true;
            call.part.stamp = std::move(part.stamp);
            work.done += 1;
            noteSurvived(work, now);
        }
    }
    if (allOpen) {
        work.mergedRecords.push_back(std::move(progress.records));
    }
}

/** @return whether this is the last word of a shard of this work, and not said before. */
bool gateway_engine::endsNow(delegation &from, std::uint32_t shard)
{
    if (shard >= from.calls.size() || from.ended[shard]) {
        return false;
    }
    from.ended[shard] = true;
    return true;
}

/** The leaf that the helper asked is silent: this VM, which counts the attempts, may ask another. */
void gateway_engine::notePending(exchange &work, std::size_t at, const pending_shard &pending, millis now)
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

/** Another VM no longer has the shard in hand; this one goes on if it may. */
void gateway_engine::resumeCall(exchange &work, std::size_t at, const lost_shard &lost, millis now)
{
    shard_call &call = work.calls[at];
    call.handed -= 1;
    call.mayHaveRun -= lost.mayHaveRun ? 0 : 1;
    if (lost.leafEnded) {
        noteEnded(work, lost.leafId);
    }
    if (std::shared_ptr<leaf> asked = m_leafs.find(lost.leafId)) {
        call.tried.push_back(std::move(asked));
    }
    if (call.done || call.missing || call.open > 0 || call.handed > 0) {
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
 * A first word that is overdue makes second leafs be asked, as if the first ones were silent; what the helper brings
 * all the same is taken. Only one that says nothing for as long again has lost the work. Taken over at once, the work
 * of helpers that are some milliseconds late would be lost.
 */
void gateway_engine::onWordDue(delegation_id id, millis now)
{
    const auto found = m_delegations.find(id);
    if (found == m_delegations.end() || found->second.heard) {
        return;
    }
    if (found->second.late) {
        takeOver(id, "helper_silent", now);
        return;
    }
    delegation &late = found->second;
    late.late = true;
    m_due.push({now + late.wordDueIn, due_kind::Delegation, id});
    m_distrustedUntil[late.helper] = now + distrustFor;
    exchange &work = *m_exchanges.at(late.exchange);
    note(work, "helper_late", "silent", nullptr, {late.helper}, now - work.arrivedAt, now);
    for (const std::size_t at : late.calls) {
        work.calls[at].helperLate = true;
        work.calls[at].nextHedge = std::min(work.calls[at].nextHedge, now);
    }
    hedgeDue(work, now);
    settle(work, now);
}

void gateway_engine::takeOver(delegation_id id, std::string_view cause, millis now)
{
    const auto found = m_delegations.find(id);
    if (found == m_delegations.end()) {
        return;
    }
    const delegation ended = std::move(found->second);
    m_delegations.erase(found);
    m_distrustedUntil[ended.helper] = now + distrustFor;
    m_actions.emplace_back(delegate_cancel_action {id, ended.helper, false, false});
    exchange &work = *m_exchanges.at(ended.exchange);
    std::erase(work.delegations, id);
    note(work, "helper_given_up", cause, nullptr, {ended.helper}, now - work.arrivedAt, now);
    for (std::size_t shard = 0; shard < ended.calls.size(); ++shard) {
        if (!ended.ended[shard] && !work.ended) {
            // Whether a leaf got it is not known: it counts as run and as arrived.
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
    std::ranges::for_each(lost, [&](delegation_id id) { takeOver(id, "helper_lost", now); });
}

void gateway_engine::dropDelegations(exchange &work, bool callerLeft)
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
