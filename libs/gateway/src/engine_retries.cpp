#include "exchange.h"

namespace chivelock {

void gateway_engine::retryCall(exchange &work, std::size_t at, std::string_view cause, millis now)
{
    shard_call &call = work.calls[at];
    if (call.open > 0 || call.openDelegations > 0) {
        return; // another send or delegation may still deliver the part
    }
    if (work.isDelegated()) {
        retryIfUnreached(work, at, cause, now);
        return;
    }
    if (!maySendMore(work, now)) {
        holdCall(work, at, now);
        return;
    }
    constexpr unsigned refusalsBeyondAttempts = 2; // limits the sends that did not run, which don't count as attempts
    const bool mayRunAgain = call.mayHaveRun == 0 || work.route->idempotent;
    const bool attemptsLeft =
        call.mayHaveRun < work.route->maxAttempts && call.sends < work.route->maxAttempts + refusalsBeyondAttempts;
    if (!mayRunAgain || !attemptsLeft || now >= work.limit) {
        failCall(work, at, cause, now);
        return;
    }
    if (!maySendSecond(work, call)) {
        call.waiting = true;
        return;
    }
    const choice chosen = chooseLeaf(work, call, false, now);
    if (!chosen.to && chosen.full && now >= work.cutoff) {
        call.waiting = true; // already late: uses only capacity not needed by requests that can still be in time
        return;
    }
    if (!chosen.to || !spendExtra(work, call.service, 0, now)) {
        failCall(work, at, chosen.to ? "retry_budget" : cause, now);
        return;
    }
    resend(work, at, cause, chosen.to, now);
}

void gateway_engine::resend(
    exchange &work, std::size_t at, std::string_view cause, const std::shared_ptr<leaf> &to, millis now)
{
    work.retries += 1;
    logEvent(work, "resend", cause, to.get(), work.calls[at].service, now - work.arrivedAt, now);
    sendSecond(work, at, to, now);
}

void gateway_engine::failCall(exchange &work, std::size_t at, std::string_view cause, millis now)
{
    shard_call &call = work.calls[at];
    call.missing = true;
    call.nextHedge = millis::never();
    work.missing += 1;
    logEvent(work, "shard_given_up", cause, nullptr, call.service, now - work.arrivedAt, now);
    if (!work.route->isGather()) {
        answerUnserved(work, cause, false, now);
        return;
    }
    if (!work.isDelegated() && work.calls.size() - work.missing < work.neededParts()) {
        answerUnserved(work, cause, false, now);
        return;
    }
    finishGatherIfDone(work, now);
}

void gateway_engine::sendDueHedges(exchange &work, millis now)
{
    constexpr double hedgeReserve = 0.3; // share of the budget that is kept for retries of failed sends
    constexpr millis hedgePollInterval(10); // while no second leaf is available; pauses end after tens of milliseconds
    for (std::size_t at = 0; at < work.calls.size(); ++at) {
        shard_call &call = work.calls[at];
        const bool underWay = call.open > 0 || call.openDelegations > 0;
        if (call.done || call.missing || !underWay || now < call.nextHedge) {
            continue;
        }
        if (call.mayHaveRun >= work.route->maxAttempts) {
            call.nextHedge = millis::never();
            continue;
        }
        const choice chosen = maySendSecond(work, call) && mayHedge(work, call, now) && !isHedgeHarmful(work, call, now)
            ? chooseLeaf(work, call, true, now)
            : choice();
        if (!chosen.to || !spendExtra(work, call.service, hedgeReserve, now)) {
            call.nextHedge = now + hedgePollInterval;
            continue;
        }
        work.hedges += 1;
        logEvent(work, "hedge", work.hedgeCause, chosen.to.get(), call.service, work.hedgeDelay, now);
        sendSecond(work, at, chosen.to, now);
    }
}

void gateway_engine::sendWaiting(exchange &work, millis now)
{
    if (work.canaryLimit > 0 && work.route->isGather()) {
        return; // the next canary goes to the leaf that can best be spared, see sendCanaries
    }
    for (std::size_t at = 0; at < work.calls.size() && !work.ended; ++at) {
        if (!hasPriorities()) {
            sendWaitingCall(work, at, now);
        } else if (work.calls[at].waiting) {
            pollWaiting(work, at, now);
        }
    }
}

void gateway_engine::sendWaitingCall(exchange &work, std::size_t at, millis now)
{
    shard_call &call = work.calls[at];
    if (work.ended || !call.waiting || call.held || call.done || call.missing || !maySendMore(work, now)) {
        return;
    }
    if (!maySendSecond(work, call)) {
        return;
    }
    const choice chosen = chooseLeaf(work, call, false, now);
    const bool again = call.sends > 0;
    if (chosen.to && again && !spendExtra(work, call.service, 0, now)) {
        call.waiting = false;
        failCall(work, at, "retry_budget", now);
    } else if (chosen.to && again) {
        resend(work, at, "free_slot", chosen.to, now);
    } else if (chosen.to) {
        sendCall(work, at, chosen.to, now);
    } else if (!chosen.full) {
        call.waiting = false;
        recordSkippedLeafs(work, chosen);
        failCall(work, at, chosen.reason(), now);
    }
}

} // namespace chivelock
