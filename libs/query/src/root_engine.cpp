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
        out.emplace_back(caller_answer {request.caller, makeRefusal(request, reason)});
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

std::optional<lookup_answer>
root_engine::checkLimits(const lookup_request &request, const kind_entry &kind, const membership &members, millis now)
{
    if (m_lookups.size() >= m_settings.maxLookups) {
        return makeRefusal(request, answer_reason::Overloaded);
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

request_key root_engine::keyOf(sequence id) const
{
    return {m_self, m_incarnation, id};
}

} // namespace chivelock
