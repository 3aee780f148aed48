#include "exchange.h"

#include <algorithm>
#include <cmath>

namespace chivelock {

namespace {

constexpr double slowerFactor = 1.35; // two slow answers outweigh the preference for the own zone
constexpr double fasterFactor = 0.8;
constexpr double minSlowness = 0.8;
constexpr double maxSlowness = 30;
constexpr double failureWeight = 0.3; // weight of the newest answer in the moving average
constexpr double refusalWeight = 0.15; // less than for a failure: a refusal costs only a round trip
constexpr millis initialDownTime(200); // a killed process is back within a second, or stays away for long
constexpr millis maxDownTime(2000); // a leaf that came back is detected within this time
constexpr unsigned maxBrokenInRow = 3; // healthy leafs also have single broken answers

millis downFor(unsigned consecutiveFailures)
{
    const millis time = initialDownTime * std::exp2(std::min(consecutiveFailures, 8U) - 1.0);
    return std::min(time, maxDownTime);
}

/** The leaf's report of its host's slowdown gives in one answer what otherwise takes several to learn. It is used only
 *  if it explains the response time. */
bool explainsResponseTime(const leaf_load &load, double ratio)
{
    constexpr double maxExcess = 2; // allows for some wait in the queue
    return load.hostSlowdown && ratio <= std::max(1.0, *load.hostSlowdown) * maxExcess;
}

/**
 * @return the leaf's queue when the request arrived, as far as it is known. A leaf that is the only one left of its
 * shard has a queue. When the wait in it was also taken for slowness, it counted twice, and the only leaf that could
 * still answer in time got no more requests.
 */
double queueAtArrival(double queueWhenSent, const gateway_reply &reply)
{
    const double reported =
        reply.load ? queuePerSlot(reply.load->running + reply.load->waiting, reply.load->slots) : 0.0;
    return std::max(queueWhenSent, reported);
}

void updateMeasuredSlowness(leaf &from, double ratio, millis sentAt, millis now)
{
    if (from.loadAt == now && explainsResponseTime(from.load, ratio)) {
        from.slowness = std::clamp(*from.load.hostSlowdown * from.speed.factor(), minSlowness, maxSlowness);
        from.slownessAt = now;
        return;
    }
    const double known = currentSlowness(from, now);
    const bool slower = ratio > known;
    // Several requests that waited during the same pause count as one measurement.
    if (slower && sentAt < from.slownessAt) {
        return;
    }
    from.slowness = std::clamp(known * (slower ? slowerFactor : fasterFactor), minSlowness, maxSlowness);
    from.slownessAt = now;
}

} // namespace

retry_budget &gateway_engine::budgetOf(const service_name &service)
{
    return m_budgets.try_emplace(service, m_settings.retryRatio, m_settings.retryWindow).first->second;
}

bool gateway_engine::trySpendBudget(const service_name &service, double reserve, millis now)
{
    constexpr double safety = 0.75; // of the fixed part: restarted VMs no longer know what they spent
    const double fixedPart =
        m_settings.retrySlack * safety / static_cast<double>(std::max<std::size_t>(1, m_possibleFleetSize));
    return budgetOf(service).tryAcquire(fixedPart, reserve, now);
}

route_latency &gateway_engine::latencyOf(const gateway_route &route)
{
    return m_routeLatencies.try_emplace(route.name, route.objective).first->second;
}

/** Logs a change of the leaf's health as seen by this process. */
void gateway_engine::logLeafHealth(std::string_view event, std::string_view cause, const leaf &about, millis input)
{
    log_event_action change;
    change.event = event;
    change.cause = cause;
    change.leafId = about.entry.id;
    change.service = about.entry.service.value;
    change.input = input;
    m_actions.emplace_back(std::move(change));
}

/** @return the leaf's response time relative to the typical one for the queue that the request met. */
double gateway_engine::updateSlowness(leaf &of, const send &ended, const gateway_reply &reply, millis now)
{
    const millis took = now - ended.sentAt;
    const double ratio = took.count() / timeWithQueue(queueAtArrival(ended.queue, reply), of, *ended.latency).count();
    const bool wasSlow = of.slowness >= slowLogThreshold;
    updateMeasuredSlowness(of, ratio, ended.sentAt, now);
    if (m_settings.scheduling.hedging) {
        const bool hostIsSlow = of.loadAt == now && explainsResponseTime(of.load, ratio);
        of.speed.add(hostIsSlow ? ratio / std::max(1.0, *of.load.hostSlowdown) : ratio);
    }
    if (wasSlow != (of.slowness >= slowLogThreshold)) {
        logLeafHealth(wasSlow ? "leaf_as_usual" : "leaf_slow", "reply_time", of, took);
    }
    return ratio;
}

/** Leafs also turn cold without a new entry in the store, for example after their cache was cleared. */
void gateway_engine::updateCold(leaf &from, millis remaining, millis now)
{
    const bool wasCold = from.coldUntil > now;
    from.setCold(remaining, now);
    const bool isCold = from.coldUntil > now;
    if (wasCold != isCold) {
        logLeafHealth(isCold ? "leaf_cold" : "leaf_warm", "reply", from, remaining);
    }
}

void gateway_engine::updateLeafOnReply(leaf &from, const send &ended, const gateway_reply &reply, millis now)
{
    from.lastReplyAt = now;
    from.pausedUntil = millis();
    learnPauseLength(ended, now);
    if (from.downUntil > millis()) {
        logLeafHealth("leaf_answers_again", "reply", from, now - ended.sentAt);
    }
    from.consecutiveFailures = 0;
    from.downUntil = millis();
    if (reply.wrongInstance && !from.misdirected) {
        logLeafHealth("leaf_address_given_away", "wrong_instance", from, now - ended.sentAt);
    }
    from.misdirected = from.misdirected || reply.wrongInstance;
    if (reply.load) {
        from.load = *reply.load;
        from.loadAt = now;
    }
    if (reply.wrongInstance) {
        return;
    }
    if (reply.coldFor) {
        updateCold(from, *reply.coldFor, now);
    }
    // After the deadline, an unsuccessful answer shows neither failure nor refusal, only slowness if the request ran.
    const bool outOfTime = now >= ended.deadline && !reply.isSuccess();
    if (outOfTime && !reply.notRun) {
        updateSlowness(from, ended, reply, now);
        ended.latency->times.add(now - ended.sentAt); // without the late answers, a pause would not be seen
        reportIfChanged(from, now);
    }
    if (outOfTime) {
        return;
    }
    from.refusing = from.refusing * (1 - refusalWeight) + (reply.notRun ? refusalWeight : 0.0);
    from.refusingAt = now;
    if (reply.notRun) {
        return;
    }
    const millis took = now - ended.sentAt;
    const bool good = reply.status < 500;
    const double share = good ? 0.0 : 1.0;
    from.failing = from.failing * (1 - failureWeight) + share * failureWeight;
    from.failingAt = now;
    if (good) {
        const double ratio = updateSlowness(from, ended, reply, now);
        ended.latency->add(took, ended.latency->typical.estimate() * ratio);
    }
    reportIfChanged(from, now);
}

void gateway_engine::updateLeafOnFailure(leaf &from, send_failure failure, millis now)
{
    from.consecutiveFailures += 1;
    from.failing = from.failing * (1 - failureWeight) + failureWeight;
    from.failingAt = now;
    if (failure != send_failure::Broken || from.consecutiveFailures >= maxBrokenInRow) {
        from.downUntil = now + downFor(from.consecutiveFailures);
        logLeafHealth(
            "leaf_down", failure == send_failure::TimedOut ? "silent" : "unreachable", from, from.downUntil - now);
        reportIfChanged(from, now);
    }
}

} // namespace chivelock
