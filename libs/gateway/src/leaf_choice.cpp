#include "exchange.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <span>

namespace chivelock {

namespace {

constexpr millis failingHalfLife(3000);
// Of the objective, for a leaf that always refuses: as after a failure, the part is lost if the retry budget is spent,
// which happens where refusals are frequent.
constexpr double refusalCostShare = 1;
constexpr millis newConnectionCost(3); // a round trip, and some milliseconds of a slot of the leaf
constexpr double loadFreshnessFactor = 2; // a reported load is outdated after this many request times
constexpr millis minLoadFreshness(30);
constexpr millis otherZoneDelay(1); // round trip
constexpr double coldShare = 0.6; // of the typical time: how much slower a leaf is after its start
constexpr double tieBreakShare = 0.1; // random share, so that VMs with equal data do not all choose the same leaf
constexpr double leavingShare = 4; // of the objective: asked only if no other leaf of the service can be
constexpr millis drainMargin(800); // for a request to reach the leaf: a new connection, and a leaf slow to read

/** @return the expected time from the send to the answer, including the queue. */
millis expectedTime(const leaf &candidate, const route_latency &latency, millis now)
{
    return timeWithQueue(leafQueuePerSlot(candidate, latency, now), candidate, latency)
        * currentSlowness(candidate, now);
}

/** @return requests per second that the leaf can handle from the whole fleet while it is cold; 0 for no limit. */
double coldCapacity(const leaf &candidate, const route_table *table, millis now)
{
    return now < candidate.coldUntil && table != nullptr ? table->maxColdRequestsPerSecond(candidate.entry.service) : 0;
}

double sumOfWeights(std::span<const weighted_service> split)
{
    return std::accumulate(split.begin(), split.end(), 0.0, [](double sum, const weighted_service &one) {
        return sum + std::max(one.weight, 0.0);
    });
}

/** Drops the credits of services that a new configuration gives no requests, so that they return without any. */
void dropUnserved(std::map<std::string, double> &credits, std::span<const weighted_service> split)
{
    std::erase_if(credits, [&](const auto &credit) {
        return std::ranges::none_of(
            split, [&](const weighted_service &one) { return one.weight > 0 && one.service.value == credit.first; });
    });
}

} // namespace

double leafQueuePerSlot(const leaf &candidate, const route_latency &latency, millis now)
{
    double requestsAtLeaf = static_cast<double>(candidate.open.size());
    const millis fresh =
        std::max(minLoadFreshness, latency.typical.estimate() * currentSlowness(candidate, now) * loadFreshnessFactor);
    if (now - candidate.loadAt < fresh) {
        requestsAtLeaf = std::max(requestsAtLeaf, static_cast<double>(candidate.load.running + candidate.load.waiting));
    }
    return queuePerSlot(requestsAtLeaf, candidate.entry.slots);
}

/**
 * @return the cost in milliseconds, where the complete answer is worth the route's objective. A part from another zone
 * costs a fixed share of the objective, whatever the work: an answer in time gains nothing by being faster, so a wait
 * in the own zone's queue is cheaper than the traffic between zones until it takes a large part of the time.
 */
double gateway_engine::expectedCost(const leaf &candidate, const route_latency &latency, millis now)
{
    const double typical = latency.typical.estimate().count();
    const double objective = latency.objective.count();
    double cost = expectedTime(candidate, latency, now).count();
    cost += objective * decayed(candidate.failing, now - candidate.failingAt, failingHalfLife);
    cost += objective * refusalCostShare * decayed(candidate.refusing, now - candidate.refusingAt, failingHalfLife);
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
    } else {
        cost += pauseCost(candidate, latency, now);
    }
    if (candidate.peerSawUnreachableAt > candidate.lastReplyAt) {
        cost += objective * stallShare * decayed(1, now - candidate.peerSawUnreachableAt, failingHalfLife);
    }
    if (candidate.isLeaving()) {
        cost += objective * leavingShare;
    }
    return cost * (1 + tieBreakShare * m_random.uniform());
}

/**
 * An overloaded leaf answers no request in time: each one waits for those before it, and all are late. Requests that
 * would be late because of the leaf's queue are therefore not sent, so that the ones that are sent get answers in time.
 * A leaf without a queue is asked however slow it seems: a VM on an eighth of a core that is late itself measures all
 * leafs as slow, and would abandon their shards.
 */
bool gateway_engine::isOverloaded(const leaf &candidate, const route_latency &latency, millis timeLeft, millis now)
{
    constexpr double spread = 1.3; // work varies by a third; with the mean, half of the last admitted would be late
    return leafQueuePerSlot(candidate, latency, now) > 0 && expectedTime(candidate, latency, now) * spread > timeLeft;
}

