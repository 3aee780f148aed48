/**
 * @file
 * Queries of death, requests that may crash the leafs that run them: a canary request goes to one leaf before many, its
 * outcome is kept as evidence, and quarantined requests are refused.
 */

#include "exchange.h"

#include <algorithm>
#include <limits>

namespace chivelock {

namespace {

/**
 * Leafs that may crash in one attempt that no leaf has survived, before it sends no more by itself. Other shards of a
 * lookup are about to answer, so a harmless lookup waits only some milliseconds for the second leaf, while a query of
 * death does not crash both leafs of a shard.
 */
constexpr std::size_t maxCrashesOfLookup = 1;
constexpr std::size_t maxCrashesOtherwise = 3; // of a request to one leaf, and of a lookup that leafs answered before

/** Canary requests of a suspect request, under which leafs crashed before. */
constexpr std::size_t suspectCanaryLimit = 1;
constexpr double canaryWaitShare = 0.5; // of the objective: the longest wait for the canary of another attempt

/**
 * Canary requests of a lookup whose route requires a canary because leafs crashed recently under its lookups. The
 * second one is sent only after the first has been unanswered for a third of the objective: a few leafs are always in a
 * short pause, and the lookup is still in time then. If both were sent immediately, the first attempt of each new query
 * of death would crash two leafs.
 */
constexpr std::size_t guardedCanaryLimit = 2;
constexpr double secondCanaryShare = 0.35;

} // namespace

/**
 * Decides whether the request requires a canary. Otherwise a query of death would go to one leaf of each shard, at
 * every attempt and from every VM, and would crash all leafs as soon as they have restarted.
 */
void gateway_engine::beginCanary(exchange &work, millis now)
{
    work.evidence = std::make_shared<attempt_evidence>();
    work.evidence->key = work.key;
    work.evidence->route = digestOfRoute(work.route->name);
    work.evidence->attempt = static_cast<attempt_tag>(m_attemptTags.below(std::numeric_limits<attempt_tag>::max()));
    if (m_requests.quarantineStateOf(work.key, now) == quarantine_state::Suspect) {
        work.canaryLimit = suspectCanaryLimit;
        work.evidence->singleLeaf = true;
        work.sendBy = now + work.route->objective * canaryWaitShare;
        m_canaries.try_emplace(work.key, work.id);
    } else if (work.route->isGather() && m_requests.requiresCanary(work.evidence->route, now)
               && !m_requests.wasAnsweredRecently(work.key, now)) {
        work.canaryLimit = guardedCanaryLimit; // not for an answered request: it crashes no leafs, though others may
    }
}

/** Of the concurrent attempts of one suspect request at this VM, one sends the canary and the others wait for its
 *  outcome. */
bool gateway_engine::isCanaryAttempt(const exchange &work) const
{
    const auto found = m_canaries.find(work.key);
    return found != m_canaries.end() && found->second == work.id;
}

void gateway_engine::endCanary(const exchange &work)
{
    if (isCanaryAttempt(work)) {
        m_canaries.erase(work.key);
    }
}

/** @return whether the request may be sent to one more leaf, given its quarantine state and the crashes under it. */
bool gateway_engine::maySendMore(const exchange &work, millis now) const
{
    if (work.isDelegated() || work.evidence->survived) {
        return true; // for delegated work the delegating VM decides what is sent
    }
    const quarantine_state state = m_requests.quarantineStateOf(work.key, now);
    if (state == quarantine_state::Quarantined) {
        return false;
    }
    if (work.canaryLimit == 0) {
        const bool mayBeTheCause = work.route->isGather() && !m_requests.wasAnsweredRecently(work.key, now);
        return work.evidence->crashedLeafs.size() < (mayBeTheCause ? maxCrashesOfLookup : maxCrashesOtherwise);
    }
    const bool mayRunCanary = state == quarantine_state::Clear || isCanaryAttempt(work);
    std::size_t asked = work.evidence->crashedLeafs.size();
    std::ranges::for_each(work.calls, [&](const shard_call &call) { asked += call.open + call.openDelegations; });
    const bool early = now - work.begunAt < work.route->objective * secondCanaryShare;
    return mayRunCanary && asked < (early ? 1 : work.canaryLimit);
}

/**
 * If no shard of a lookup has answered by the time at which even the slowest should have, the cause is not a paused
 * leaf. Either all leafs that were asked are unreachable, for example because their zone is, or the request keeps them
 * busy until they crash. One hedge finds out which, and one more is allowed each time the hedge delay passes again.
 * Requests that require a canary are not hedged: their next canary goes to another shard. An unresponsive helper is no
 * evidence about leafs, so its shards are exempt from this limit.
 */
bool gateway_engine::mayHedge(const exchange &work, const shard_call &call, millis now) const
{
    if (work.canaryLimit > 0 || !maySendMore(work, now)) {
        return false;
    }
    constexpr std::size_t fewShards = 2; // so few that all of their leafs may be paused
    const bool noShardAnswered = work.route->isGather() && work.calls.size() > fewShards && !work.evidence->survived;
    const double allowedHedges = (now - work.begunAt).count() / work.latency->hedgeDelay().count();
    return !noShardAnswered || call.helperLate || work.hedges < allowedHedges;
}

/**
 * @return how many leafs of the shard can be expected to answer. A leaf that refused a connection counts as available
 * again only after it has answered, whichever VM it refused.
 */
std::size_t gateway_engine::countLivingLeafs(const service_name &shard, millis now) const
{
    constexpr millis reportLifetime(4000); // the entry of a leaf that has ended has expired by then
    const auto isUnreachable = [&](const leaf &one) {
        const bool reported =
            one.peerSawUnreachableAt > one.lastReplyAt && now < one.peerSawUnreachableAt + reportLifetime;
        return one.consecutiveFailures > 0 || reported;
    };
    return static_cast<std::size_t>(std::ranges::count_if(m_leafs.of(shard), [&](const std::shared_ptr<leaf> &one) {
        return mayAsk(*one, now) && !isUnreachable(*one) && !one->isLeaving();
    }));
}

/** @return whether another leaf of the shard can take over if the asked one crashes. */
bool gateway_engine::hasSpareLeaf(const service_name &shard, millis now) const
{
    constexpr std::size_t withSpare = 2;
    return countLivingLeafs(shard, now) >= withSpare;
}

/**
 * @return whether the request may be sent to the last leaf of a shard. Without any canary it can't be answered; but if
 * it crashes that leaf and the route then lacks shards, the lookups of all callers are refused until leafs are back. So
 * a request under which a leaf has crashed may not take a shard that is still needed, nor may any other while several
 * requests crash leafs, one after the other: the next one is likely to do so, too.
 */
bool gateway_engine::mayRiskLastLeaf(const exchange &work, millis now) const
{
    constexpr std::size_t inSeries = 2;
    const auto living = std::ranges::count_if(
        work.calls, [&](const shard_call &call) { return countLivingLeafs(call.service, now) > 0; });
    if (static_cast<std::size_t>(living) != work.neededParts()) {
        return true; // one more can be missing, or too many already are
    }
    const bool mayBeTheCause = !work.evidence->crashedLeafs.empty()
        || m_requests.quarantineStateOf(work.key, now) == quarantine_state::Suspect;
    return !mayBeTheCause && m_requests.countCrashingRequests(work.evidence->route, now) < inSeries;
}

/** Sends canary requests to the leafs with the lowest cost, preferring shards that have a spare leaf. */
void gateway_engine::sendCanaries(exchange &work, millis now)
{
    while (maySendMore(work, now)) {
        choice best;
        bool bestIsSpare = false;
        bool full = false;
        std::size_t bestCall = 0;
        for (std::size_t at = 0; at < work.calls.size(); ++at) {
            const shard_call &call = work.calls[at];
            if (!call.held || !call.isUnassigned()) {
                continue;
            }
            choice one = chooseLeaf(work, call, false, now);
            full = full || one.full;
            const bool isSpare = one.to && hasSpareLeaf(call.service, now);
            if (one.to && (!best.to || std::pair(!isSpare, one.cost) < std::pair(!bestIsSpare, best.cost))) {
                best = std::move(one);
                bestIsSpare = isSpare;
                bestCall = at;
            }
        }
        if (!best.to && !full && !work.isUnderWay()) {
            answerUnserved(work, best.reason(), false, now);
        }
        if (!best.to) {
            return;
        }
        // A shard's only leaf is risked for the first canary alone: without any canary the request can't be answered.
        if (!bestIsSpare && (work.isUnderWay() || !mayRiskLastLeaf(work, now))) {
            if (!work.isUnderWay()) {
                answerUnserved(work, lastLeafsKept, false, now);
            }
            return;
        }
        work.calls[bestCall].held = false;
        budgetOf(work.calls[bestCall].service).countRequest(now);
        sendCall(work, bestCall, best.to, now);
    }
}

/** Holds the call back until a leaf has survived the request. If no leaf is running it any more, none will survive. */
void gateway_engine::holdCall(exchange &work, std::size_t at, millis now)
{
    shard_call &call = work.calls[at];
    call.held = true;
    call.waiting = false;
    call.nextHedge = millis::never();
    logEvent(work, "shard_held", "leafs_ended", nullptr, call.service, now - work.arrivedAt, now);
}

/** Performs the next step, after each event, of a request that is not known to be harmless. */
void gateway_engine::continueCanary(exchange &work, millis now)
{
    if (work.ended || work.isDelegated()) {
        return;
    }
    const quarantine_state state = m_requests.quarantineStateOf(work.key, now);
    const bool clearedElsewhere = work.canaryLimit == suspectCanaryLimit && state == quarantine_state::Clear;
    if (work.evidence->survived || clearedElsewhere) {
        releaseHeld(work, now);
        return;
    }
    if (work.canaryLimit == suspectCanaryLimit && state == quarantine_state::Suspect) {
        m_canaries.try_emplace(work.key, work.id); // takes over if the previous canary attempt has ended
    }
    if (work.canaryLimit > 0 && work.route->isGather()) {
        sendCanaries(work, now);
    }
    const bool quarantined = state == quarantine_state::Quarantined;
    const bool stuck = !maySendMore(work, now) && (quarantined || !work.evidence->crashedLeafs.empty());
    if (!work.ended && stuck && !work.isUnderWay()) {
        answerUnserved(work, quarantined ? "quarantined" : "leafs_ended", false, now);
    }
}

void gateway_engine::releaseHeld(exchange &work, millis now)
{
    work.canaryLimit = 0;
    work.evidence->singleLeaf = false;
    std::vector<std::size_t> released;
    for (std::size_t at = 0; at < work.calls.size(); ++at) {
        if (std::exchange(work.calls[at].held, false)) {
            released.push_back(at);
        }
    }
    if (released.empty()) {
        return;
    }
    fanOut(work, now);
    for (const std::size_t at : released) {
        const shard_call &call = work.calls[at];
        const bool wasAsked =
            !call.done && !call.missing && !call.waiting && call.open == 0 && call.openDelegations == 0;
        if (wasAsked && !work.ended) {
            retryCall(work, at, "leaf_ended", now);
        }
    }
}

/** A leaf ran the request to completion, so it is no query of death. Held calls are sent at the end of this step. */
void gateway_engine::recordSurvived(exchange &work, millis now)
{
    if (work.evidence->survived) {
        return;
    }
    work.evidence->survived = true;
    const bool hedgesWaited = now - work.begunAt >= work.latency->hedgeDelay();
    for (shard_call &call : work.calls) {
        const bool hedgePending = call.nextHedge < millis::never();
        call.nextHedge = hedgesWaited && hedgePending ? std::min(call.nextHedge, now) : call.nextHedge;
    }
    if (m_requests.recordAnswer(work.key, now)) {
        logQuarantineState(work.id, work.key, now);
    }
}

void gateway_engine::recordLeafCrash(exchange &work, std::string_view leafId)
{
    work.evidence->crashedLeafs.insert(digestOf(leafId));
}

/** Records the outcome of a send whose attempt was answered before. */
void gateway_engine::recordLateOutcome(const send &ended, bool survived, bool leafCrashed, millis now)
{
    if (ended.evidence->survived) {
        return;
    }
    attempt_evidence &evidence = *ended.evidence;
    evidence.survived = survived;
    if (survived && m_requests.recordAnswer(evidence.key, now)) {
        logQuarantineState(0, evidence.key, now);
    }
    if (leafCrashed && evidence.key.isKnown()) {
        const leaf_digest leaf = digestOf(ended.to->entry.id);
        m_requests.recordCrashes(evidence.key, evidence.route, evidence.attempt, {&leaf, 1}, evidence.singleLeaf, now);
        logQuarantineState(0, evidence.key, now);
    }
}

/** Adds the evidence of an attempt that has ended to the ledger. */
void gateway_engine::submitEvidence(exchange &work, millis now)
{
    if (work.evidence->survived || !work.key.isKnown()) {
        return;
    }
    std::vector<leaf_digest> ended(work.evidence->crashedLeafs.begin(), work.evidence->crashedLeafs.end());
    if (ended.empty() && work.canaryLimit == suspectCanaryLimit && work.mayHaveRun()) {
        ended.push_back(noLeaf);
    }
    if (ended.empty()) {
        return;
    }
    m_requests.recordCrashes(
        work.key, work.evidence->route, work.evidence->attempt, ended, work.evidence->singleLeaf, now);
    logQuarantineState(work.id, work.key, now);
}

void gateway_engine::logQuarantineState(exchange_id attempt, const request_fingerprint &key, millis now)
{
    quarantine_update_action verdict;
    verdict.exchange = attempt;
    verdict.key = key;
    verdict.state = m_requests.quarantineStateOf(key, now);
    verdict.quarantineRemaining = m_requests.quarantineRemaining(key, now);
    if (const request_evidence *known = m_requests.find(key)) {
        verdict.leafs = crashedLeafs(*known);
        verdict.attempts = failedAttempts(*known);
    }
    m_actions.emplace_back(verdict);
}

/**
 * Refuses the request as not run, with a Retry-After time. A client error would state that the request itself is wrong,
 * but leafs that crash under it are at fault themselves.
 */
void gateway_engine::refuseQuarantined(const caller_request &request,
                                       const gateway_route &route,
                                       exchange_id id,
                                       millis now)
{
    answerWithoutExchange(request, exchange_outcome::Refused, "quarantined", id);
    auto &refusal = std::get<answer_action>(m_actions.back());
    refusal.route = route.name;
    refusal.retryAfter = m_requests.quarantineRemaining(request.key, now);
}

std::vector<request_evidence> gateway_engine::takeRequestEvidence()
{
    return m_requests.takeUpdates();
}

std::vector<request_evidence> gateway_engine::onRequestEvidence(std::span<const request_evidence> evidence, millis now)
{
    return m_requests.join(evidence, now);
}

} // namespace chivelock
