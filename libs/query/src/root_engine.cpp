#include <query/query.h>

#include <algorithm>

namespace chivelock {

namespace {

answer_reason reasonOf(shard_status status)
{
    switch (status) {
    case shard_status::Ok:
        return answer_reason::None;
    case shard_status::Overloaded:
        return answer_reason::Overloaded;
    case shard_status::SnapshotGone:
        return answer_reason::SnapshotGone;
    case shard_status::LeafFailed:
        return answer_reason::LeafsFailed;
    case shard_status::NoLeaf:
        return answer_reason::NoLeaf;
    case shard_status::Expired:
        return answer_reason::Expired;
    }
    return answer_reason::LeafsFailed;
}

/** The Retry-After time of an answer for which no runner gave one. */
millis defaultRetryAfter(answer_reason reason)
{
    constexpr millis afterTimeout {250};
    constexpr millis afterFailure {1000};
    return reason == answer_reason::Expired || reason == answer_reason::Overloaded ? afterTimeout : afterFailure;
}

} // namespace

root_engine::root_engine(
    vm_id self, std::uint64_t incarnation, root_settings settings, std::uint64_t seed, root_guards guards)
    : m_self(self)
    , m_incarnation(incarnation)
    , m_settings(settings)
    , m_guards(guards)
    , m_random(seed)
{
}

void root_engine::onTopology(const topology_ptr &document, millis /*now*/, actions & /*out*/)
{
    m_topology = document;
    std::erase_if(m_reportedSnapshots, [&document](const auto &item) {
        const service_map *map = document->findService(item.first);
        return map == nullptr || map->snapshot >= item.second;
    });
}

void root_engine::onCatalogue(std::shared_ptr<const catalogue_document> document)
{
    m_catalogue = std::move(document);
}

void root_engine::submit(const lookup_request &request, const membership &members, millis now, actions &out)
{
    ++m_counters.lookups;
    const kind_entry *kind = m_catalogue->find(request.kind);
    if (kind == nullptr) {
        const answer_reason reason =
            m_catalogue->revision == 0 ? answer_reason::NoCatalogue : answer_reason::UnknownKind;
        out.emplace_back(caller_answer {request.caller, makeRefusal(request, reason, defaultRetryAfter(reason))});
        return;
    }
    if (std::optional<lookup_answer> refused = checkLimits(request, *kind, members, now)) {
        ++m_counters.refusedLocally;
        out.emplace_back(caller_answer {request.caller, *std::move(refused)});
        return;
    }
    lookup entry;
    entry.request = request;
    entry.kind = *kind;
    entry.started = now;
    entry.deadline = now + std::min(request.remaining, kind->hardLimit);
    entry.softDeadline = now + std::min(request.remaining, kind->softLimit);
    entry.body = std::make_shared<std::string>(request.body);
    if (std::optional<lookup_answer> refused = pinSnapshot(entry)) {
        m_limiter.release(kind->name);
        out.emplace_back(caller_answer {request.caller, *std::move(refused)});
        return;
    }
    const sequence id = m_nextSequence++;
    m_timers.push({entry.deadline, timer_purpose::Hard, id});
    if (!kind->requiresCompleteAnswer && entry.softDeadline < entry.deadline) {
        m_timers.push({entry.softDeadline, timer_purpose::Soft, id});
    }
    m_timers.push({now + m_settings.ackTimeout, timer_purpose::Liveness, id});
    m_lookups.emplace(id, std::move(entry));
    start(id, members, now, out);
}

void root_engine::onAccepted(vm_id from, const run_accepted &accepted, millis now)
{
    const auto found = m_lookups.find(accepted.key.sequence);
    if (found == m_lookups.end() || accepted.key != keyOf(found->first) || accepted.attempt != found->second.attempt) {
        return;
    }
    runner_progress &runner = findOrAddRunner(found->second, from, now);
    runner.lastMessageAt = now;
    runner.awaitingAckSince.reset();
}

void root_engine::onReply(vm_id from, const shard_reply &reply, const membership &members, millis now, actions &out)
{
    const auto found = m_lookups.find(reply.key.sequence);
    const bool known = found != m_lookups.end() && reply.key == keyOf(found->first);
    if (!known || (m_guards.checkAttempt && reply.attempt != found->second.attempt)) {
        // An earlier attempt ran on another snapshot. Its rows would mix two states of the index in one answer.
        ++m_counters.staleReplies;
        return;
    }
    lookup &entry = found->second;
    onAccepted(from, {reply.key, reply.attempt}, now);
    shard_progress *shard = findWaitingShard(entry, reply);
    if (shard == nullptr) {
        ++m_counters.staleReplies;
        return;
    }
    entry.leafAttempts += reply.attempts;
    if (reply.status != shard_status::Ok) {
        onShardFailed(found->first, *shard, reply, members, now, out);
        return;
    }
    const bool pinned = reply.snapshot == entry.snapshot && reply.version == entry.version;
    if (m_guards.checkSnapshot && !pinned) {
        ++m_counters.mismatchedReplies;
        return;
    }
    onShardOk(found->first, *shard, reply, now, out);
}

void root_engine::onUnreachable(vm_id runner, const membership & /*members*/, millis now, actions &out)
{
    m_stalledUntil[runner] = now + m_settings.stalledRunnerCooldown;
    std::vector<sequence> affected;
    for (const auto &[id, entry] : m_lookups) {
        if (std::ranges::find(entry.runners, runner, &runner_progress::vm) != entry.runners.end()) {
            affected.push_back(id);
        }
    }
    std::ranges::sort(affected);
    std::ranges::for_each(affected, [&](sequence id) { reroute(id, runner, now, out); });
}

void root_engine::tick(const membership &members, millis now, actions &out)
{
    // Far above the tick interval, so that a short overload of this process does not count as a process pause, which
    // would suspend the detection of stalled runners.
    constexpr double pauseThresholdFactor = 4;
    if (now - m_lastTick > m_settings.ackTimeout * pauseThresholdFactor) {
        restartAckTimeouts(now);
    }
    m_lastTick = now;
    while (!m_timers.empty() && m_timers.top().at <= now) {
        const timer due = m_timers.top();
        m_timers.pop();
        const auto found = m_lookups.find(due.target);
        if (found == m_lookups.end()) {
            continue;
        }
        const bool suffices = coverageSuffices(found->second);
        switch (due.purpose) {
        case timer_purpose::Hard:
            finish(due.target,
                   suffices ? lookup_outcome::Partial : lookup_outcome::Failed,
                   suffices ? answer_reason::None : answer_reason::Expired,
                   now,
                   out);
            break;
        case timer_purpose::Soft:
            if (suffices) {
                finish(due.target, lookup_outcome::Partial, answer_reason::None, now, out);
            }
            break;
        case timer_purpose::Liveness:
            checkLiveness(due.target, members, now, out);
            break;
        }
    }
}

void root_engine::finishAllLookups(millis now, actions &out)
{
    std::vector<sequence> ids;
    std::ranges::transform(m_lookups, std::back_inserter(ids), [](const auto &item) { return item.first; });
    std::ranges::sort(ids);
    for (const sequence id : ids) {
        const bool suffices = coverageSuffices(m_lookups.at(id));
        finish(id, suffices ? lookup_outcome::Partial : lookup_outcome::Failed, answer_reason::Stopping, now, out);
    }
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

std::optional<lookup_answer>
root_engine::checkLimits(const lookup_request &request, const kind_entry &kind, const membership &members, millis now)
{
    if (m_lookups.size() >= m_settings.maxLookups) {
        return makeRefusal(request, answer_reason::Overloaded, defaultRetryAfter(answer_reason::Overloaded));
    }
    const cached_refusal &cached = m_cachedRefusals[kind.service].at(static_cast<std::size_t>(kind.priority));
    if (now < cached.expires) {
        return makeRefusal(request, answer_reason::Overloaded, std::max(cached.retryAt - now, cached.expires - now));
    }
    if (const std::optional<millis> wait = m_limiter.admit(kind, members.listedCount(), now)) {
        return makeRefusal(request, answer_reason::KindLimit, *wait);
    }
    return std::nullopt;
}

std::optional<lookup_answer> root_engine::pinSnapshot(lookup &entry)
{
    const service_map *map = m_topology ? m_topology->findService(entry.kind.service) : nullptr;
    if (map == nullptr) {
        return makeRefusal(entry.request, answer_reason::NoTopology, defaultRetryAfter(answer_reason::NoTopology));
    }
    const auto reported = m_reportedSnapshots.find(map->name);
    entry.snapshot = reported != m_reportedSnapshots.end() ? std::max(map->snapshot, reported->second) : map->snapshot;
    pinShards(entry, *map);
    return std::nullopt;
}

void root_engine::pinShards(lookup &entry, const service_map &map)
{
    entry.version = map.version;
    entry.shards.clear();
    entry.runners.clear();
    entry.covered = 0;
    entry.refusedShards = 0;
    if (entry.kind.shards == fan_out::ByKey) {
        entry.shards.push_back(
            {shardOfKey(entry.request.shardKey, map.shards), shard_phase::Waiting, {}, 0, answer_reason::None, {}});
    } else {
        std::ranges::transform(map.shards, std::back_inserter(entry.shards), [](const shard_info &shard) {
            return shard_progress {shard.id, shard_phase::Waiting, {}, 0, answer_reason::None, {}};
        });
    }
    entry.waiting = entry.shards.size();
}

void root_engine::start(sequence id, const membership &members, millis now, actions &out)
{
    lookup &entry = m_lookups.at(id);
    const service_map &map = *m_topology->findService(entry.kind.service);
    const std::span<const vm_id> owners = ownersOf(map, members);
    std::map<vm_id, std::vector<shard_id>> plan;
    for (const shard_progress &shard : entry.shards) {
        const auto index = std::ranges::lower_bound(map.shards, shard.id, {}, &shard_info::id) - map.shards.begin();
        plan[usableRunner(owners[static_cast<std::size_t>(index)], members, now)].push_back(shard.id);
    }
    for (const auto &[runner, shards] : plan) {
        sendRuns(id, shards, runner, now, out);
    }
}

std::span<const vm_id> root_engine::ownersOf(const service_map &map, const membership &members)
{
    owner_cache &cache = m_owners[map.name];
    const bool current =
        cache.version == map.version && cache.epoch == members.epoch() && cache.owners.size() == map.shards.size();
    if (!current) {
        cache = {map.version, map.snapshot, members.epoch(), assignShards(map.name, map.shards, members.runners())};
    }
    return cache.owners;
}

vm_id root_engine::usableRunner(vm_id owner, const membership &members, millis now) const
{
    const auto stalled = m_stalledUntil.find(owner);
    const bool avoided = stalled != m_stalledUntil.end() && now < stalled->second;
    return m_settings.direct || avoided || !members.isRunner(owner) ? m_self : owner;
}

void root_engine::sendRuns(sequence id, std::span<const shard_id> shards, vm_id runner, millis now, actions &out)
{
    lookup &entry = m_lookups.at(id);
    for (const shard_id shard : shards) {
        std::ranges::lower_bound(entry.shards, shard, {}, &shard_progress::id)->runner = runner;
    }
    runner_progress &progress = findOrAddRunner(entry, runner, now);
    progress.outstanding += shards.size();
    progress.awaitingAckSince = now;
    run_shards run;
    run.key = keyOf(id);
    run.attempt = entry.attempt;
    run.requestId = entry.request.requestId;
    run.service = entry.kind.service;
    run.priority = entry.kind.priority;
    run.snapshot = entry.snapshot;
    run.version = entry.version;
    run.remaining = entry.deadline - now;
    run.maxRows = entry.kind.maxRows;
    run.body = entry.body;
    run.honouredRetryAfter = entry.request.honouredRetryAfter;
    run.shards.assign(shards.begin(), shards.end());
    out.emplace_back(peer_send {runner, std::move(run)});
}

root_engine::shard_progress *root_engine::findWaitingShard(lookup &entry, const shard_reply &reply)
{
    const auto shard = std::ranges::lower_bound(entry.shards, reply.shard, {}, &shard_progress::id);
    if (shard == entry.shards.end() || shard->id != reply.shard) {
        return nullptr;
    }
    return shard->phase == shard_phase::Waiting || !m_guards.dropDuplicates ? &*shard : nullptr;
}

void root_engine::onShardOk(sequence id, shard_progress &shard, const shard_reply &reply, millis now, actions &out)
{
    lookup &entry = m_lookups.at(id);
    shard.phase = shard_phase::Covered;
    shard.rows.insert(shard.rows.end(), reply.rows.begin(), reply.rows.end());
    entry.waiting -= std::min<std::size_t>(entry.waiting, 1);
    entry.covered += 1;
    --findOrAddRunner(entry, shard.runner, now).outstanding;
    finishIfDone(id, now, out);
}

void root_engine::onShardFailed(
    sequence id, shard_progress &shard, const shard_reply &reply, const membership &members, millis now, actions &out)
{
    lookup &entry = m_lookups.at(id);
    if (reply.status == shard_status::SnapshotGone) {
        restart(id, reply.heldSnapshot, members, now, out);
        return;
    }
    const bool leafsUnusable = reply.status == shard_status::NoLeaf || reply.status == shard_status::LeafFailed;
    if (leafsUnusable && shard.runner != m_self && shard.reroutes == 0) {
        // The runner may be partitioned from leafs that this process can reach, so the shard is run here once.
        --findOrAddRunner(entry, shard.runner, now).outstanding;
        ++shard.reroutes;
        ++m_counters.reroutes;
        const shard_id rerouted = shard.id;
        sendRuns(id, std::span(&rerouted, 1), m_self, now, out);
        return;
    }
    if (reply.status == shard_status::Overloaded) {
        ++entry.refusedShards;
        entry.retryAfter = std::max(entry.retryAfter, reply.retryAfter);
        cacheRefusal(entry, reply, now);
    }
    --findOrAddRunner(entry, shard.runner, now).outstanding;
    markMissing(entry, shard, reasonOf(reply.status));
    finishIfDone(id, now, out);
}

void root_engine::cacheRefusal(const lookup &entry, const shard_reply &reply, millis now)
{
    cached_refusal &cached = m_cachedRefusals[entry.kind.service].at(static_cast<std::size_t>(entry.kind.priority));
    cached.expires = std::max(cached.expires, now + std::min(m_settings.refusalCacheTtl, reply.retryAfter));
    cached.retryAt = std::max(cached.retryAt, now + reply.retryAfter);
}

void root_engine::markMissing(lookup &entry, shard_progress &shard, answer_reason reason)
{
    shard.phase = shard_phase::Missing;
    shard.reason = reason;
    --entry.waiting;
}

void root_engine::restart(sequence id, snapshot_id heldSnapshot, const membership &members, millis now, actions &out)
{
    lookup &entry = m_lookups.at(id);
    out.emplace_back(topology_refresh {});
    const bool attemptsLeft = entry.attempt <= m_settings.maxRestarts;
    const lookup previous = entry;
    if (!attemptsLeft || !repinSnapshot(entry, heldSnapshot)) {
        finish(id, lookup_outcome::Failed, answer_reason::SnapshotGone, now, out);
        return;
    }
    ++m_counters.restarts;
    cancelRuns(previous, id, out);
    ++entry.attempt;
    start(id, members, now, out);
}

bool root_engine::repinSnapshot(lookup &entry, snapshot_id heldSnapshot)
{
    const service_map *map = m_topology->findService(entry.kind.service);
    if (map == nullptr) {
        return false;
    }
    const bool publishedDiffers = map->snapshot > entry.snapshot || map->version != entry.version;
    const snapshot_id target = publishedDiffers ? std::max(map->snapshot, heldSnapshot) : heldSnapshot;
    if (target.value == 0 || (target == entry.snapshot && map->version == entry.version)) {
        return false;
    }
    if (target > map->snapshot) {
        snapshot_id &newest = m_reportedSnapshots[map->name];
        newest = std::max(newest, target);
    }
    entry.snapshot = target;
    pinShards(entry, *map);
    return true;
}

void root_engine::cancelRuns(const lookup &entry, sequence id, actions &out) const
{
    for (const runner_progress &runner : entry.runners) {
        if (runner.outstanding > 0) {
            out.emplace_back(peer_send {runner.vm, run_cancel {keyOf(id), entry.attempt}});
        }
    }
}

void root_engine::reroute(sequence id, vm_id from, millis now, actions &out)
{
    lookup &entry = m_lookups.at(id);
    std::vector<shard_id> rerouted;
    for (shard_progress &shard : entry.shards) {
        if (shard.phase == shard_phase::Waiting && shard.runner == from && from != m_self) {
            ++shard.reroutes;
            rerouted.push_back(shard.id);
        }
    }
    if (rerouted.empty()) {
        return;
    }
    m_counters.reroutes += rerouted.size();
    runner_progress &stalled = findOrAddRunner(entry, from, now);
    stalled.outstanding = 0;
    stalled.awaitingAckSince.reset();
    // If the runner was only paused, it must not run these shards when it resumes: this process now runs them.
    out.emplace_back(peer_send {from, run_cancel {keyOf(id), entry.attempt}});
    sendRuns(id, rerouted, m_self, now, out);
}

void root_engine::checkLiveness(sequence id, const membership & /*members*/, millis now, actions &out)
{
    lookup &entry = m_lookups.at(id);
    std::vector<vm_id> stalled;
    for (runner_progress &runner : entry.runners) {
        if (runner.outstanding == 0 || runner.vm == m_self) {
            continue;
        }
        if (runner.awaitingAckSince && now - *runner.awaitingAckSince >= m_settings.ackTimeout) {
            stalled.push_back(runner.vm);
        } else if (!runner.awaitingAckSince && now - runner.lastMessageAt >= m_settings.ackTimeout) {
            runner.awaitingAckSince = now;
            out.emplace_back(peer_send {runner.vm, run_probe {keyOf(id), entry.attempt}});
        }
    }
    for (const vm_id vm : stalled) {
        m_stalledUntil[vm] = now + m_settings.stalledRunnerCooldown;
        reroute(id, vm, now, out);
    }
    m_timers.push({now + m_settings.ackTimeout, timer_purpose::Liveness, id});
}

void root_engine::restartAckTimeouts(millis now)
{
    // A paused process reads no acks. If the pause counted against the runners, all their shards would be sent again.
    for (auto &[id, entry] : m_lookups) {
        for (runner_progress &runner : entry.runners) {
            if (runner.awaitingAckSince) {
                runner.awaitingAckSince = now;
            }
        }
    }
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

root_engine::runner_progress &root_engine::findOrAddRunner(lookup &entry, vm_id vm, millis now)
{
    const auto found = std::ranges::find(entry.runners, vm, &runner_progress::vm);
    if (found != entry.runners.end()) {
        return *found;
    }
    entry.runners.push_back({vm, now, std::nullopt, 0});
    return entry.runners.back();
}

request_key root_engine::keyOf(sequence id) const
{
    return {m_self, m_incarnation, id};
}

} // namespace chivelock
