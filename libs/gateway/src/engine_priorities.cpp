/** @file Order of urgency: calls that wait for a leaf, and the share of the retry budget left to urgent routes. */

#include "exchange.h"

#include <algorithm>

namespace chivelock {

void gateway_engine::rankRoutes()
{
    std::vector<std::uint32_t> ranks;
    m_highestUrgency.clear();
    std::ranges::transform(m_table->config().routes, std::back_inserter(ranks), &gateway_route::rank);
    m_scale = priority_scale(ranks);
    const auto raise = [this](const service_name &service, double urgency) {
        double &highest = m_highestUrgency[service];
        highest = std::max(highest, urgency);
    };
    for (const gateway_route &route : m_table->config().routes) {
        const double urgency = m_scale.urgencyOf(route.rank);
        std::ranges::for_each(route.shards, [&](const service_name &shard) { raise(shard, urgency); });
        std::ranges::for_each(route.split, [&](const weighted_service &one) { raise(one.service, urgency); });
    }
}

/** As @ref trySpendBudget, but leaves a share to the more urgent routes that use the service. */
bool gateway_engine::spendExtra(const exchange &work, const service_name &service, double reserve, millis now)
{
    const auto highest = m_highestUrgency.find(service);
    if (!hasPriorities() || highest == m_highestUrgency.end() || highest->second <= work.urgency) {
        return trySpendBudget(service, reserve, now);
    }
    const bool spent = trySpendBudget(service, budgetReserve(reserve, work.urgency, highest->second), now);
    m_priorityCounts.budgetLeft += spent ? 0 : 1;
    return spent;
}

/** @return whether a leaf of the service has a place for one more request of this VM. Without any leaf that can be
 *  asked, waiting calls must be given up, so they count as having a place. */
bool gateway_engine::hasFreePlace(const service_name &service, millis now) const
{
    const unsigned share = connectionShare(service);
    bool full = false;
    for (const std::shared_ptr<leaf> &one : m_leafs.of(service)) {
        if (mayAsk(*one, now)) {
            if (one->open.size() < share && now >= one->heldBackUntil) {
                return true;
            }
            full = true;
        }
    }
    return !full;
}

void gateway_engine::enlistWaiting(const exchange &work, std::size_t at)
{
    if (hasPriorities()) {
        m_waitingCalls[work.calls[at].service].calls.insert({work.urgency, work.arrivedAt, work.id, at});
    }
}

void gateway_engine::withdrawWaiting(const exchange &work)
{
    if (m_waitingCalls.empty()) {
        return;
    }
    for (std::size_t at = 0; at < work.calls.size(); ++at) {
        const auto found = m_waitingCalls.find(work.calls[at].service);
        if (found != m_waitingCalls.end()) {
            found->second.calls.erase({work.urgency, work.arrivedAt, work.id, at});
            if (found->second.calls.empty()) {
                m_waitingCalls.erase(found);
            }
        }
    }
}

/** @return the first calls that wait for a leaf of the service, in the order in which they are served. Also removes the
 *  ones that no longer wait. */
std::vector<waiting_position> gateway_engine::callsToServe(const service_name &service, millis now)
{
    // A call that can use no free place, for example because it was refused there, is passed over.
    constexpr std::size_t maxCallsTried = 8;
    std::vector<waiting_position> inTime;
    std::vector<waiting_position> late;
    std::set<waiting_position> &waiting = m_waitingCalls.at(service).calls;
    for (auto at = waiting.begin(); at != waiting.end() && inTime.size() < maxCallsTried;) {
        const auto owner = m_exchanges.find(at->exchange);
        if (owner == m_exchanges.end() || !owner->second->calls[at->call].waiting) {
            at = waiting.erase(at);
            continue;
        }
        (now < owner->second->cutoff ? inTime : late).push_back(*at);
        ++at;
    }
    late.resize(std::min(late.size(), maxCallsTried - inTime.size()));
    std::ranges::copy(late, std::back_inserter(inTime));
    return inTime;
}

/**
 * Gives the free places at the leafs of a service to the calls that wait for them, in order of urgency, then of age.
 * Lookups past the time of their answer come last, since they use only capacity that no other request needs.
 * @param current exchange whose step is in progress; it is not settled here. May be nullptr.
 */
void gateway_engine::serveWaiting(const service_name &service, const exchange *current, millis now)
{
    const auto waiting = m_waitingCalls.find(service);
    if (waiting == m_waitingCalls.end() || !hasFreePlace(service, now)) {
        return;
    }
    waiting->second.servedAt = now;
    for (const waiting_position &next : callsToServe(service, now)) {
        if (!hasFreePlace(service, now)) {
            break;
        }
        serveCall(next, current, now);
    }
}

void gateway_engine::serveCall(const waiting_position &next, const exchange *current, millis now)
{
    const auto owner = m_exchanges.find(next.exchange);
    if (owner == m_exchanges.end() || owner->second->ended) {
        return;
    }
    exchange &work = *owner->second;
    sendWaitingCall(work, next.call, now);
    if (work.calls[next.call].waiting) {
        return;
    }
    const auto waiting = m_waitingCalls.find(work.calls[next.call].service);
    if (waiting != m_waitingCalls.end()) {
        waiting->second.calls.erase(next);
        const bool first = std::ranges::none_of(
            waiting->second.calls, [&](const waiting_position &one) { return one.arrivedAt < next.arrivedAt; });
        m_priorityCounts.placesGivenFirst += first ? 0 : 1;
    }
    if (&work != current) {
        if (!work.ended && work.route->isGather()) {
            finishGatherIfDone(work, now);
        }
        settle(work, now);
    }
}

/** Looks for a place that became free without the end of a request, for example because a leaf is back. */
void gateway_engine::pollWaiting(exchange &work, std::size_t at, millis now)
{
    constexpr millis offerInterval(5); // so that many waiting calls do not each offer the places to all others
    const service_name &service = work.calls[at].service;
    const auto waiting = m_waitingCalls.find(service);
    if (waiting != m_waitingCalls.end() && now - waiting->second.servedAt >= offerInterval) {
        serveWaiting(service, &work, now);
    }
    // A free place in another region is none for this call, and it must be given up if its own region has no leaf left.
    if (hasFreePlace(service, now) || !work.route->homeRegions.empty()) {
        sendWaitingCall(work, at, now);
    }
}

/** A request to one of the leaf's places has ended. */
void gateway_engine::onPlaceFreed(const leaf &at, millis now)
{
    if (hasPriorities()) {
        serveWaiting(at.entry.service, nullptr, now);
    }
}

} // namespace chivelock
