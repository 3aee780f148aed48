/** @file Decisions of the engine during a planned stop. */

#include "exchange.h"

#include <algorithm>

namespace chivelock {

namespace {

// Shares of the grace time. What is left after the answers is needed to write them on a busy VM and to end the threads.
constexpr double closeIdleShare = 0.75;
constexpr double answerShare = 0.9;
constexpr double endShare = 0.95;

// A refusal costs a caller one retry, a request that is cut its answer; one that can't be repeated costs more.
constexpr double minChanceToRepeat = 0.9;
constexpr double minChanceOnce = 0.99;
constexpr double answeredShare = 0.9; // of the time limit; requests that last longer are given up at its end

/** @return the chance that a request of the route is answered within @p left, if it is answered at all. */
double chanceWithin(millis left, const gateway_route &route, const response_times &times)
{
    const double answered = times.shareWithin(route.timeout * answeredShare);
    return answered > 0 ? std::min(1.0, times.shareWithin(left) / answered) : 0;
}

/** @return whether a request of the route is answered within @p left with a sufficient chance. */
bool isAnsweredWithin(millis left, const gateway_route &route, const route_latency &latency)
{
    if (route.isGather()) {
        return route.objective <= left; // then it gets a partial answer
    }
    if (!latency.times.hasEnoughSamples()) {
        return std::max(latency.slow.estimate(), route.objective) <= left;
    }
    return chanceWithin(left, route, latency.times) >= (route.idempotent ? minChanceToRepeat : minChanceOnce);
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
    if (!isLimitedByStop(work) || isAnsweredWithin(work.limit - now, *work.route, *work.latency)) {
        return false;
    }
    answerUnserved(work, stoppingCause, false, now);
    return true;
}

} // namespace chivelock