bool gateway_engine::setZoneDrained(const zone_name &zone, bool drained, millis now)
{
    return drained ? m_zones.drain(zone) : m_zones.undrain(zone, now);
}

/** @return whether a request may go to the zone; a random share may while the zone is being undrained. */
bool gateway_engine::admits(const zone_name &zone, millis now)
{
    const double share = m_zones.trafficShare(zone, now);
    return share >= 1 || m_random.uniform() < share;
}

/** @return false if the leaf is cold with a limited capacity and this VM has no free admission slot for it; see
 *  @ref coldAdmissionSlotAt. */
bool gateway_engine::mayAskCold(const leaf &candidate, millis now) const
{
    const double capacity = coldCapacity(candidate, m_table.get(), now);
    if (capacity <= 0) {
        return true;
    }
    const auto slot = coldAdmissionSlotAt(digestOf(candidate.entry.id), {m_possibleFleetSize, m_seed}, capacity, now);
    return slot.has_value() && slot != candidate.lastColdAdmissionSlot;
}

void gateway_engine::useColdSlot(leaf &asked, millis now) const
{
    const double capacity = coldCapacity(asked, m_table.get(), now);
    if (capacity > 0) {
        asked.lastColdAdmissionSlot =
            coldAdmissionSlotAt(digestOf(asked.entry.id), {m_possibleFleetSize, m_seed}, capacity, now);
    }
}

bool gateway_engine::mayAsk(const leaf &candidate, millis now) const
{
    if (m_zones.isDrained(candidate.entry.zone)) {
        return false;
    }
    if (candidate.misdirected || candidate.entryUnreadable || now < candidate.downUntil) {
        return false;
    }
    if (candidate.consecutiveFailures > 0 && !candidate.open.empty()) {
        return false; // one request at a time probes whether the leaf is back
    }
    if (!mayAskCold(candidate, now)) {
        return false;
    }
    const millis drainEnd = m_settings.drainLimit - std::min(drainMargin, m_settings.drainLimit * 0.5);
    if (now >= candidate.drainingSince + drainEnd || now >= candidate.removeAt) {
        return false;
    }
    const millis stalled = candidate.stalledSince();
    return stalled > now || now - stalled < maxShortPause;
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
    choice undraining; // of zones being undrained that did not admit the request; used if there is no other leaf
    const millis timeLeft = (now < work.cutoff ? std::min(work.cutoff, work.limit) : work.limit) - now;
    const unsigned share = connectionShare(call.service);
    const bool late = work.route->isGather() && now >= work.cutoff;
    for (const std::shared_ptr<leaf> &candidate : m_leafs.of(call.service)) {
        if (!m_regions.allows(work.route->homeRegions, candidate->entry.zone)) {
            best.outsideRegions = true;
            continue;
        }
        const bool tried = std::ranges::find(call.tried, candidate) != call.tried.end();
        if (tried || !mayAsk(*candidate, now)) {
            best.drained = m_zones.isDrained(candidate->entry.zone) ? &candidate->entry.zone : best.drained;
            continue;
        }
        if (candidate->open.size() >= share || now < candidate->heldBackUntil) {
            best.full = true;
            continue;
        }
        if (forHedge && candidate->stalledSince() < now) {
            continue; // a second request to a stalled leaf would only wait, like the first
        }
        if (late && leafQueuePerSlot(*candidate, *work.latency, now) > 0) {
            best.full = true; // requests that can still be answered in time go first
            continue;
        }
        if (isOverloaded(*candidate, *work.latency, timeLeft, now)) {
            best.overloaded = true;
            continue;
        }
        const double cost = expectedCost(*candidate, *work.latency, now);
        choice &among = admits(candidate->entry.zone, now) ? best : undraining;
        if (!among.to || cost < among.cost) {
            among.to = candidate;
            among.cost = cost;
        }
    }
    if (!best.to && undraining.to) {
        best.to = undraining.to;
        best.cost = undraining.cost;
    }
    return best;
}

const service_name &gateway_engine::pickSplitService(const gateway_route &route)
{
    const double sum = sumOfWeights(route.split);
    if (route.split.size() == 1 || sum <= 0) {
        return route.split.front().service;
    }
    // Smooth weighted round-robin: each service gains its share of a request, and the chosen one pays one request.
    // Credits are kept in requests, because a new configuration may count weights in another unit.
    auto &credits = m_shareCredits[route.name];
    dropUnserved(credits, route.split);
    const weighted_service *chosen = nullptr;
    for (const weighted_service &one : route.split) {
        if (one.weight <= 0) {
            continue;
        }
        credits[one.service.value] += one.weight / sum;
        if (!chosen || credits[one.service.value] > credits[chosen->service.value]) {
            chosen = &one;
        }
    }
    credits[chosen->service.value] -= 1;
    return chosen->service;
}

} // namespace chivelock
