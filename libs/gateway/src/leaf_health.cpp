#include "exchange.h"

#include <algorithm>
#include <cmath>

namespace chivelock {

namespace {

constexpr double slowerStep = 1.35; // two slow answers outweigh the preference for the own zone
constexpr double fasterStep = 0.8;
constexpr double leastSlowness = 0.8;
constexpr double mostSlowness = 30;
constexpr double failureWeight = 0.3; // of the newest answer among the recent ones
constexpr double refusalWeight = 0.15; // less than of a failure: a refusal costs a round trip only
constexpr millis firstDown(200); // a process that was killed is back within a second or not for long
constexpr millis mostDown(2000); // a leaf that came back is found within this time
constexpr unsigned brokenInRow = 3; // single broken answers happen to healthy leafs

millis downFor(unsigned failuresInRow)
{
    const millis time = firstDown * std::exp2(std::min(failuresInRow, 8U) - 1.0);
    return std::min(time, mostDown);
}

/** Its own word of its host tells in one answer what else takes some to learn, unless that does not explain the time.
 */
bool believesHost(const leaf_load &load, double ratio)
{
    constexpr double explained = 2; // some wait in the queue beside it
    return load.hostSlowdown && ratio <= std::max(1.0, *load.hostSlowdown) * explained;
}

/**
 * The queue that a request met, as far as it is known. A leaf that is left alone with its shard has a queue; taken for
 * slowness, the wait in it counted twice, once as slowness and once as queue, and the only leaf that could still answer
 * in time was given up.
 */
double queueMet(double whenSent, const gateway_reply &reply)
{
    const double told = reply.load ? queueOf(reply.load->running + reply.load->waiting, reply.load->slots) : 0.0;
    return std::max(whenSent, told);
}

void learnSlowness(leaf &from, double ratio, millis sentAt, millis now)
{
    if (from.loadAt == now && believesHost(from.load, ratio)) {
        from.slowness = std::clamp(*from.load.hostSlowdown, leastSlowness, mostSlowness);
        from.slownessAt = now;
        return;
    }
    const double known = currentSlowness(from, now);
    const bool slower = ratio > known;
    // Several requests that waited out one pause together tell of one pause.
    if (slower && sentAt < from.slownessAt) {
        return;
    }
    from.slowness = std::clamp(known * (slower ? slowerStep : fasterStep), leastSlowness, mostSlowness);
    from.slownessAt = now;
}

} // namespace

retry_budget &gateway_engine::budgetOf(const service_name &service)
{
    return m_budgets.try_emplace(service, m_settings.retryRatio, m_settings.retryWindow).first->second;
}

bool gateway_engine::takeBudget(const service_name &service, double reserve, millis now)
{
    constexpr double safety = 0.75; // of the fixed part: VMs that restart have forgotten what they spent
    const double fixedPart =
        m_settings.retrySlack * safety / static_cast<double>(std::max<std::size_t>(1, m_fleetSize));
    return budgetOf(service).tryTake(fixedPart, reserve, now);
}

route_pace &gateway_engine::paceOf(const gateway_route &route)
{
    return m_paces.try_emplace(route.name, route.objective).first->second;
}

/** For the log: what this process believes of a leaf has changed. */
void gateway_engine::noteBelief(std::string_view event, std::string_view cause, const leaf &about, millis input)
{
    note_action belief;
    belief.event = event;
    belief.cause = cause;
    belief.leafId = about.entry.id;
    belief.service = about.entry.service.value;
    belief.input = input;
    m_actions.emplace_back(std::move(belief));
}

/** @return its time over what is usual behind the queue that the request met. */
double gateway_engine::noteSlowness(leaf &of, const send &ended, const gateway_reply &reply, millis now)
{
    const millis took = now - ended.sentAt;
    const double ratio = took.count() / timeBehind(queueMet(ended.queue, reply), of, *ended.pace).count();
    const bool wasSlow = of.slowness >= tellSlowAt;
    learnSlowness(of, ratio, ended.sentAt, now);
    if (wasSlow != (of.slowness >= tellSlowAt)) {
        noteBelief(wasSlow ? "leaf_as_usual" : "leaf_slow", "reply_time", of, took);
    }
    return ratio;
}

void gateway_engine::noteLeafReply(leaf &from, const send &ended, const gateway_reply &reply, millis now)
{
    from.lastReplyAt = now;
    if (from.downUntil > millis()) {
        noteBelief("leaf_answers_again", "reply", from, now - ended.sentAt);
    }
    from.failuresInRow = 0;
    from.downUntil = millis();
    if (reply.wrongInstance && !from.misdirected) {
        noteBelief("leaf_address_given_away", "wrong_instance", from, now - ended.sentAt);
    }
    from.misdirected = from.misdirected || reply.wrongInstance;
    if (reply.load) {
        from.load = *reply.load;
        from.loadAt = now;
    }
    if (reply.wrongInstance) {
        return;
    }
    // That the time it was given is over says nothing of whether it fails or refuses, only that it is slow if it ran.
    const bool outOfTime = now >= ended.deadline && !reply.isSuccess();
    if (outOfTime && !reply.notRun) {
        noteSlowness(from, ended, reply, now);
        considerReport(from, now);
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
        const double ratio = noteSlowness(from, ended, reply, now);
        ended.pace->add(took, ended.pace->typical.estimate() * ratio);
    }
    considerReport(from, now);
}

void gateway_engine::noteLeafFailure(leaf &from, send_failure failure, millis now)
{
    from.failuresInRow += 1;
    from.failing = from.failing * (1 - failureWeight) + failureWeight;
    from.failingAt = now;
    if (failure != send_failure::Broken || from.failuresInRow >= brokenInRow) {
        from.downUntil = now + downFor(from.failuresInRow);
        noteBelief(
            "leaf_down", failure == send_failure::TimedOut ? "silent" : "unreachable", from, from.downUntil - now);
        considerReport(from, now);
    }
}

} // namespace chivelock
