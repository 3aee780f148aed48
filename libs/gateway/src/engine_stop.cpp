/** @file Decisions of the engine during a planned stop. */

#include "exchange.h"

#include <algorithm>

namespace chivelock {

namespace {

// Shares of the grace time. What is left after the answers is needed to write them on a busy VM and to end the threads.
constexpr double closeIdleShare = 0.75;
constexpr double answerShare = 0.9;
constexpr double endShare = 0.95;

/**
 * @return the time within which nearly all requests of the route have their answer. Only answers count: a few lost
 * ones, which end at their time limit, would have every request refused.
 */
millis expectedTime(const gateway_route &route, const route_latency &latency)
{
    const bool getsPartialAnswer = route.isGather(); // at its objective
    return getsPartialAnswer ? route.objective : std::max(route.objective, latency.slow.estimate());
}

} // namespace

stop_schedule stop_schedule::of(millis began, millis grace)
{
    return {began + grace * closeIdleShare, began + grace * answerShare, began + grace * endShare};
}

void gateway_engine::beginStop(millis answersBy, millis now)
{
    m_answersBy = answersBy;
    for (const auto &[id, work] : m_exchanges) {
        limitToStop(*work);
        schedule(*work, now);
    }
}

/** Ends the exchange with the stop at the latest; a lookup then gets a partial answer if it has enough parts. */
void gateway_engine::limitToStop(exchange &work) const
{
    constexpr millis partialAnswerLead(20);
    work.limit = std::min(work.limit, m_answersBy);
    if (work.route->isGather()) {
        work.cutoff = std::min(work.cutoff, m_answersBy - partialAnswerLead);
    }
}

/** @return whether the stop, and not the request's own time limit, ends the exchange. */
bool gateway_engine::isLimitedByStop(const exchange &work) const
{
    return work.limit >= m_answersBy;
}

/** Refuses a request that would probably not be answered before the process ends. Nothing of it has been sent.
 *  @return whether it was refused. */
bool gateway_engine::refuseIfStopping(exchange &work, millis now)
{
    if (!isLimitedByStop(work) || now + expectedTime(*work.route, *work.latency) <= work.limit) {
        return false;
    }
    answerUnserved(work, stoppingCause, false, now);
    return true;
}

} // namespace chivelock
