/** @file What the engine tells the admission control about a request, and what it does with its decision. */

#include "exchange.h"

#include <algorithm>
#include <array>

namespace chivelock {

namespace {

/** What is known of the requests at a leaf. */
struct leaf_backlog {
    double queue = 0; ///< see @ref queuePerSlot
    bool estimated = false; ///< follows from a report that may be outdated
};

/**
 * @return the backlog by the requests of this VM, or by the ones that the leaf reported, faded over several objectives.
 * A VM of a large fleet asks a leaf about twice a second, so a report that only holds for a few request times is
 * mostly outdated when the next request arrives, although a queue of all callers lasts for seconds.
 */
leaf_backlog backlogOf(const leaf &candidate, millis objective, millis now)
{
    constexpr double halfLifeObjectives = 4;
    const millis age = now - candidate.loadAt;
    const auto own = static_cast<double>(candidate.open.size());
    const auto reported = static_cast<double>(candidate.load.running + candidate.load.waiting);
    const double faded = decayed(reported, age, objective * halfLifeObjectives);
    return {queuePerSlot(std::max(own, faded), candidate.entry.slots), age > objective && faded > own};
}

/** @return whether a refusal for @p cause is due to load, so that its caller finds room later. */
bool isLoadCause(std::string_view cause)
{
    constexpr std::array<std::string_view, 6> causes {
        "overloaded", "shards_overloaded", "leafs_full", "leaf_refused", "leaf_holds_too_much", "retry_budget"};
    constexpr std::array verdicts {
        admission_verdict::VmOverloaded, admission_verdict::LeafsOverloaded, admission_verdict::AccountAboveShare};
    return std::ranges::find(causes, cause) != causes.end()
        || std::ranges::find(verdicts, cause, [](auto one) { return toString(one); }) != verdicts.end();
}

/** @return under which name the completions of the exchange are counted. */
std::string_view capacityName(const gateway_route &route, const service_name &service)
{
    return route.isGather() ? std::string_view(route.name) : std::string_view(service.value);
}

} // namespace

admission_request gateway_engine::describeLoad(const exchange &work, millis now) const
{
    admission_request described;
    described.key = work.key;
    described.account = work.account;
    described.urgency = hasPriorities() ? work.urgency : 0;
    described.objective = work.route->objective - work.networkTime - (now - work.arrivedAt);
    described.timeLeft = work.limit - now;
    described.usual = work.latency->typical.estimate();
    described.lag = ownLag(now);
    if (work.route->isGather()) {
        described.freeSlot = true;
        return described;
    }
    millis soonest = millis::never();
    for (const std::shared_ptr<leaf> &one : m_leafs.of(work.calls.front().service)) {
        if (!mayAsk(*one, now) || !m_regions.allows(work.route->homeRegions, one->entry.zone)) {
            continue;
        }
        const leaf_backlog backlog = backlogOf(*one, work.route->objective, now);
        const millis expected = timeWithQueue(backlog.queue, *one, *work.latency) * currentSlowness(*one, now);
        soonest = std::min(soonest, expected);
        described.freeSlot = described.freeSlot || backlog.queue <= 0;
        described.estimated = described.estimated || backlog.estimated;
    }
    described.freeSlot = described.freeSlot || soonest == millis::never(); // no leaf: refused for that reason
    described.expected = soonest;
    return described;
}

/** Refuses the request if it can't be answered in time. Nothing of it has been sent. @return whether it was refused. */
bool gateway_engine::refuseIfOverloaded(exchange &work, millis now)
{
    if (!m_settings.scheduling.overload || work.isDelegated()) {
        return false;
    }
    const admission_request described = describeLoad(work, now);
    const service_name &service = work.calls.front().service;
    const admission_verdict verdict = m_overload.judge(capacityName(*work.route, service), described, now);
    if (verdict == admission_verdict::Admitted) {
        return false;
    }
    const bool returned = verdict == admission_verdict::Returned;
    const millis expected = verdict == admission_verdict::VmOverloaded ? described.lag : described.expected;
    logEvent(work,
             returned ? "refused_request_returned" : "overload_refusal",
             toString(verdict),
             nullptr,
             service,
             expected,
             now);
    if (!returned) {
        answerUnserved(work, toString(verdict), false, now);
    }
    return !returned;
}

/**
 * @return whether a hedge of a single look-up would only lengthen the queues. When requests wait at all leafs of a
 * service, most are slower than the hedge delay, and hedges add to the load that causes the wait. A request that takes
 * several times as long as others did a moment ago is hedged in any case, because its leaf may be hung.
 */
bool gateway_engine::isHedgeHarmful(const exchange &work, const shard_call &call, millis now) const
{
    constexpr double queuedFactor = 1.2; // of the time without a queue: recent requests have waited
    constexpr double silenceFactor = 3; // of the recent time
    constexpr double fullFactor = 2; // of the objective: while no leaf has a free slot, no hedge is in time
    if (!m_settings.scheduling.overload || work.route->isGather()) {
        return false;
    }
    const millis recent = m_overload.recentTime(call.service.value, now);
    const millis age = now - work.arrivedAt;
    if (!hasFreeSlot(work, call, now)) {
        return age < work.route->objective * fullFactor;
    }
    return recent > work.latency->typical.estimate() * queuedFactor && age < recent * silenceFactor;
}

bool gateway_engine::hasFreeSlot(const exchange &work, const shard_call &call, millis now) const
{
    return std::ranges::any_of(m_leafs.of(call.service), [&](const std::shared_ptr<leaf> &one) {
        return mayAsk(*one, now) && m_regions.allows(work.route->homeRegions, one->entry.zone)
            && backlogOf(*one, work.route->objective, now).queue <= 0;
    });
}

/** @return Retry-After; each caller that is refused because of load gets its own. @param earliest the usual value. */
millis gateway_engine::retryAfterOf(
    const exchange &work, exchange_outcome outcome, std::string_view cause, millis earliest, millis now)
{
    constexpr double shareOfTimeLeft = 1.0 / 3; // callers give up rather than wait for a larger share
    if (!m_settings.scheduling.overload || outcome != exchange_outcome::Refused || !isLoadCause(cause)) {
        return earliest;
    }
    const retry_window window {earliest, (work.limit - now) * shareOfTimeLeft};
    return m_overload.retryAfter(capacityName(*work.route, work.calls.front().service), work.key, window, now);
}

void gateway_engine::recordCompleted(const exchange &work, exchange_outcome outcome, millis now)
{
    if (outcome == exchange_outcome::Relayed || outcome == exchange_outcome::Merged) {
        m_overload.onCompleted(capacityName(*work.route, work.calls.front().service), now - work.arrivedAt, now);
    }
}

} // namespace chivelock
