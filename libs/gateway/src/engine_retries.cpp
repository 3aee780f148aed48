#include "exchange.h"

namespace chivelock {

void gateway_engine::retryCall(exchange &work, std::size_t at, std::string_view cause, millis now)
{
    shard_call &call = work.calls[at];
    if (call.open > 0 || call.handed > 0) {
        return; // another send may still bring it
    }
    if (work.isDelegated()) {
        askElsewhere(work, at, cause, now);
        return;
    }
    if (!maySendMore(work, now)) {
        holdCall(work, at, now);
        return;
    }
    constexpr unsigned refusalsBeyondAttempts = 2; // sends that did not run are no attempts, yet have an end too
    const bool mayRunAgain = call.mayHaveRun == 0 || work.route->idempotent;
    const bool attemptsLeft =
        call.mayHaveRun < work.route->maxAttempts && call.sends < work.route->maxAttempts + refusalsBeyondAttempts;
    if (!mayRunAgain || !attemptsLeft || now >= work.limit) {
        failCall(work, at, cause, now);
        return;
    }
    const choice chosen = chooseLeaf(work, call, false, now);
    if (!chosen.to && chosen.full && now >= work.cutoff) {
        call.waiting = true; // late already: it takes what those who can still be in time leave free
        return;
    }
    if (!chosen.to || !takeBudget(call.service, 0, now)) {
        failCall(work, at, chosen.to ? "retry_budget" : cause, now);
        return;
    }
    resend(work, at, cause, chosen.to, now);
}

void gateway_engine::resend(
    exchange &work, std::size_t at, std::string_view cause, const std::shared_ptr<leaf> &to, millis now)
{
    work.retries += 1;
    note(work, "resend", cause, to.get(), work.calls[at].service, now - work.arrivedAt, now);
    askSecond(work, at, to, now);
}

void gateway_engine::failCall(exchange &work, std::size_t at, std::string_view cause, millis now)
{
    shard_call &call = work.calls[at];
    call.missing = true;
    call.nextHedge = millis::never();
    work.missing += 1;
    note(work, "shard_given_up", cause, nullptr, call.service, now - work.arrivedAt, now);
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

void gateway_engine::hedgeDue(exchange &work, millis now)
{
    constexpr double hedgeReserve = 0.3; // of the budget is kept for retries of what has failed
    constexpr millis lookAgain(10); // when no second leaf is free: pauses end after some tens of milliseconds
    for (std::size_t at = 0; at < work.calls.size(); ++at) {
        shard_call &call = work.calls[at];
        const bool underWay = call.open > 0 || call.handed > 0;
        if (call.done || call.missing || !underWay || now < call.nextHedge) {
            continue;
        }
        if (call.mayHaveRun >= work.route->maxAttempts) {
            call.nextHedge = millis::never();
            continue;
        }
        const choice chosen = mayHedge(work, call, now) ? chooseLeaf(work, call, true, now) : choice();
        if (!chosen.to || !takeBudget(call.service, hedgeReserve, now)) {
            call.nextHedge = now + lookAgain;
            continue;
        }
        work.hedges += 1;
        note(work, "hedge", "silent", chosen.to.get(), call.service, work.pace->hedgeAfter(), now);
        askSecond(work, at, chosen.to, now);
    }
}

void gateway_engine::retryWaiting(exchange &work, millis now)
{
    for (std::size_t at = 0; at < work.calls.size() && !work.ended; ++at) {
        shard_call &call = work.calls[at];
        if (!call.waiting || call.done || call.missing || !maySendMore(work, now)) {
            continue;
        }
        const choice chosen = chooseLeaf(work, call, false, now);
        const bool again = call.sends > 0;
        if (chosen.to && again && !takeBudget(call.service, 0, now)) {
            call.waiting = false;
            failCall(work, at, "retry_budget", now);
        } else if (chosen.to && again) {
            resend(work, at, "free_slot", chosen.to, now);
        } else if (chosen.to) {
            sendCall(work, at, chosen.to, now);
        } else if (!chosen.full) {
            call.waiting = false;
            noteEmptied(work, chosen);
            failCall(work, at, chosen.reason(), now);
        }
    }
}

} // namespace chivelock
