#include "exchange.h"

#include <algorithm>
#include <cmath>

namespace chivelock {

namespace {

constexpr millis failingHalfLife(3000);
constexpr double refusingShare = 1; // of the objective, for a leaf that always refuses: the part is lost as with a
                                    // failure where the budget for second sends is spent, and there refusals are many
constexpr millis newConnectionCost(3); // a round trip, and a slot of the leaf for some milliseconds
constexpr double loadFreshWorks = 2; // a reported load is older than the work it speaks of after some work times
constexpr millis leastLoadFresh(30);
constexpr double otherZoneShare = 0.3; // of the objective, see expectedCost
constexpr millis otherZoneDelay(1); // there and back
constexpr double coldShare = 0.6; // slower by that share of the typical time after its start
constexpr double tieShare = 0.1; // random share, so that VMs with equal views do not all choose the same leaf
constexpr double stallShare = 0.5; // of the objective: what a stalled leaf is expected to cost more
constexpr double leavingShare = 4; // of the objective: asked only if no other leaf of the service may be
constexpr millis drainMargin(800); // for a request to reach the leaf: a new connection, and a leaf that reads late

/** From sending to the answer, queue and all. */
millis expectedTime(const leaf &candidate, const route_pace &pace, millis now)
{
    return timeBehind(leafQueue(candidate, pace, now), candidate, pace) * currentSlowness(candidate, now);
}

/** @return requests a second that the leaf bears from the whole fleet as it is now; 0 for any number. */
double bearsNow(const leaf &candidate, const route_table *table, millis now)
{
    return now < candidate.coldUntil && table != nullptr ? table->coldPerSecond(candidate.entry.service) : 0;
}

} // namespace

double leafQueue(const leaf &candidate, const route_pace &pace, millis now)
{
    double atWork = static_cast<double>(candidate.open.size());
    const millis fresh =
        std::max(leastLoadFresh, pace.typical.estimate() * currentSlowness(candidate, now) * loadFreshWorks);
    if (now - candidate.loadAt < fresh) {
        atWork = std::max(atWork, static_cast<double>(candidate.load.running + candidate.load.waiting));
    }
    return queueOf(atWork, candidate.entry.slots);
}

/**
 * All in milliseconds of the objective, of which the whole answer is worth. A part from another zone costs a fixed
 * share of it, whatever the work: as long as an answer comes in time it is worth no more for coming sooner, so a wait
 * in the own zone's queue is cheaper than the bytes until it takes a good part of the time.
 */
double gateway_engine::expectedCost(const leaf &candidate, const route_pace &pace, millis now)
{
    const double typical = pace.typical.estimate().count();
    const double objective = pace.objective.count();
    double cost = expectedTime(candidate, pace, now).count();
    cost += objective * faded(candidate.failing, now - candidate.failingAt, failingHalfLife);
    cost += objective * refusingShare * faded(candidate.refusing, now - candidate.refusingAt, failingHalfLife);
    if (candidate.keptConnections == 0) {
        cost += newConnectionCost.count();
    }
    if (candidate.entry.zone != m_settings.zone) {
        cost += objective * otherZoneShare + otherZoneDelay.count();
    }
    if (now < candidate.coldUntil) {
        cost += typical * coldShare;
    }
    if (candidate.stalledSince() < now) {
        cost += objective * stallShare;
    }
    if (candidate.othersFailAt > candidate.lastReplyAt) {
        cost += objective * stallShare * faded(1, now - candidate.othersFailAt, failingHalfLife);
    }
    if (candidate.isLeaving()) {
        cost += objective * leavingShare;
    }
    return cost * (1 + tieShare * m_random.uniform());
}

/**
 * A leaf that gets more than it can do answers nobody in time: each request waits for those before it, and all are late
 * alike. What would not be answered in time because of its queue is not sent, so that what is sent is. A leaf without a
 * queue is asked however slow it seems: a VM on an eighth of a core that is late itself finds all leafs slow, and would
 * give up their shards.
 */
bool gateway_engine::isOverloaded(const leaf &candidate, const route_pace &pace, millis timeLeft, millis now)
{
    constexpr double spread = 1.3; // work varies by a third: at the mean, every other one of the last would be late
    return leafQueue(candidate, pace, now) > 0 && expectedTime(candidate, pace, now) * spread > timeLeft;
}

bool gateway_engine::setZoneEmptied(const zone_name &zone, bool emptied, millis now)
{
    return emptied ? m_zones.empty(zone) : m_zones.giveBack(zone, now);
}

/** Whether one request that could go to the zone may, while requests come back to it. */
bool gateway_engine::admits(const zone_name &zone, millis now)
{
    const double share = m_zones.shareOf(zone, now);
    return share >= 1 || m_random.uniform() < share;
}

/** See @ref coldTurnOf. Of the leafs that are cold and bear few requests, those whose turn it is not are not asked. */
bool gateway_engine::mayAskCold(const leaf &candidate, millis now) const
{
    const double bears = bearsNow(candidate, m_table.get(), now);
    if (bears <= 0) {
        return true;
    }
    const auto turn = coldTurnOf(digestOf(candidate.entry.id), {m_fleetSize, m_seed}, bears, now);
    return turn.has_value() && turn != candidate.coldTurnUsed;
}

void gateway_engine::useColdTurn(leaf &asked, millis now) const
{
    const double bears = bearsNow(asked, m_table.get(), now);
    if (bears > 0) {
        asked.coldTurnUsed = coldTurnOf(digestOf(asked.entry.id), {m_fleetSize, m_seed}, bears, now);
    }
}

bool gateway_engine::mayAsk(const leaf &candidate, millis now) const
{
    if (m_zones.isEmptied(candidate.entry.zone)) {
        return false;
    }
    if (candidate.misdirected || candidate.entryUnreadable || now < candidate.downUntil) {
        return false;
    }
    if (candidate.failuresInRow > 0 && !candidate.open.empty()) {
        return false; // one request at a time finds out whether it is back
    }
    if (!mayAskCold(candidate, now)) {
        return false;
    }
    const millis drainEnd = m_settings.drainLimit - std::min(drainMargin, m_settings.drainLimit * 0.5);
    if (now >= candidate.drainSeenAt + drainEnd || now >= candidate.removeAt) {
        return false;
    }
    const millis stalled = candidate.stalledSince();
    return stalled > now || now - stalled < hopelessAfter;
}

unsigned gateway_engine::connectionShare(const service_name &service) const
{
    const std::size_t all = m_table->maxConnections(service);
    return static_cast<unsigned>(std::max<std::size_t>(1, all / std::max<std::size_t>(1, m_fleetSize)));
}

gateway_engine::choice
gateway_engine::chooseLeaf(const exchange &work, const shard_call &call, bool forHedge, millis now)
{
    choice best;
    choice easedIn; // of a zone to which requests come back: for those that have no other leaf
    const millis timeLeft = (now < work.cutoff ? std::min(work.cutoff, work.limit) : work.limit) - now;
    const unsigned share = connectionShare(call.service);
    const bool late = work.route->isGather() && now >= work.cutoff;
    for (const std::shared_ptr<leaf> &candidate : m_leafs.of(call.service)) {
        const bool tried = std::ranges::find(call.tried, candidate) != call.tried.end();
        if (tried || !mayAsk(*candidate, now)) {
            best.emptied = m_zones.isEmptied(candidate->entry.zone) ? &candidate->entry.zone : best.emptied;
            continue;
        }
        if (candidate->open.size() >= share) {
            best.full = true;
            continue;
        }
        if (forHedge && candidate->stalledSince() < now) {
            continue; // a second request would only wait beside the first
        }
        if (late && leafQueue(*candidate, *work.pace, now) > 0) {
            best.full = true; // those who can still be answered in time go first
            continue;
        }
        if (isOverloaded(*candidate, *work.pace, timeLeft, now)) {
            best.overloaded = true;
            continue;
        }
        const double cost = expectedCost(*candidate, *work.pace, now);
        choice &among = admits(candidate->entry.zone, now) ? best : easedIn;
        if (!among.to || cost < among.cost) {
            among.to = candidate;
            among.cost = cost;
        }
    }
    if (!best.to && easedIn.to) {
        best.to = easedIn.to;
        best.cost = easedIn.cost;
    }
    return best;
}

const service_name &gateway_engine::pickShare(const gateway_route &route)
{
    if (route.split.size() == 1) {
        return route.split.front().service;
    }
    // Smooth weighted turns: each share gains its weight, the richest is taken and pays the sum of all weights.
    std::vector<double> &credits = m_shareCredits[route.name];
    credits.resize(route.split.size(), 0.0);
    double sum = 0;
    for (std::size_t at = 0; at < credits.size(); ++at) {
        credits[at] += route.split[at].weight;
        sum += route.split[at].weight;
    }
    const auto richest = std::ranges::max_element(credits);
    *richest -= sum;
    return route.split[static_cast<std::size_t>(richest - credits.begin())].service;
}

} // namespace chivelock
