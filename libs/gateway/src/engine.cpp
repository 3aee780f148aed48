#include "exchange.h"

#include <algorithm>
#include <cmath>

namespace chivelock {

namespace {

constexpr std::size_t initialFleetSize = 16; // until peers are counted; twice the size of today's fleets
// Round trips between the caller's first packet and its receipt of the answer.
constexpr double roundTripsOfRequest = 1.0;
constexpr double roundTripsOfConnect = 1.0; // additional ones on a new connection
constexpr millis maxRoundTrip(200); // a higher measurement is caused by a lost packet
constexpr double minObjectiveShare = 0.5; // no partial answer is given before this share of the objective has passed
constexpr double connectionWaitShare = 0.2; // of the objective: longest wait for a free connection before refusal

/** @return why the answer of a leaf that ran the request is not used; for logs and callers. */
std::string_view failureCause(const gateway_reply &reply)
{
    return reply.isSuccess() ? "success_not_whole" : "leaf_failed";
}

millis timeoutAfterNetwork(millis callerTimeout, millis networkTime)
{
    return callerTimeout > networkTime * 2 ? callerTimeout - networkTime : callerTimeout * 0.5;
}

} // namespace

/**
 * Part of the caller's timeout that must be reserved for the network and for sending the answer. Reserving too much
 * cuts off parts that are still on their way; reserving too little makes the complete answer late. On a kept connection
 * a caller waits for one round trip less than on a new one, and the kernel has measured the round trip.
 */
millis gateway_engine::estimateNetworkTime(const caller_request &request) const
{
    const millis roundTrip = std::min(request.roundTrip.value_or(m_settings.callerRoundTrip), maxRoundTrip);
    const double roundTrips = roundTripsOfRequest + (request.newConnection ? roundTripsOfConnect : 0.0);
    return roundTrip * roundTrips + m_settings.answerMargin;
}

std::string_view toString(send_failure failure)
{
    switch (failure) {
    case send_failure::NotSent:
        return "not_sent";
    case send_failure::HeldBack:
        return "leaf_holds_too_much";
    case send_failure::Broken:
        return "connection_broken";
    case send_failure::LeafCrashed:
        return "leaf_ended";
    case send_failure::TimedOut:
        return "silent";
    }
    return "unknown";
}

std::string_view toString(exchange_outcome outcome)
{
    switch (outcome) {
    case exchange_outcome::Relayed:
        return "relayed";
    case exchange_outcome::Merged:
        return "merged";
    case exchange_outcome::Refused:
        return "refused";
    case exchange_outcome::Failed:
        return "failed";
    case exchange_outcome::NoRoute:
        return "no_route";
    case exchange_outcome::NoConfig:
        return "no_config";
    }
    return "unknown";
}

bool gateway_engine::exchange::mayHaveRun() const
{
    return std::ranges::any_of(calls, [](const shard_call &call) { return call.mayHaveRun > 0; });
}

std::size_t gateway_engine::exchange::neededParts() const
{
    constexpr double roundingSlack = 1e-9; // rounding errors must not turn 0.9 of 20 into 19
    const double wanted = std::ceil(route->minCoverage * static_cast<double>(calls.size()) - roundingSlack);
    return std::max<std::size_t>(1, static_cast<std::size_t>(wanted));
}

std::string_view gateway_engine::exchange::causeOfTooFewShards() const
{
    if (!drainedZone.value.empty()) {
        return "zone_emptied";
    }
    return leafsOutsideRegions ? "region_not_allowed" : "too_few_shards";
}

gateway_engine::gateway_engine(gateway_settings settings, std::uint64_t seed)
    : m_settings(std::move(settings))
    , m_random(seed)
    , m_leafs(m_settings.removalHold)
    , m_regions(m_settings.regions)
    , m_fleetSize(initialFleetSize)
    , m_possibleFleetSize(initialFleetSize)
    , m_seed(seed)
    , m_requests(m_settings.quarantine, seed)
    , m_attemptTags(seed)
{
}

gateway_engine::~gateway_engine() = default;

bool gateway_engine::applyConfig(gateway_config config)
{
    if (m_table && config.version <= m_table->config().version) {
        return false;
    }
    m_table = std::make_shared<const route_table>(std::move(config));
    rankRoutes();
    return true;
}

exchange_id gateway_engine::arrive(const caller_request &request, millis now)
{
    const exchange_id id = m_nextId++;
    if (!m_table) {
        answerWithoutExchange(request, exchange_outcome::NoConfig, "no_config", id);
        return id;
    }
    const gateway_route *route = m_table->find(request.host, request.target);
    if (route == nullptr) {
        answerWithoutExchange(request, exchange_outcome::NoRoute, "no_route", id);
        return id;
    }
    if (m_requests.quarantineStateOf(request.key, now) == quarantine_state::Quarantined) {
        refuseQuarantined(request, *route, id, now);
        return id;
    }
    auto work = std::make_unique<exchange>();
    work->id = id;
    work->requestId = request.id;
    work->key = request.key;
    work->account = request.account;
    work->table = m_table;
    work->route = route;
    work->latency = &latencyOf(*route);
    work->urgency = urgencyOf(route->rank);
    work->arrivedAt = now - request.waited;
    work->begunAt = now;
    work->networkTime = estimateNetworkTime(request);
    const millis callerTimeout =
        request.callerTimeout ? timeoutAfterNetwork(*request.callerTimeout, work->networkTime) : route->timeout;
    work->limit = work->arrivedAt + std::min(callerTimeout, route->timeout);
    limitToStop(*work);
    exchange &kept = *m_exchanges.emplace(id, std::move(work)).first->second;
    m_overload.accounts().begin(kept.account);
    beginCanary(kept, now);
    if (now >= kept.limit) {
        answerUnserved(kept, isLimitedByStop(kept) ? stoppingCause : "queued_too_long", false, now);
    } else if (!refuseIfStopping(kept, now)) {
        begin(kept, now);
    }
    if (kept.ended) {
        erase(id);
    }
    return id;
}

void gateway_engine::begin(exchange &work, millis now)
{
    if (work.route->isGather()) {
        beginGather(work, now);
    } else {
        beginSingle(work, now);
    }
    schedule(work, now);
}

void gateway_engine::beginSingle(exchange &work, millis now)
{
    work.sendBy = std::min(work.sendBy, now + work.route->objective * connectionWaitShare);
    shard_call &call = work.calls.emplace_back();
    call.service = pickSplitService(*work.route);
    if (refuseIfOverloaded(work, now)) {
        return;
    }
    budgetOf(call.service).countRequest(now);
    const choice chosen = chooseLeaf(work, call, false, now);
    if (chosen.to && maySendMore(work, now)) {
        sendCall(work, 0, chosen.to, now);
    } else if (chosen.to || chosen.full) {
        call.waiting = true; // for a connection, or for the canary of another attempt of the same request
    } else {
        recordSkippedLeafs(work, chosen);
        answerUnserved(work, chosen.reason(), false, now);
    }
}

/** Keeps the reason why leafs were skipped, for the log line of the request. */
void gateway_engine::recordSkippedLeafs(exchange &work, const choice &none)
{
    if (none.to) {
        return;
    }
    work.leafsOutsideRegions = work.leafsOutsideRegions || none.outsideRegions;
    if (none.drained != nullptr) {
        work.drainedZone = *none.drained;
    }
}

void gateway_engine::beginGather(exchange &work, millis now)
{
    // A VM that is behind also writes the answer late: it decides earlier, so that the caller gets the answer in time.
    const millis behind = m_settings.scheduling.overload ? ownLag(now) : millis();
    const millis inTime =
        std::max(work.route->objective - work.networkTime - behind, work.route->objective * minObjectiveShare);
    work.cutoff = work.arrivedAt + inTime;
    limitToStop(work);
    addCalls(work, work.route->shards);
    if (refuseIfOverloaded(work, now)) {
        return;
    }
    bool overloaded = false;
    for (shard_call &call : work.calls) {
        const choice one = chooseLeaf(work, call, false, now);
        call.waiting = !one.to && one.full;
        call.missing = !one.to && !one.full;
        recordSkippedLeafs(work, one);
        work.missing += call.missing ? 1 : 0;
        overloaded = overloaded || (call.missing && one.overloaded);
    }
    // Refuses before any leaf works on a request that can't be answered.
    if (work.calls.size() - work.missing < work.neededParts()) {
        answerUnserved(work, overloaded ? "shards_overloaded" : work.causeOfTooFewShards(), false, now);
        return;
    }
    if (work.canaryLimit > 0) {
        std::ranges::for_each(work.calls, [](shard_call &call) { call.held = !call.missing; });
        sendCanaries(work, now);
        return;
    }
    fanOut(work, now);
}

/** Delegates or sends the calls of all unassigned shards. */
void gateway_engine::fanOut(exchange &work, millis now)
{
    for (helper_group &group : planHelpers(work, now)) {
        delegateCalls(work, group.helper, std::move(group.calls), now);
    }
    sendUnassigned(work, now);
    delegateSecondSends(work, now);
}

void gateway_engine::addCalls(exchange &work, std::span<const service_name> shards)
{
    for (const service_name &shard : shards) {
        work.calls.emplace_back().service = shard;
    }
    work.secondSendLimit = second_send_limit(shards.size());
}

/** Sends the calls that are not delegated to another VM. */
void gateway_engine::sendUnassigned(exchange &work, millis now)
{
    for (std::size_t at = 0; at < work.calls.size(); ++at) {
        shard_call &call = work.calls[at];
        if (!call.isUnassigned() && !call.missing) {
            continue;
        }
        budgetOf(call.service).countRequest(now);
        if (call.missing || call.waiting) {
            continue;
        }
        const choice chosen = chooseLeaf(work, call, false, now);
        if (chosen.to) {
            sendFirst(work, at, chosen.to, now);
        } else {
            call.waiting = true;
        }
    }
}

void gateway_engine::settle(exchange &work, millis now)
{
    continueCanary(work, now);
    delegateSecondSends(work, now);
    schedule(work, now);
    if (work.ended) {
        erase(work.id);
    }
}

void gateway_engine::onReply(send_id id, gateway_reply reply, millis now)
{
    const std::optional<send> ended = endSend(id);
    if (!ended) {
        return;
    }
    updateLeafOnReply(*ended->to, *ended, reply, now);
    onPlaceFreed(*ended->to, now);
    constexpr unsigned gatewayTimeout = 504; // with more time the request might still have crashed the leaf
    const bool survived = !reply.notRun && !reply.wrongInstance && reply.status != gatewayTimeout;
    exchange *owner = ownerOf(*ended);
    if (owner == nullptr) {
        recordLateOutcome(*ended, survived, false, now);
        return;
    }
    exchange &work = *owner;
    shard_call &call = work.calls[ended->call];
    call.open -= 1;
    const bool notRun = reply.notRun || reply.wrongInstance;
    call.mayHaveRun -= notRun ? 1 : 0;
    call.reachedLeaf = true;
    if (ended->second && notRun) {
        releaseSecond(work, call);
    } else if (ended->second && !call.done && reply.isWholeSuccess()) {
        recordUsefulSecond(work, call);
    }
    if (survived) {
        recordSurvived(work, now);
    }
    if (notRun || !reply.isSuccess()) {
        const std::string_view cause = reply.wrongInstance ? "wrong_instance" : (notRun ? "refused" : "failed");
        logEvent(work, "send_in_vain", cause, ended->to.get(), call.service, now - ended->sentAt, now);
    }
    if (!call.done && !call.missing) {
        if (notRun) {
            // The leaf has not started the request, so it may be asked again if no other leaf is left.
            std::erase(call.tried, ended->to);
            retryCall(work, ended->call, reply.wrongInstance ? "wrong_instance" : "leaf_refused", now);
        } else if (work.route->isGather()) {
            acceptPart(work, ended->call, std::move(reply), now);
        } else {
            answerSingle(work, std::move(reply), now);
        }
    }
    sendWaiting(work, now);
    settle(work, now);
}

void gateway_engine::onSendFailed(send_id id, send_failure failure, millis now)
{
    const std::optional<send> ended = endSend(id);
    if (!ended) {
        return;
    }
    const bool neverSent = failure == send_failure::NotSent || failure == send_failure::HeldBack;
    if (failure == send_failure::HeldBack) {
        constexpr millis holdBackFor(50); // a few answers of the leaf, which make room for further requests
        ended->to->heldBackUntil = now + holdBackFor;
    } else {
        updateLeafOnFailure(*ended->to, failure, now);
        onPlaceFreed(*ended->to, now);
    }
    if (failure == send_failure::TimedOut) {
        ended->latency->times.add(now - ended->sentAt);
    }
    // A leaving leaf closes its connections and stops as instructed; that is no crash.
    const bool leafCrashed = failure == send_failure::LeafCrashed && !ended->to->isLeaving();
    exchange *owner = ownerOf(*ended);
    if (owner == nullptr) {
        recordLateOutcome(*ended, false, leafCrashed, now);
        return;
    }
    exchange &work = *owner;
    shard_call &call = work.calls[ended->call];
    call.open -= 1;
    call.mayHaveRun -= neverSent ? 1 : 0;
    call.reachedLeaf = call.reachedLeaf || !neverSent;
    call.leafCrashed = call.leafCrashed || leafCrashed;
    if (ended->second && neverSent) {
        releaseSecond(work, call);
    }
    if (leafCrashed) {
        recordLeafCrash(work, ended->to->entry.id);
    }
    logEvent(work, "send_in_vain", toString(failure), ended->to.get(), call.service, now - ended->sentAt, now);
    if (!call.done && !call.missing) {
        retryCall(work, ended->call, toString(failure), now);
    }
    settle(work, now);
}

void gateway_engine::acceptPart(exchange &work, std::size_t at, gateway_reply reply, millis now)
{
    if (!reply.isWholeSuccess()) {
        retryCall(work, at, failureCause(reply), now);
        return;
    }
    shard_call &call = work.calls[at];
    call.done = true;
    call.part.stamp = std::move(reply.stamp);
    call.part.body = greatestRecords(std::move(reply.body), work.route->topRecords);
    work.done += 1;
    finishGatherIfDone(work, now);
}

void gateway_engine::answerSingle(exchange &work, gateway_reply reply, millis now)
{
    const bool served = reply.isWholeSuccess() || (!reply.isSuccess() && reply.status < 500);
    const std::string_view cause = served ? "answered" : failureCause(reply);
    if (served || !reply.isSuccess()) {
        work.failure = std::move(reply);
    }
    if (served || !work.route->idempotent) {
        answerUnserved(work, cause, false, now);
        return;
    }
    retryCall(work, 0, cause, now);
}

void gateway_engine::finishGatherIfDone(exchange &work, millis now)
{
    if (work.ended) {
        return;
    }
    const bool allKnown = work.done + work.missing == work.calls.size();
    if (work.isDelegated()) {
        if (allKnown || work.pendingReported || now >= work.cutoff) {
            reportProgress(work, allKnown, now);
        }
        return;
    }
    const bool enough = work.done >= work.neededParts();
    if (enough && (allKnown || now >= work.cutoff)) {
        answerMerged(work, allKnown ? (work.missing == 0 ? "whole" : "shards_missing") : "time", now);
    }
}

std::vector<gateway_action> gateway_engine::takeActions()
{
    return std::exchange(m_actions, {});
}

} // namespace chivelock
