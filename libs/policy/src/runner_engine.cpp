#include <policy/policy.h>

#include <xxhash.h>

#include <algorithm>

namespace chivelock {

namespace {

/** Map versions kept per service: roots that pinned the version before the newest still get their shards run. */
constexpr std::size_t maxHeldMapVersions = 3;
constexpr millis probeRoundInterval {50};

} // namespace

std::size_t runner_engine::shard_ref_hash::operator()(const shard_ref &shardRef) const noexcept
{
    const std::uint64_t numbers = (static_cast<std::uint64_t>(shardRef.version.value) << 32U) | shardRef.shard.value;
    return static_cast<std::size_t>(
        XXH3_64bits_withSeed(shardRef.service.value.data(), shardRef.service.value.size(), numbers));
}

runner_engine::runner_engine(runner_settings settings, std::uint64_t seed)
    : m_settings(settings)
    , m_random(seed)
    , m_leafs(m_settings)
{
}

void runner_engine::onTopology(const topology_ptr &document)
{
    m_leafs.onTopology(*document);
    for (const service_map &service : document->services) {
        std::deque<map_version> &held = m_heldVersions[service.name];
        if (std::ranges::find(held, service.version) == held.end()) {
            held.push_back(service.version);
        }
        if (held.size() > maxHeldMapVersions) {
            const map_version oldest = held.front();
            held.pop_front();
            std::erase_if(m_shards, [&](const auto &item) {
                return item.first.service == service.name && item.first.version == oldest && queuesEmpty(item.second);
            });
        }
        for (const shard_info &shard : service.shards) {
            m_shards[{service.name, service.version, shard.id}].leafs = shard.leafs;
        }
    }
    m_shardsOfLeaf.clear();
    for (const auto &[shardRef, shard] : m_shards) {
        std::ranges::for_each(shard.leafs,
                              [&, &where = shardRef](leaf_id leaf) { m_shardsOfLeaf[leaf].push_back(where); });
    }
}

void runner_engine::onRun(vm_id root, const run_shards &run, millis now, actions &out)
{
    out.emplace_back(runner_accept {root, {run.key, run.attempt}});
    for (const shard_id shard : run.shards) {
        if (isInProgress({run.key, run.attempt}, shard)) {
            continue; // Repeated request of the root; the run in progress answers both.
        }
        task entry;
        entry.root = root;
        entry.key = run.key;
        entry.attempt = run.attempt;
        entry.requestId = run.requestId;
        entry.shardRef = {run.service, run.version, shard};
        entry.snapshot = run.snapshot;
        entry.priority = run.priority;
        entry.honouredRetryAfter = run.honouredRetryAfter;
        entry.maxRows = run.maxRows;
        entry.body = run.body;
        entry.deadline = now + run.remaining;
        entry.arrived = now;
        const task_id id = m_nextId++;
        // Looked up again for each shard: admit() may end the task at once, and the last task of an attempt removes its
        // entry.
        m_attempts[{run.key, run.attempt}].push_back(id);
        admit(id, std::move(entry), now, out);
    }
}

bool runner_engine::isInProgress(const attempt_key &attempt, shard_id shard) const
{
    const auto found = m_attempts.find(attempt);
    return found != m_attempts.end()
        && std::ranges::any_of(found->second, [&](task_id id) { return m_tasks.at(id).shardRef.shard == shard; });
}

void runner_engine::onAtMostOnceRequest(const at_most_once_request &request, millis now, actions &out)
{
    task entry;
    entry.requestId = request.requestId;
    entry.shardRef = {request.service, request.version, request.shard};
    entry.snapshot = request.snapshot;
    entry.priority = request.priority;
    entry.maxRows = request.maxRows;
    entry.body = request.body;
    entry.deadline = request.deadline;
    entry.arrived = now;
    entry.atMostOnceId = request.atMostOnceId;
    admit(m_nextId++, std::move(entry), now, out);
}

void runner_engine::onProbe(vm_id root, const run_probe &probe, actions &out) const
{
    if (m_attempts.contains({probe.key, probe.attempt})) {
        out.emplace_back(runner_accept {root, {probe.key, probe.attempt}});
    }
}

void runner_engine::onCancel(const run_cancel &cancel, millis /*now*/, actions &out)
{
    const auto found = m_attempts.find({cancel.key, cancel.attempt});
    if (found == m_attempts.end()) {
        return;
    }
    const std::vector<task_id> tasks = std::move(found->second);
    m_attempts.erase(found);
    for (const task_id id : tasks) {
        for (const call_id callId : m_tasks.at(id).calls) {
            call &open = m_calls.at(callId);
            open.owner = 0;
            open.cancelled = true;
            ++m_counters.cancels;
            out.emplace_back(leaf_cancel {callId, open.leaf});
        }
        markDequeued(m_tasks.at(id));
        m_tasks.erase(id);
    }
}

void runner_engine::onLeafReply(const leaf_reply &reply, millis now, actions &out)
{
    const auto found = m_calls.find(reply.id);
    if (found == m_calls.end()) {
        ++m_counters.staleReplies;
        return;
    }
    const call ended = found->second;
    m_calls.erase(found);
    m_leafs.onCallEnded(ended.leaf);
    updateLeafHealth(reply, ended, now, out);
    const auto owner = m_tasks.find(ended.owner);
    if (owner == m_tasks.end()) {
        m_counters.staleReplies += reply.status == call_status::Ok ? 1 : 0;
        if (ended.atMostOnceId) {
            reportLateAtMostOnceResult(ended, reply, out);
        }
        redispatchShardsOf(ended.leaf, now, out);
        return;
    }
    task &entry = owner->second;
    std::erase(entry.calls, reply.id);
    const bool matchesTask = !m_settings.checkReplies
        || (reply.shard == entry.shardRef.shard && reply.snapshot == entry.snapshot
            && reply.version == entry.shardRef.version);
    if (reply.status == call_status::Ok && matchesTask) {
        m_counters.hedgeWins += ended.isHedge ? 1 : 0;
        serviceOf(ended.service).times.add(now - ended.sentAt);
        onValidAnswer(owner->first, reply.id, reply, now, out);
    } else {
        m_counters.mismatchedReplies += reply.status == call_status::Ok ? 1 : 0;
        onFailedCall(owner->first, ended.leaf, reply, now, out);
    }
    redispatchShardsOf(ended.leaf, now, out);
}

void runner_engine::reportLateAtMostOnceResult(const call &ended, const leaf_reply &reply, actions &out)
{
    // The caller has already received an unknown outcome; this result lets the ticket answer later uses.
    const bool refused = reply.status == call_status::Shed || reply.status == call_status::Leaving
        || reply.status == call_status::NotSent;
    if (reply.status != call_status::Ok && !refused) {
        return;
    }
    shard_reply late;
    late.shard = reply.shard;
    late.status = refused ? shard_status::Overloaded : shard_status::Ok;
    late.snapshot = reply.snapshot;
    late.version = reply.version;
    late.rows = reply.rows;
    late.attempts = 1;
    out.emplace_back(at_most_once_result {*ended.atMostOnceId, late.status, !refused, std::move(late)});
}

void runner_engine::onHealth(const health_report &report, millis now, actions &out)
{
    if (report.reachable && report.leaving) {
        const leaving_leaf leaf {report.leaf, report.incarnation};
        if (m_leafs.onLeaving(leaf)) {
            out.emplace_back(leaving_leaf_report {leaf});
        }
    } else if (report.reachable && (report.serving || report.cold)) {
        m_leafs.onHealthConfirmed(report.leaf, report.incarnation, report.askedAt);
        m_leafs.setCold(report.leaf, report.cold);
    }
    redispatchShardsOf(report.leaf, now, out);
}

void runner_engine::onLeaving(leaving_leaf leaf)
{
    m_leafs.onLeaving(leaf);
}

void runner_engine::setOwnedLeafs(std::span<const leaf_id> leafs)
{
    m_leafs.setOwnedLeafs(leafs);
}

void runner_engine::tick(millis now, actions &out)
{
    while (!m_timers.empty() && m_timers.top().at <= now) {
        const timer due = m_timers.top();
        m_timers.pop();
        if (due.purpose == timer_purpose::Expire) {
            expire(due.target, now, out);
        } else {
            onHedgeDue(due.target, now, out);
        }
    }
    if (now < m_nextProbeRound) {
        return;
    }
    m_nextProbeRound = now + probeRoundInterval;
    for (const leaf_id leaf : m_leafs.leafsDueForProbe(now)) {
        m_leafs.onProbeSent(leaf, now);
        out.emplace_back(leaf_probe {leaf, now});
    }
}

runner_engine::shard_state *runner_engine::findShard(const shard_ref &shardRef)
{
    const auto found = m_shards.find(shardRef);
    return found != m_shards.end() ? &found->second : nullptr;
}

runner_engine::service_state &runner_engine::serviceOf(const service_name &name)
{
    return m_services.try_emplace(name, m_settings).first->second;
}

void runner_engine::onValidAnswer(task_id id, call_id /*winner*/, const leaf_reply &reply, millis now, actions &out)
{
    const task &entry = m_tasks.at(id);
    shard_reply answer = replyFor(entry, shard_status::Ok);
    answer.snapshot = reply.snapshot;
    answer.version = reply.version;
    answer.rows = reply.rows;
    endTask(id, std::move(answer), now, out);
}

void runner_engine::onFailedCall(task_id id, leaf_id leaf, const leaf_reply &reply, millis now, actions &out)
{
    task &entry = m_tasks.at(id);
    const bool provenNotRun = reply.status == call_status::NotSent || reply.status == call_status::Shed
        || reply.status == call_status::Leaving || reply.status == call_status::SnapshotGone;
    entry.mayHaveRun = entry.mayHaveRun || !provenNotRun;
    entry.failedLeafs.push_back(leaf);
    if (reply.status == call_status::SnapshotGone) {
        entry.sawSnapshotGone = true;
        entry.heldSnapshot = std::max(entry.heldSnapshot, reply.heldSnapshot);
    }
    if (!entry.calls.empty()) {
        return; // Another request for this shard is in flight; its result decides.
    }
    if (mayRetry(entry, reply, now)) {
        m_counters.retries += 1;
        enqueue(id, true);
        dispatch(shard_ref(entry.shardRef), now, out);
        return;
    }
    endTask(id, replyFor(entry, statusOfFailure(entry, reply.status)), now, out);
}

bool runner_engine::mayRetry(task &entry, const leaf_reply &reply, millis now)
{
    const shard_state *shard = findShard(entry.shardRef);
    const bool mayRunTwice = entry.atMostOnceId && entry.mayHaveRun;
    if (mayRunTwice || shard == nullptr || entry.unhedgedSends >= m_settings.maxSends
        || cannotFinishInTime(entry, now)) {
        return false;
    }
    const bool hasUntriedLeaf = std::ranges::any_of(shard->leafs, [&](leaf_id leaf) {
        return std::ranges::find(entry.failedLeafs, leaf) == entry.failedLeafs.end() && !m_leafs.isLeaving(leaf);
    });
    if (reply.status == call_status::SnapshotGone && !hasUntriedLeaf) {
        return false;
    }
    return serviceOf(entry.shardRef.service).retries.tryWithdraw();
}

shard_status runner_engine::statusOfFailure(const task &entry, call_status last)
{
    if (entry.sawSnapshotGone) {
        return shard_status::SnapshotGone;
    }
    if (last == call_status::Shed && !entry.mayHaveRun) {
        return shard_status::Overloaded;
    }
    return last == call_status::Leaving ? shard_status::NoLeaf : shard_status::LeafFailed;
}

shard_reply runner_engine::replyFor(const task &entry, shard_status status) const
{
    shard_reply reply;
    reply.key = entry.key;
    reply.attempt = entry.attempt;
    reply.shard = entry.shardRef.shard;
    reply.status = status;
    reply.snapshot = entry.snapshot;
    reply.version = entry.shardRef.version;
    reply.heldSnapshot = entry.heldSnapshot;
    reply.attempts = entry.unhedgedSends + entry.hedges;
    return reply;
}

void runner_engine::endTask(task_id id, shard_reply reply, millis now, actions &out)
{
    const auto found = m_tasks.find(id);
    task &entry = found->second;
    for (const call_id callId : entry.calls) {
        call &open = m_calls.at(callId);
        open.owner = 0;
        reply.service = std::max(reply.service, now - open.sentAt);
        if (m_settings.cancelLosers && !entry.atMostOnceId) {
            open.cancelled = true;
            ++m_counters.cancels;
            out.emplace_back(leaf_cancel {callId, open.leaf});
            // A lower bound of its service time; leaving it out would underestimate the tail.
            serviceOf(open.service).times.add(now - open.sentAt);
        }
    }
    if (entry.atMostOnceId) {
        const bool sent = !entry.calls.empty() || entry.mayHaveRun || reply.status == shard_status::Ok;
        out.emplace_back(at_most_once_result {*entry.atMostOnceId, reply.status, sent, std::move(reply)});
    } else {
        const auto attempt = m_attempts.find({entry.key, entry.attempt});
        if (attempt != m_attempts.end()) {
            std::erase(attempt->second, id);
            if (attempt->second.empty()) {
                m_attempts.erase(attempt);
            }
        }
        out.emplace_back(runner_reply {entry.root, std::move(reply)});
    }
    markDequeued(entry);
    m_tasks.erase(found);
}

void runner_engine::expire(task_id id, millis now, actions &out)
{
    const auto found = m_tasks.find(id);
    if (found == m_tasks.end()) {
        return;
    }
    const task &entry = found->second;
    const shard_state *shard = findShard(entry.shardRef);
    const bool neverSent = entry.unhedgedSends == 0;
    const bool noneUsable = shard == nullptr
        || std::ranges::none_of(shard->leafs, [&](leaf_id leaf) { return m_leafs.mayReceive(leaf, now); });
    endTask(id, replyFor(entry, neverSent && noneUsable ? shard_status::NoLeaf : shard_status::Expired), now, out);
}

void runner_engine::updateLeafHealth(const leaf_reply &reply, const call &ended, millis now, actions &out)
{
    const leaving_leaf leaving {ended.leaf, reply.incarnation};
    if ((reply.announcesLeaving || reply.status == call_status::Leaving) && m_leafs.onLeaving(leaving)) {
        out.emplace_back(leaving_leaf_report {leaving});
    }
    switch (reply.status) {
    case call_status::Ok:
        m_leafs.onSuccess(ended.leaf, now - ended.sentAt);
        m_leafs.onHealthConfirmed(ended.leaf, reply.incarnation, ended.sentAt);
        break;
    case call_status::Shed:
        ++m_counters.leafSheds;
        m_leafs.onShed(ended.leaf);
        break;
    case call_status::Failed:
        ++m_counters.leafFailures;
        m_leafs.onFailure(ended.leaf, now);
        break;
    case call_status::NotSent:
    case call_status::Leaving:
    case call_status::SnapshotGone:
    case call_status::Cancelled:
        break;
    }
}

void runner_engine::redispatchShardsOf(leaf_id leaf, millis now, actions &out)
{
    const auto found = m_shardsOfLeaf.find(leaf);
    if (found == m_shardsOfLeaf.end()) {
        return;
    }
    const std::vector<shard_ref> shardRefs = found->second;
    std::ranges::for_each(shardRefs, [&](const shard_ref &shardRef) { dispatch(shardRef, now, out); });
}

} // namespace chivelock
