/** @file When the engine acts next: due times of exchanges, sends and delegations. */

#include "exchange.h"

#include <algorithm>
#include <utility>

namespace chivelock {

/** Counts the parts that are missing at the cutoff, or none if the lookup has ended before. */
void gateway_engine::recordLateParts(exchange &work, millis now)
{
    if (!work.route->isGather() || std::exchange(work.latenessRecorded, true)) {
        return;
    }
    const auto late = now < work.cutoff
        ? 0
        : std::ranges::count_if(work.calls, [](const shard_call &call) { return !call.done && !call.missing; });
    work.latency->late.add(static_cast<std::size_t>(late), work.calls.size(), now);
}

void gateway_engine::advanceExchange(exchange &work, millis now)
{
    if (now >= work.cutoff) {
        recordLateParts(work, now);
    }
    if (now >= work.limit) {
        answerUnserved(work, isLimitedByStop(work) ? stoppingCause : "time", true, now);
        return;
    }
    const bool firstDue = !work.firstReportSent && now >= work.firstReportDue;
    const bool pendingDue = !work.pendingReported && now >= work.pendingReportDue;
    if (work.isDelegated() && (now >= work.cutoff || firstDue || pendingDue)) {
        reportProgress(work, false, now);
    }
    sendWaiting(work, now);
    if (!work.ended && work.sends == 0 && now >= work.sendBy) {
        answerUnserved(work, maySendMore(work, now) ? "leafs_full" : "on_trial", false, now);
    }
    if (!work.ended && work.route->isGather()) {
        finishGatherIfDone(work, now);
    }
    if (!work.ended) {
        sendDueHedges(work, now);
    }
}

void gateway_engine::advance(millis now)
{
    m_leafs.expire(now);
    m_requests.expire(now);
    while (!m_due.empty() && m_due.top().at <= now) {
        const due next = m_due.top();
        m_due.pop();
        advanceDue(next, now);
    }
}

void gateway_engine::advanceDue(const due &next, millis now)
{
    if (next.kind == due_kind::Send) {
        const auto late = m_sends.find(next.id);
        if (late != m_sends.end() && late->second.closeAt <= now) {
            m_actions.emplace_back(cancel_action {next.id});
            onSendFailed(next.id, send_failure::TimedOut, now);
        }
        return;
    }
    if (next.kind == due_kind::Delegation) {
        onReportOverdue(next.id, now);
        return;
    }
    const auto found = m_exchanges.find(next.id);
    if (found == m_exchanges.end() || found->second->scheduled != next.at) {
        return; // rescheduled to another time
    }
    exchange &work = *found->second;
    work.scheduled = millis::never();
    advanceExchange(work, now);
    settle(work, now);
}

void gateway_engine::schedule(exchange &work, millis now)
{
    if (work.ended) {
        return;
    }
    constexpr millis waitingPollInterval(5); // interval at which waiting requests retry to find a free connection
    millis next = work.limit;
    if (work.cutoff > now) {
        next = std::min(next, work.cutoff);
    }
    if (!work.firstReportSent && work.firstReportDue > now) {
        next = std::min(next, work.firstReportDue);
    }
    if (!work.pendingReported && work.pendingReportDue > now) {
        next = std::min(next, work.pendingReportDue);
    }
    for (std::size_t at = 0; at < work.calls.size(); ++at) {
        const shard_call &call = work.calls[at];
        if (call.done || call.missing || call.held) {
            continue;
        }
        if (call.waiting) {
            enlistWaiting(work, at);
        }
        next = std::min(next, call.waiting ? now + waitingPollInterval : call.nextHedge);
    }
    if (work.canaryLimit > 0) {
        next = std::min(next, now + waitingPollInterval);
    }
    // An earlier wake-up that is still pending suffices: one superfluous check is cheaper than many stale heap entries.
    if (work.scheduled > now && work.scheduled <= next) {
        return;
    }
    work.scheduled = next;
    m_due.push({next, due_kind::Exchange, work.id});
}

millis gateway_engine::nextDue() const
{
    return m_due.empty() ? millis::never() : m_due.top().at;
}

} // namespace chivelock
