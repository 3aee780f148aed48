/**
 * @file
 * Requests that may end the leafs that run them: one leaf is asked before many, what comes of it is kept, and who is
 * known for it is refused.
 */

#include "exchange.h"

#include <algorithm>
#include <limits>

namespace chivelock {

namespace {

/**
 * Leafs that end under one attempt, none having survived it, before it goes on no further by itself. A lookup has other
 * shards that are about to tell, so that one that is harmless waits some milliseconds for the second leaf, while one
 * that ends leafs does not take both leafs of a shard.
 */
constexpr std::size_t mostEndedOfLookup = 1;
constexpr std::size_t mostEndedOfOne = 3; // and of a lookup that leafs answered before

/** Leafs asked first for a request that leafs ended under before. */
constexpr std::size_t suspectWidth = 1;
constexpr double waitForTrialShare = 0.5; // of the objective: longest wait for what comes of another attempt's trial

/**
 * Leafs asked first for a lookup of a route under whose lookups leafs ended of late. The second one only when the first
 * has been silent for a third of the objective: a few leafs are always in a short pause, and the lookup is still in
 * time then. Asked at once, each new request that ends leafs would end two with its first attempt.
 */
constexpr std::size_t guardedWidth = 2;
constexpr double secondTrialShare = 0.35;

} // namespace

/**
 * Without this a request under which leafs end would go to one leaf of each shard, at every attempt and at every VM,
 * and all leafs would end as soon as they are back.
 */
void gateway_engine::beginTrial(exchange &work, millis now)
{
    work.evidence = std::make_shared<attempt_evidence>();
    work.evidence->key = work.key;
    work.evidence->route = digestOfRoute(work.route->name);
    work.evidence->attempt = static_cast<attempt_tag>(m_tags.below(std::numeric_limits<attempt_tag>::max()));
    if (m_requests.standingOf(work.key, now) == request_standing::Suspect) {
        work.trialWidth = suspectWidth;
        work.evidence->alone = true;
        work.sendBy = now + work.route->objective * waitForTrialShare;
        m_trials.try_emplace(work.key, work.id);
    } else if (work.route->isGather() && m_requests.isGuarded(work.evidence->route, now)
               && !m_requests.wasAnswered(work.key, now)) {
        work.trialWidth = guardedWidth; // one that was answered ends no leafs, whoever else does
    }
}

/** Of the attempts of one suspect request that are here at a time, one asks and the others wait for what comes of it.
 */
bool gateway_engine::isTester(const exchange &work) const
{
    const auto found = m_trials.find(work.key);
    return found != m_trials.end() && found->second == work.id;
}

void gateway_engine::endTrial(const exchange &work)
{
    if (isTester(work)) {
        m_trials.erase(work.key);
    }
}

/** Whether one more leaf may be asked, as far as the request's own doing is concerned. */
bool gateway_engine::maySendMore(const exchange &work, millis now) const
{
    if (work.isDelegated() || work.evidence->survived) {
        return true; // the VM that hands work out decides what is sent
    }
    const request_standing standing = m_requests.standingOf(work.key, now);
    if (standing == request_standing::Quarantined) {
        return false;
    }
    if (work.trialWidth == 0) {
        const bool mayBeTheCause = work.route->isGather() && !m_requests.wasAnswered(work.key, now);
        return work.evidence->ended.size() < (mayBeTheCause ? mostEndedOfLookup : mostEndedOfOne);
    }
    const bool mayTest = standing == request_standing::Clear || isTester(work);
    std::size_t asked = work.evidence->ended.size();
    std::ranges::for_each(work.calls, [&](const shard_call &call) { asked += call.open + call.handed; });
    const bool early = now - work.arrivedAt < work.route->objective * secondTrialShare;
    return mayTest && asked < (early ? 1 : work.trialWidth);
}

/**
 * A lookup of which not one shard has answered when the slowest should have is no case of a leaf that pauses. Either
 * all leafs that were asked are out of reach, as when their zone is, or the request keeps them at work until they end:
 * one second leaf finds out which, and one more each time that takes as long as few answers do. Of a trial the next
 * leaf is one of another shard. A helper that says nothing tells nothing of leafs.
 */
bool gateway_engine::mayHedge(const exchange &work, const shard_call &call, millis now) const
{
    if (work.trialWidth > 0 || !maySendMore(work, now)) {
        return false;
    }
    constexpr std::size_t fewShards = 2; // of which both may pause
    const bool noneAnswers = work.route->isGather() && work.calls.size() > fewShards && !work.evidence->survived;
    const double probes = (now - work.arrivedAt).count() / work.pace->hedgeAfter().count();
    return !noneAnswers || call.helperLate || work.hedges < probes;
}

/**
 * Whether another leaf of the shard can do its work if the one that is asked ends. One that was refused a connection is
 * believed back by an answer only.
 */
bool gateway_engine::hasSpareLeaf(const service_name &shard, millis now) const
{
    constexpr std::ptrdiff_t withSpare = 2;
    return std::ranges::count_if(m_leafs.of(shard),
                                 [&](const std::shared_ptr<leaf> &one) {
                                     return mayAsk(*one, now) && one->failuresInRow == 0 && !one->isLeaving();
                                 })
        >= withSpare;
}

/** Asks leafs for a request under which they may end: those of shards that have another one, and that cost least. */
void gateway_engine::sendTrials(exchange &work, millis now)
{
    while (maySendMore(work, now)) {
        choice best;
        bool bestIsSpare = false;
        bool full = false;
        std::size_t bestCall = 0;
        for (std::size_t at = 0; at < work.calls.size(); ++at) {
            const shard_call &call = work.calls[at];
            if (!call.held || !call.isUntouched()) {
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
        // The only leaf of a shard is risked for the first trial alone, without which nobody would be answered.
        if (!best.to || (!bestIsSpare && work.isUnderWay())) {
            return;
        }
        work.calls[bestCall].held = false;
        budgetOf(work.calls[bestCall].service).countRequest(now);
        sendCall(work, bestCall, best.to, now);
    }
}

/** The call goes on when a leaf has survived the request; if no leaf is at work on it any more, none will. */
void gateway_engine::holdCall(exchange &work, std::size_t at, millis now)
{
    shard_call &call = work.calls[at];
    call.held = true;
    call.waiting = false;
    call.nextHedge = millis::never();
    note(work, "shard_held", "leafs_ended", nullptr, call.service, now - work.arrivedAt, now);
}

/** What is due after each event of a request that is not known to be harmless. */
void gateway_engine::continueTrial(exchange &work, millis now)
{
    if (work.ended || work.isDelegated()) {
        return;
    }
    const request_standing standing = m_requests.standingOf(work.key, now);
    const bool clearedElsewhere = work.trialWidth == suspectWidth && standing == request_standing::Clear;
    if (work.evidence->survived || clearedElsewhere) {
        releaseHeld(work, now);
        return;
    }
    if (work.trialWidth == suspectWidth && standing == request_standing::Suspect) {
        m_trials.try_emplace(work.key, work.id); // whoever asked for all has ended
    }
    if (work.trialWidth > 0 && work.route->isGather()) {
        sendTrials(work, now);
    }
    const bool quarantined = standing == request_standing::Quarantined;
    const bool stuck = !maySendMore(work, now) && (quarantined || !work.evidence->ended.empty());
    if (!work.ended && stuck && !work.isUnderWay()) {
        answerUnserved(work, quarantined ? "quarantined" : "leafs_ended", false, now);
    }
}

void gateway_engine::releaseHeld(exchange &work, millis now)
{
    work.trialWidth = 0;
    work.evidence->alone = false;
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
        const bool wasAsked = !call.done && !call.missing && !call.waiting && call.open == 0 && call.handed == 0;
        if (wasAsked && !work.ended) {
            retryCall(work, at, "leaf_ended", now);
        }
    }
}

/** A leaf ran the request to its end: it ends no leafs. What was held back goes out with the end of this step. */
void gateway_engine::noteSurvived(exchange &work, millis now)
{
    if (work.evidence->survived) {
        return;
    }
    work.evidence->survived = true;
    const bool hedgesWaited = now - work.arrivedAt >= work.pace->hedgeAfter();
    for (shard_call &call : work.calls) {
        const bool isSilent = call.nextHedge < millis::never();
        call.nextHedge = hedgesWaited && isSilent ? std::min(call.nextHedge, now) : call.nextHedge;
    }
    if (m_requests.addAnswer(work.key, now)) {
        tellVerdict(work.id, work.key, now);
    }
}

void gateway_engine::noteEnded(exchange &work, std::string_view leafId)
{
    work.evidence->ended.insert(digestOf(leafId));
}

/** Of a send whose attempt has had its answer. */
void gateway_engine::noteOutcome(const send &ended, bool survived, bool leafEnded, millis now)
{
    if (ended.evidence->survived) {
        return;
    }
    attempt_evidence &evidence = *ended.evidence;
    evidence.survived = survived;
    if (survived && m_requests.addAnswer(evidence.key, now)) {
        tellVerdict(0, evidence.key, now);
    }
    if (leafEnded && evidence.key.isKnown()) {
        const leaf_digest leaf = digestOf(ended.to->entry.id);
        m_requests.addEnds(evidence.key, evidence.route, evidence.attempt, {&leaf, 1}, evidence.alone, now);
        tellVerdict(0, evidence.key, now);
    }
}

/** The attempt is over: what it shows counts from now on. */
void gateway_engine::settleEvidence(exchange &work, millis now)
{
    if (work.evidence->survived || !work.key.isKnown()) {
        return;
    }
    std::vector<leaf_digest> ended(work.evidence->ended.begin(), work.evidence->ended.end());
    if (ended.empty() && work.trialWidth == suspectWidth && work.mayHaveRun()) {
        ended.push_back(noLeaf);
    }
    if (ended.empty()) {
        return;
    }
    m_requests.addEnds(work.key, work.evidence->route, work.evidence->attempt, ended, work.evidence->alone, now);
    tellVerdict(work.id, work.key, now);
}

void gateway_engine::tellVerdict(exchange_id attempt, const request_fingerprint &key, millis now)
{
    verdict_action verdict;
    verdict.exchange = attempt;
    verdict.key = key;
    verdict.standing = m_requests.standingOf(key, now);
    verdict.heldFor = m_requests.heldFor(key, now);
    if (const request_evidence *known = m_requests.find(key)) {
        verdict.leafs = endedLeafs(*known);
        verdict.attempts = triesInVain(*known);
    }
    m_actions.emplace_back(verdict);
}

/**
 * Not run and told when to come back, in place of a client error that would say that the request itself is wrong: that
 * leafs end under it is the leafs' fault.
 */
void gateway_engine::refuseQuarantined(const caller_request &request,
                                       const gateway_route &route,
                                       exchange_id id,
                                       millis now)
{
    answerWithout(request, exchange_outcome::Refused, "quarantined", id);
    auto &refusal = std::get<answer_action>(m_actions.back());
    refusal.route = route.name;
    refusal.retryAfter = m_requests.heldFor(request.key, now);
}

std::vector<request_evidence> gateway_engine::takeRequestNews()
{
    return m_requests.takeNews();
}

std::vector<request_evidence> gateway_engine::onRequestNews(std::span<const request_evidence> news, millis now)
{
    return m_requests.join(news, now);
}

} // namespace chivelock
