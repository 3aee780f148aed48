#include "exchange.h"

#include <algorithm>

namespace chivelock {

namespace {

constexpr millis maxRetryAfter(500); // without a leaf: updates from the store about new leafs arrive within a second

/** @return whether this system uses the status to state that a request has not run and will not run. */
bool promisesNotRun(unsigned status)
{
    constexpr unsigned timeoutBeforeRead = 408;
    constexpr unsigned misdirected = 421;
    constexpr unsigned tooMany = 429;
    constexpr unsigned unavailable = 503;
    return status == timeoutBeforeRead || status == misdirected || status == tooMany || status == unavailable;
}

} // namespace

void gateway_engine::answerMerged(exchange &work, std::string_view cause, millis now)
{
    std::vector<std::string_view> parts(work.mergedRecords.begin(), work.mergedRecords.end());
    answer_action merged;
    for (const shard_call &call : work.calls) {
        if (call.done) {
            parts.emplace_back(call.part.body); // empty if another VM merged its records with others
            merged.stamps.push_back(call.part.stamp);
        }
    }
    merged.body = mergeRecords(parts, work.route->topRecords);
    m_actions.emplace_back(std::move(merged));
    answer(work, exchange_outcome::Merged, cause, now);
}

void gateway_engine::answerUnserved(exchange &work, std::string_view cause, bool timedOut, millis now)
{
    if (work.isDelegated()) {
        reportProgress(work, true, now);
        return;
    }
    submitEvidence(work, now);
    answer_action result;
    result.timedOut = timedOut;
    exchange_outcome outcome = work.mayHaveRun() ? exchange_outcome::Failed : exchange_outcome::Refused;
    // A leaf's status that this system uses for "not run" must not be forwarded for a request that may have run.
    if (work.failure && !timedOut && !promisesNotRun(work.failure->status)) {
        result.reply = std::move(*work.failure);
        outcome = exchange_outcome::Relayed;
    }
    millis soonest = millis::never();
    for (const shard_call &call : work.calls) {
        if (call.done) {
            continue;
        }
        for (const std::shared_ptr<leaf> &one : m_leafs.of(call.service)) {
            // Operators undrain zones after minutes, and change regions rarely: such leafs do not shorten the retry
            // time.
            if (m_zones.isDrained(one->entry.zone) || !m_regions.allows(work.route->homeRegions, one->entry.zone)) {
                continue;
            }
            soonest = std::min(soonest, std::max(one->downUntil - now, millis()));
        }
    }
    const bool awaitsLeafs = cause == lastLeafsKept; // whose number grows once crashed ones are back
    const bool awaitsNothing = cause == stoppingCause; // other VMs can serve it now
    const millis usual = awaitsLeafs ? maxRetryAfter : std::clamp(soonest, minRetryAfter, maxRetryAfter);
    const millis earliest = awaitsNothing ? minRetryAfter : usual;
    result.retryAfter =
        std::max(retryAfterOf(work, outcome, cause, earliest, now), m_requests.quarantineRemaining(work.key, now));
    m_actions.emplace_back(std::move(result));
    answer(work, outcome, cause, now);
}

/** Fills in the common fields of the answer action that was added last. */
void gateway_engine::answer(exchange &work, exchange_outcome outcome, std::string_view cause, millis now)
{
    auto &result = std::get<answer_action>(m_actions.back());
    result.exchange = work.id;
    result.outcome = outcome;
    result.cause = cause;
    result.requestId = work.requestId;
    result.key = work.key;
    result.route = work.route->name;
    result.version = work.table->config().version;
    result.shards = work.route->isGather() ? work.calls.size() : 0;
    result.missing = work.route->isGather() ? work.calls.size() - work.done : 0;
    result.drainedZone = work.drainedZone;
    result.sends = work.sends;
    result.hedges = work.hedges;
    result.retries = work.retries;
    result.delegatedSecondSends = work.delegatedSecondSends;
    result.placed = work.placed;
    result.elapsed = now - work.arrivedAt;
    result.networkTime = work.networkTime;
    work.ended = true;
    if (outcome == exchange_outcome::Merged) {
        recordLateParts(work, now);
    }
    recordCompleted(work, outcome, now);
}

void gateway_engine::answerWithoutExchange(const caller_request &request,
                                           exchange_outcome outcome,
                                           std::string_view cause,
                                           exchange_id id)
{
    answer_action result;
    result.exchange = id;
    result.outcome = outcome;
    result.cause = cause;
    result.retryAfter = maxRetryAfter;
    result.requestId = request.id;
    result.key = request.key;
    result.version = m_table ? m_table->config().version : 0;
    m_actions.emplace_back(std::move(result));
}

void gateway_engine::logEvent(const exchange &work,
                              std::string_view event,
                              std::string_view cause,
                              const leaf *about,
                              const service_name &service,
                              millis input,
                              millis now)
{
    m_actions.emplace_back(log_event_action {work.requestId,
                                             work.key,
                                             event,
                                             cause,
                                             about == nullptr ? std::string() : about->entry.id,
                                             service.value,
                                             now - work.arrivedAt,
                                             input});
}

void gateway_engine::recordAskedLeaf(exchange &work, const leaf &asked, millis now)
{
    const std::optional<millis> since = asked.leavingSince();
    const std::optional<millis> leavingFor = since ? std::optional(now - *since) : std::nullopt;
    if (work.asked.leafs.size() < asked_leafs_action::maxLoggedLeafs) {
        work.asked.leafs.push_back({asked.entry.id, now - work.arrivedAt, leavingFor});
    } else {
        work.asked.more += 1;
    }
    if (leavingFor) {
        logEvent(work, "leaving_leaf_asked", asked.stateName(), &asked, asked.entry.service, *leavingFor, now);
    }
}

void gateway_engine::logAskedLeafs(exchange &work)
{
    if (work.asked.leafs.empty()) {
        return;
    }
    work.asked.requestId = work.requestId;
    work.asked.key = work.key;
    m_actions.emplace_back(std::move(work.asked));
}

void gateway_engine::logUnanswered(millis now)
{
    for (const auto &[id, work] : m_exchanges) {
        const auto underWay = std::ranges::find_if(
            work->calls, [](const shard_call &call) { return call.open > 0 || call.openDelegations > 0; });
        const bool isUnderWay = underWay != work->calls.end();
        const bool isAtLeaf = isUnderWay && underWay->open > 0;
        const std::string_view cause = isAtLeaf ? "at_leaf" : (isUnderWay ? "delegated" : "waiting");
        const std::shared_ptr<leaf> asked = isAtLeaf ? m_leafs.find(underWay->lastAsked) : nullptr;
        const service_name service = isUnderWay ? underWay->service : service_name();
        logEvent(*work, "request_unanswered", cause, asked.get(), service, work->limit - now, now);
        logAskedLeafs(*work);
    }
}

void gateway_engine::erase(exchange_id id)
{
    exchange &ended = *m_exchanges.at(id);
    cancelDelegations(ended, false);
    endCanary(ended);
    logAskedLeafs(ended);
    withdrawWaiting(ended);
    m_overload.accounts().end(ended.account);
    m_exchanges.erase(id);
}

void gateway_engine::onCallerLeft(exchange_id id, millis now)
{
    const auto found = m_exchanges.find(id);
    if (found == m_exchanges.end()) {
        return;
    }
    // Most leafs answer within this time, and the connection is then kept and no new one is needed. Longer work for the
    // departed caller is cancelled, well within the half second after which such work counts as waste.
    constexpr millis cancelAfter(200);
    for (auto &[sendId, one] : m_sends) {
        if (one.exchange != id) {
            continue;
        }
        one.exchange = 0;
        if (one.idempotent) {
            one.closeAt = std::min(one.closeAt, now + cancelAfter);
            m_due.push({one.closeAt, due_kind::Send, sendId});
        }
    }
    submitEvidence(*found->second, now);
    endCanary(*found->second);
    cancelDelegations(*found->second, true);
    logEvent(*found->second, "caller_left", "closed", nullptr, {}, now - found->second->arrivedAt, now);
    logAskedLeafs(*found->second);
    withdrawWaiting(*found->second);
    m_overload.accounts().end(found->second->account);
    m_exchanges.erase(found);
}

void gateway_engine::onProcessPause(millis gap)
{
    for (auto &[id, one] : m_sends) {
        one.expectedBy = one.expectedBy + gap;
        for (leaf::open_send &open : one.to->open) {
            if (open.id == id) {
                open.expectedBy = open.expectedBy + gap;
            }
        }
    }
}

} // namespace chivelock
