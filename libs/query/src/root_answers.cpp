#include <query/query.h>

#include <algorithm>

namespace chivelock {

namespace {

/** The Retry-After time of an answer for which no runner gave one. */
millis defaultRetryAfter(answer_reason reason)
{
    constexpr millis afterTimeout {250};
    constexpr millis afterFailure {1000};
    return reason == answer_reason::Expired || reason == answer_reason::Overloaded ? afterTimeout : afterFailure;
}

} // namespace

lookup_answer root_engine::makeRefusal(const lookup_request &request, answer_reason reason) const
{
    return makeRefusal(request, reason, defaultRetryAfter(reason));
}

lookup_answer root_engine::makeRefusal(const lookup_request &request, answer_reason reason, millis retryAfter) const
{
    lookup_answer answer;
    answer.requestId = request.requestId;
    answer.kind = request.kind;
    const kind_entry *kind = m_catalogue->find(request.kind);
    answer.priority = kind != nullptr ? kind->priority : urgency::Ordinary;
    answer.outcome = outcomeOfRefusal(!request.ticket.empty());
    answer.reason = reason;
    answer.catalogueRevision = m_catalogue->revision;
    answer.retryAfter = reason == answer_reason::UnknownKind ? millis() : retryAfter;
    return answer;
}

void root_engine::finishIfDone(sequence id, millis now, actions &out)
{
    const lookup &entry = m_lookups.at(id);
    if (entry.covered == entry.shards.size()) {
        finish(id, lookup_outcome::Whole, answer_reason::None, now, out);
        return;
    }
    if (now >= entry.softDeadline && coverageSuffices(entry)) {
        finish(id, lookup_outcome::Partial, answer_reason::None, now, out);
        return;
    }
    const std::size_t missing = entry.shards.size() - entry.covered - entry.waiting;
    const double bestCoverage = 1.0 - static_cast<double>(missing) / static_cast<double>(entry.shards.size());
    const bool insufficient =
        missing > 0 && (entry.kind.requiresCompleteAnswer || bestCoverage < entry.kind.minCoverage);
    if (insufficient || entry.waiting == 0) {
        const bool allRefused = entry.refusedShards == entry.shards.size();
        const lookup_outcome failure = allRefused ? lookup_outcome::NotRun : lookup_outcome::Failed;
        const bool partial = !insufficient && coverageSuffices(entry);
        finish(id,
               partial ? lookup_outcome::Partial : failure,
               partial ? answer_reason::None : firstMissingReason(entry),
               now,
               out);
    }
}

bool root_engine::coverageSuffices(const lookup &entry)
{
    const double coverage = static_cast<double>(entry.covered) / static_cast<double>(entry.shards.size());
    return !entry.kind.requiresCompleteAnswer && entry.covered > 0 && coverage >= entry.kind.minCoverage;
}

answer_reason root_engine::firstMissingReason(const lookup &entry)
{
    const auto missing = std::ranges::find(entry.shards, shard_phase::Missing, &shard_progress::phase);
    return missing != entry.shards.end() ? missing->reason : answer_reason::Expired;
}

void root_engine::finish(sequence id, lookup_outcome outcome, answer_reason reason, millis now, actions &out)
{
    lookup entry = std::move(m_lookups.at(id));
    m_lookups.erase(id);
    m_limiter.release(entry.kind.name);
    cancelRuns(entry, id, out);
    lookup_answer answer = makeRefusal(entry.request, reason, std::max(entry.retryAfter, defaultRetryAfter(reason)));
    answer.outcome = outcome;
    answer.snapshot = entry.snapshot;
    answer.version = entry.version;
    answer.elapsed = now - entry.started;
    answer.attempts = entry.leafAttempts;
    const bool answered = outcome == lookup_outcome::Whole || outcome == lookup_outcome::Partial;
    answer.retryAfter = answered ? millis() : answer.retryAfter;
    std::vector<std::vector<result_row>> parts;
    for (shard_progress &shard : entry.shards) {
        if (shard.phase == shard_phase::Covered) {
            answer.covered.push_back(shard.id);
            parts.push_back(std::move(shard.rows));
        } else {
            const answer_reason missingReason =
                shard.reason == answer_reason::None ? answer_reason::Expired : shard.reason;
            answer.missing.push_back({shard.id, missingReason});
        }
    }
    if (answered) {
        answer.rows = mergeRows(entry.kind.merge, std::move(parts), entry.kind.maxRows);
    }
    out.emplace_back(caller_answer {entry.request.caller, std::move(answer)});
}

} // namespace chivelock
