/** @file Sends of the engine to leafs, from the choice of the leaf to the answer. */

#include "exchange.h"

#include <algorithm>

namespace chivelock {

namespace {

void updateMixedWork(leaf &target, millis work)
{
    constexpr double newestShare = 0.1; // the average covers about ten requests
    const bool first = target.averageServiceTime == millis();
    target.averageServiceTime = first ? work : target.averageServiceTime * (1 - newestShare) + work * newestShare;
}

} // namespace

/**
 * Time until which a leaf's answer is useful. Requests left in the queues of leafs after a lookup got its partial
 * answer are wasted work, and at an overloaded shard they were most of the work of its leafs.
 */
millis gateway_engine::usefulUntil(const exchange &work, millis now)
{
    constexpr millis partGrace(20); // a part that arrives slightly late may still complete a lookup that lacks parts
    // A lookup that can't be answered without late parts would ask for them again, and no leaf would finish any.
    const bool inTime = work.route->isGather() && now < work.cutoff && !work.latency->needsLateParts(now);
    return inTime ? std::min(work.limit, work.cutoff + partGrace) : work.limit;
}

void gateway_engine::sendCall(exchange &work, std::size_t at, const std::shared_ptr<leaf> &to, millis now)
{
    shard_call &call = work.calls[at];
    updateHedgeDelay(work, now);
    send one;
    one.id = m_nextId++;
    one.exchange = work.id;
    one.call = at;
    one.to = to;
    one.evidence = work.evidence;
    one.latency = work.latency;
    one.sentAt = now;
    one.idempotent = work.route->idempotent;
    one.second = call.mayHaveRun > 0;
    constexpr millis lateAnswerGrace(100); // so that a leaf's answer that its deadline passed is still received
    one.deadline = usefulUntil(work, now);
    one.closeAt = work.limit + lateAnswerGrace;
    one.queue = leafQueuePerSlot(*to, *work.latency, now);
    useColdSlot(*to, now);
    updateMixedWork(*to, work.latency->typical.estimate());
    one.expectedBy = now + std::min(work.hedgeDelay, work.latency->hedgeDelay());
    to->open.push_back({one.id, now, one.expectedBy});
    call.tried.push_back(to);
    call.lastAsked = to->entry.id;
    recordAskedLeaf(work, *to, now);
    call.open += 1;
    call.mayHaveRun += 1;
    call.sends += 1;
    call.waiting = false;
    const bool mayHedge = work.route->idempotent && !work.isDelegated();
    call.nextHedge = mayHedge ? now + work.hedgeDelay : millis::never();
    work.sends += 1;
    m_sendCounts.all += 1;
    m_due.push({one.closeAt, due_kind::Send, one.id});
    m_actions.emplace_back(send_action {
        one.id, work.id, to, one.deadline, work.limit, connectionShare(call.service), !work.route->idempotent});
    m_sends.emplace(one.id, std::move(one));
}

std::optional<gateway_engine::send> gateway_engine::endSend(send_id id)
{
    const auto found = m_sends.find(id);
    if (found == m_sends.end()) {
        return std::nullopt;
    }
    send ended = std::move(found->second);
    m_sends.erase(found);
    std::erase_if(ended.to->open, [&](const leaf::open_send &one) { return one.id == id; });
    return ended;
}

gateway_engine::exchange *gateway_engine::ownerOf(const send &ended)
{
    const auto owner = m_exchanges.find(ended.exchange);
    return owner == m_exchanges.end() ? nullptr : owner->second.get();
}

} // namespace chivelock
