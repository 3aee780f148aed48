#include "exchange.h"

#include <algorithm>
#include <cmath>

namespace chivelock {

namespace {

constexpr std::size_t fleetSizeGuess = 16; // until peers are counted: twice the fleets of today
// Round trips from the caller's first packet until it has the answer, without this VM's part.
constexpr double waysOfRequest = 1.0;
constexpr double waysOfConnection = 1.0; // before that, on a new one
constexpr millis mostRoundTrip(200); // a measurement above that tells of a lost packet and not of the way
constexpr double leastUseOfObjective = 0.5; // a partial answer is never given before that share of the objective
constexpr double holdShare = 0.2; // of the objective: longest wait for a free connection before a refusal

void mixIn(leaf &target, millis work)
{
    constexpr double newestShare = 0.1; // some ten requests tell the mix
    const bool first = target.mixedWork == millis();
    target.mixedWork = first ? work : target.mixedWork * (1 - newestShare) + work * newestShare;
}

millis patienceAfterWays(millis patience, millis ways)
{
    return patience > ways * 2 ? patience - ways : patience * 0.5;
}

} // namespace

/**
 * What of a caller's time is not this VM's to spend: time held back without need is taken from the parts that are still
 * on their way, time not held back makes the whole answer late. A caller on a kept connection waits for one round trip
 * less than one on a new connection, and the kernel has measured how long that takes.
 */
millis gateway_engine::timeOnTheWay(const caller_request &request) const
{
    const millis roundTrip = std::min(request.roundTrip.value_or(m_settings.callerRoundTrip), mostRoundTrip);
    const double ways = waysOfRequest + (request.newConnection ? waysOfConnection : 0.0);
    return roundTrip * ways + m_settings.answerMargin;
}

std::string_view toString(send_failure failure)
{
    switch (failure) {
    case send_failure::NotSent:
        return "not_sent";
    case send_failure::Broken:
        return "connection_broken";
    case send_failure::LeafEnded:
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
    constexpr double roundingSlack = 1e-9; // 0.9 of 20 must not become 19
    const double wanted = std::ceil(route->minCoverage * static_cast<double>(calls.size()) - roundingSlack);
    return std::max<std::size_t>(1, static_cast<std::size_t>(wanted));
}

gateway_engine::gateway_engine(gateway_settings settings, std::uint64_t seed)
    : m_settings(std::move(settings))
    , m_random(seed)
    , m_leafs(m_settings.removalHold)
    , m_fleetSize(fleetSizeGuess)
    , m_seed(seed)
    , m_requests(m_settings.quarantine, seed)
    , m_tags(seed)
{
}

gateway_engine::~gateway_engine() = default;

bool gateway_engine::applyConfig(gateway_config config)
{
    if (m_table && config.version <= m_table->config().version) {
        return false;
    }
    m_table = std::make_shared<const route_table>(std::move(config));
    return true;
}

exchange_id gateway_engine::arrive(const caller_request &request, millis now)
{
    const exchange_id id = m_nextId++;
    if (!m_table) {
        answerWithout(request, exchange_outcome::NoConfig, "no_config", id);
        return id;
    }
    const gateway_route *route = m_table->find(request.host, request.target);
    if (route == nullptr) {
        answerWithout(request, exchange_outcome::NoRoute, "no_route", id);
        return id;
    }
    if (m_requests.standingOf(request.key, now) == request_standing::Quarantined) {
        refuseQuarantined(request, *route, id, now);
        return id;
    }
    auto work = std::make_unique<exchange>();
    work->id = id;
    work->requestId = request.id;
    work->key = request.key;
    work->table = m_table;
    work->route = route;
    work->pace = &paceOf(*route);
    work->arrivedAt = now;
    work->ways = timeOnTheWay(request);
    const millis patience = request.patience ? patienceAfterWays(*request.patience, work->ways) : route->timeout;
    work->limit = now + std::min(patience, route->timeout);
    exchange &kept = *m_exchanges.emplace(id, std::move(work)).first->second;
    beginTrial(kept, now);
    begin(kept, now);
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
    work.sendBy = std::min(work.sendBy, now + work.route->objective * holdShare);
    shard_call &call = work.calls.emplace_back();
    call.service = pickShare(*work.route);
    budgetOf(call.service).countRequest(now);
    const choice chosen = chooseLeaf(work, call, false, now);
    if (chosen.to && maySendMore(work, now)) {
        sendCall(work, 0, chosen.to, now);
    } else if (chosen.to || chosen.full) {
        call.waiting = true; // for a connection, or for what comes of another attempt of the same request
    } else {
        noteEmptied(work, chosen);
        answerUnserved(work, chosen.reason(), false, now);
    }
}

/** For the log line of the request. */
void gateway_engine::noteEmptied(exchange &work, const choice &none)
{
    if (!none.to && none.emptied != nullptr) {
        work.emptiedZone = *none.emptied;
    }
}

void gateway_engine::beginGather(exchange &work, millis now)
{
    const millis inTime = std::max(work.route->objective - work.ways, work.route->objective * leastUseOfObjective);
    work.cutoff = now + inTime;
    addCalls(work, work.route->shards);
    bool overloaded = false;
    for (shard_call &call : work.calls) {
        const choice one = chooseLeaf(work, call, false, now);
        call.waiting = !one.to && one.full;
        call.missing = !one.to && !one.full;
        noteEmptied(work, one);
        work.missing += call.missing ? 1 : 0;
        overloaded = overloaded || (call.missing && one.overloaded);
    }
    // Known before anything ran: nobody's time is spent on an answer that can't be given.
    if (work.calls.size() - work.missing < work.neededParts()) {
        const std::string_view otherwise = work.emptiedZone.value.empty() ? "too_few_shards" : "zone_emptied";
        answerUnserved(work, overloaded ? "shards_overloaded" : otherwise, false, now);
        return;
    }
    if (work.trialWidth > 0) {
        std::ranges::for_each(work.calls, [](shard_call &call) { call.held = !call.missing; });
        sendTrials(work, now);
        return;
    }
    fanOut(work, now);
}

/** Asks for all shards for which nobody has been asked. */
void gateway_engine::fanOut(exchange &work, millis now)
{
    for (helper_group &group : planHelpers(work, now)) {
        delegateCalls(work, group.helper, std::move(group.calls), now);
    }
    sendUnsent(work, now);
}

void gateway_engine::addCalls(exchange &work, std::span<const service_name> shards)
{
    for (const service_name &shard : shards) {
        work.calls.emplace_back().service = shard;
    }
}

/** Sends what no other VM has in hand. */
void gateway_engine::sendUnsent(exchange &work, millis now)
{
    for (std::size_t at = 0; at < work.calls.size(); ++at) {
        shard_call &call = work.calls[at];
        if (!call.isUntouched() && !call.missing) {
            continue;
        }
        budgetOf(call.service).countRequest(now);
        if (call.missing || call.waiting) {
            continue;
        }
        const choice chosen = chooseLeaf(work, call, false, now);
        if (chosen.to) {
            sendCall(work, at, chosen.to, now);
        } else {
            call.waiting = true;
        }
    }
}

/**
 * Until when a leaf's answer is of use. What is left in the queues of leafs once a lookup has been answered in part is
 * work for nobody, and at a shard that gets more than it can do that was most of what its leafs did.
 */
millis gateway_engine::usefulUntil(const exchange &work, millis now)
{
    constexpr millis partGrace(20); // a part that is nearly there may still complete a lookup that is short of parts
    const bool inTime = work.route->isGather() && now < work.cutoff;
    return inTime ? std::min(work.limit, work.cutoff + partGrace) : work.limit;
}

void gateway_engine::sendCall(exchange &work, std::size_t at, const std::shared_ptr<leaf> &to, millis now)
{
    shard_call &call = work.calls[at];
    const millis hedgeAfter = work.pace->hedgeAfter();
    send one;
    one.id = m_nextId++;
    one.exchange = work.id;
    one.call = at;
    one.to = to;
    one.evidence = work.evidence;
    one.pace = work.pace;
    one.sentAt = now;
    one.idempotent = work.route->idempotent;
    constexpr millis afterDeadline(100); // a leaf's own word that time is up is still heard
    one.deadline = usefulUntil(work, now);
    one.closeAt = work.limit + afterDeadline;
    one.queue = leafQueue(*to, *work.pace, now);
    useColdTurn(*to, now);
    mixIn(*to, work.pace->typical.estimate());
    to->open.push_back({one.id, now, now + hedgeAfter});
    call.tried.push_back(to);
    call.lastAsked = to->entry.id;
    noteAsked(work, *to, now);
    call.open += 1;
    call.mayHaveRun += 1;
    call.sends += 1;
    call.waiting = false;
    const bool mayHedge = work.route->idempotent && !work.isDelegated();
    call.nextHedge = mayHedge ? now + hedgeAfter : millis::never();
    work.sends += 1;
    m_due.push({one.closeAt, due_kind::Send, one.id});
    m_actions.emplace_back(
        send_action {one.id, work.id, to, one.deadline, connectionShare(call.service), !work.route->idempotent});
    m_sends.emplace(one.id, std::move(one));
}

std::optional<gateway_engine::send> gateway_engine::endSend(send_id id)
{
    const auto found = m_sends.find(id);
    if (found == m_sends.end()) {
        return std::nullopt;
    }
    send ended = std::move(found->second);
    m_sends.erase(found);
    std::erase_if(ended.to->open, [&](const leaf::open_send &one) { return one.id == id; });
    return ended;
}

gateway_engine::exchange *gateway_engine::ownerOf(const send &ended)
{
    const auto owner = m_exchanges.find(ended.exchange);
    return owner == m_exchanges.end() ? nullptr : owner->second.get();
}

void gateway_engine::settle(exchange &work, millis now)
{
    continueTrial(work, now);
    handSecondSends(work, now);
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
    noteLeafReply(*ended->to, *ended, reply, now);
    constexpr unsigned timeIsUp = 504; // it may still have ended the leaf, with more time
    const bool survived = !reply.notRun && !reply.wrongInstance && reply.status != timeIsUp;
    exchange *owner = ownerOf(*ended);
    if (owner == nullptr) {
        noteOutcome(*ended, survived, false, now);
        return;
    }
    exchange &work = *owner;
    shard_call &call = work.calls[ended->call];
    call.open -= 1;
    const bool notRun = reply.notRun || reply.wrongInstance;
    call.mayHaveRun -= notRun ? 1 : 0;
    call.reachedLeaf = true;
    if (survived) {
        noteSurvived(work, now);
    }
    if (notRun || !reply.isSuccess()) {
        const std::string_view cause = reply.wrongInstance ? "wrong_instance" : (notRun ? "refused" : "failed");
        note(work, "send_in_vain", cause, ended->to.get(), call.service, now - ended->sentAt, now);
    }
    if (!call.done && !call.missing) {
        if (notRun) {
            // It may be asked again if nobody else is left: what it refused it has not begun.
            std::erase(call.tried, ended->to);
            retryCall(work, ended->call, reply.wrongInstance ? "wrong_instance" : "leaf_refused", now);
        } else if (work.route->isGather()) {
            takePart(work, ended->call, std::move(reply), now);
        } else {
            answerSingle(work, std::move(reply), now);
        }
    }
    retryWaiting(work, now);
    settle(work, now);
}

void gateway_engine::onSendFailed(send_id id, send_failure failure, millis now)
{
    const std::optional<send> ended = endSend(id);
    if (!ended) {
        return;
    }
    noteLeafFailure(*ended->to, failure, now);
    // One that leaves closes its connections and ends as it was told to.
    const bool leafEnded = failure == send_failure::LeafEnded && !ended->to->isLeaving();
    exchange *owner = ownerOf(*ended);
    if (owner == nullptr) {
        noteOutcome(*ended, false, leafEnded, now);
        return;
    }
    exchange &work = *owner;
    shard_call &call = work.calls[ended->call];
    call.open -= 1;
    call.mayHaveRun -= failure == send_failure::NotSent ? 1 : 0;
    call.reachedLeaf = call.reachedLeaf || failure != send_failure::NotSent;
    call.leafEnded = call.leafEnded || leafEnded;
    if (leafEnded) {
        noteEnded(work, ended->to->entry.id);
    }
    note(work, "send_in_vain", toString(failure), ended->to.get(), call.service, now - ended->sentAt, now);
    if (!call.done && !call.missing) {
        retryCall(work, ended->call, toString(failure), now);
    }
    settle(work, now);
}

void gateway_engine::takePart(exchange &work, std::size_t at, gateway_reply reply, millis now)
{
    if (!reply.isSuccess() || reply.stamp.empty()) {
        retryCall(work, at, "leaf_failed", now);
        return;
    }
    shard_call &call = work.calls[at];
    call.done = true;
    call.part = std::move(reply);
    work.done += 1;
    finishGatherIfDone(work, now);
}

void gateway_engine::answerSingle(exchange &work, gateway_reply reply, millis now)
{
    const bool served = reply.isSuccess() || reply.status < 500;
    if (served || !work.route->idempotent) {
        work.failure = std::move(reply);
        answerUnserved(work, served ? "answered" : "leaf_failed", false, now);
        return;
    }
    work.failure = std::move(reply);
    retryCall(work, 0, "leaf_failed", now);
}

void gateway_engine::finishGatherIfDone(exchange &work, millis now)
{
    if (work.ended) {
        return;
    }
    const bool allKnown = work.done + work.missing == work.calls.size();
    if (work.isDelegated()) {
        if (allKnown || work.pendingTold || now >= work.cutoff) {
            tellProgress(work, allKnown, now);
        }
        return;
    }
    const bool enough = work.done >= work.neededParts();
    if (enough && (allKnown || now >= work.cutoff)) {
        answerMerged(work, allKnown ? (work.missing == 0 ? "whole" : "shards_missing") : "time", now);
    }
}

void gateway_engine::advanceExchange(exchange &work, millis now)
{
    if (now >= work.limit) {
        answerUnserved(work, "time", true, now);
        return;
    }
    if (work.isDelegated() && (now >= work.cutoff || (!work.pendingTold && now >= work.speakBy))) {
        tellProgress(work, false, now);
    }
    retryWaiting(work, now);
    if (!work.ended && work.sends == 0 && now >= work.sendBy) {
        answerUnserved(work, maySendMore(work, now) ? "leafs_full" : "on_trial", false, now);
    }
    if (!work.ended && work.route->isGather()) {
        finishGatherIfDone(work, now);
    }
    if (!work.ended) {
        hedgeDue(work, now);
    }
}

void gateway_engine::advance(millis now)
{
    m_leafs.expire(now);
    m_requests.expire(now);
    while (!m_due.empty() && m_due.top().at <= now) {
        const due next = m_due.top();
        m_due.pop();
        advanceDue(next, now);
    }
}

void gateway_engine::advanceDue(const due &next, millis now)
{
    if (next.kind == due_kind::Send) {
        const auto late = m_sends.find(next.id);
        if (late != m_sends.end() && late->second.closeAt <= now) {
            m_actions.emplace_back(cancel_action {next.id});
            onSendFailed(next.id, send_failure::TimedOut, now);
        }
        return;
    }
    if (next.kind == due_kind::Delegation) {
        onWordDue(next.id, now);
        return;
    }
    const auto found = m_exchanges.find(next.id);
    if (found == m_exchanges.end() || found->second->scheduled != next.at) {
        return; // it was scheduled anew for another time
    }
    exchange &work = *found->second;
    work.scheduled = millis::never();
    advanceExchange(work, now);
    settle(work, now);
}

void gateway_engine::schedule(exchange &work, millis now)
{
    if (work.ended) {
        return;
    }
    constexpr millis waitingLook(5); // how often a request without a free connection looks for one
    millis next = work.limit;
    if (work.cutoff > now) {
        next = std::min(next, work.cutoff);
    }
    if (!work.pendingTold && work.speakBy > now) {
        next = std::min(next, work.speakBy);
    }
    for (const shard_call &call : work.calls) {
        if (call.done || call.missing || call.held) {
            continue;
        }
        next = std::min(next, call.waiting ? now + waitingLook : call.nextHedge);
    }
    if (work.trialWidth > 0) {
        next = std::min(next, now + waitingLook);
    }
    // An earlier time that is still to come does: looking once too often is cheaper than a heap full of old times.
    if (work.scheduled > now && work.scheduled <= next) {
        return;
    }
    work.scheduled = next;
    m_due.push({next, due_kind::Exchange, work.id});
}

millis gateway_engine::nextDue() const
{
    return m_due.empty() ? millis::never() : m_due.top().at;
}

std::vector<gateway_action> gateway_engine::takeActions()
{
    return std::exchange(m_actions, {});
}

void gateway_engine::erase(exchange_id id)
{
    exchange &ended = *m_exchanges.at(id);
    dropDelegations(ended, false);
    endTrial(ended);
    tellAsked(ended);
    m_exchanges.erase(id);
}

} // namespace chivelock
