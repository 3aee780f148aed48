/** @file When second leafs are asked: the conditions that the engine passes to hedge_timing, and their record. */

#include "exchange.h"

#include <algorithm>

namespace chivelock {

namespace {

constexpr millis directHop(2); // a second leaf without a kept connection, or in another zone
constexpr double loggedChangeFactor = 1.5; // of a route's delay, since it was last logged
constexpr millis minLogInterval(1000); // for each route

} // namespace

/**
 * @param timeLeft until the second answer must be here. @param hop additional time of the second leaf.
 * @return nothing if the usual delay applies: the operator switched this off, or there are too few samples.
 */
std::optional<hedge_decision> gateway_engine::decideHedge(const exchange &work, millis timeLeft, millis hop) const
{
    if (!m_settings.scheduling.hedging) {
        return std::nullopt;
    }
    const double share = hedgeShare(m_settings.retryRatio, work.urgency);
    return hedge_timing(work.latency->times).decide({timeLeft, hop, share});
}

/** @return until when an answer to a request sent now has its full value, or any value if it is late already. */
millis gateway_engine::timeLeftInTime(const exchange &work, millis now)
{
    const millis objectiveEnd = work.arrivedAt + work.route->objective - work.networkTime;
    const millis inTime =
        std::min(work.route->isGather() || work.isDelegated() ? work.cutoff : objectiveEnd, work.limit);
    return (now < inTime ? inTime : work.limit) - now;
}

/** Decides once for all requests that the exchange sends at the same time. */
void gateway_engine::updateHedgeDelay(exchange &work, millis now)
{
    if (work.hedgeDecidedAt == now) {
        return;
    }
    work.hedgeDecidedAt = now;
    const bool delegatesSecond = !work.partsByZone.empty();
    const millis hop = delegatesSecond ? m_helperHop.estimate() : directHop;
    const std::optional<hedge_decision> decided = decideHedge(work, timeLeftInTime(work, now), hop);
    work.hedgeDelay = decided ? decided->delay : work.latency->hedgeDelay();
    work.hedgeCause = decided ? toString(decided->reason) : "silent";
    if (!work.isDelegated()) {
        recordHedgeDelay(work, now);
    }
}

/** Keeps the delay for the metrics page, and logs it if it has changed much. */
void gateway_engine::recordHedgeDelay(const exchange &work, millis now)
{
    hedge_state &state = m_hedgeStates[work.route->name];
    state.delay = work.hedgeDelay;
    state.cause = work.hedgeCause;
    const double factor = work.hedgeDelay.count() / std::max(state.loggedDelay.count(), 1e-3);
    const bool changed =
        state.cause != state.loggedCause || factor > loggedChangeFactor || factor < 1 / loggedChangeFactor;
    if (!m_settings.scheduling.hedging || !changed || now < state.loggedAt + minLogInterval) {
        return;
    }
    state.loggedDelay = state.delay;
    state.loggedCause = state.cause;
    state.loggedAt = now;
    log_event_action change;
    change.event = "hedge_delay";
    change.cause = state.cause;
    change.route = work.route->name;
    change.input = state.delay;
    m_actions.emplace_back(std::move(change));
}

/**
 * @return time after which a helper reports silent leafs. Its report and the message to the second leaf's VM must fit
 * into the time left, and the helper needs the message with the work first.
 */
millis gateway_engine::firstReportDelay(const exchange &work, millis cutoffIn) const
{
    const std::optional<hedge_decision> decided = decideHedge(work, cutoffIn, m_helperHop.estimate());
    return decided ? std::min(decided->delay, cutoffIn) : work.latency->hedgeDelay();
}

/**
 * @return when the silent leafs of delegated work are reported, at the time that the delegating VM asked for or later.
 * A helper that is slower than that VM measures longer times at all leafs, and would report most of them as silent.
 */
millis gateway_engine::pendingReportDue(const exchange &work, const delegated_work &asked, millis now) const
{
    const std::optional<hedge_decision> decided = decideHedge(work, asked.cutoffIn, m_helperHop.estimate());
    const millis own = decided ? std::min(decided->delay, asked.cutoffIn) : asked.firstReportIn;
    return now + std::max(asked.firstReportIn, own);
}

/** Learns how much later than agreed a report on silent leafs arrives: the messages there and back. */
void gateway_engine::learnHelperHop(const delegation &from, const delegated_progress &progress, millis now)
{
    constexpr millis maxHop(20); // a longer time is a stalled helper
    const millis excess = now - from.delegatedAt - from.firstReportIn;
    if (!from.reportReceived && !progress.pending.empty() && excess > millis() && excess < maxHop) {
        m_helperHop.add(excess);
    }
}

} // namespace chivelock
