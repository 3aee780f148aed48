#include <query/query.h>

#include <algorithm>

namespace chivelock {

std::optional<lookup_answer> root_engine::pinSnapshot(lookup &entry)
{
    const service_map *map = m_topology ? m_topology->findService(entry.kind.service) : nullptr;
    if (map == nullptr) {
        return makeRefusal(entry.request, answer_reason::NoTopology);
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

root_engine::runner_progress &root_engine::findOrAddRunner(lookup &entry, vm_id vm, millis now)
{
    const auto found = std::ranges::find(entry.runners, vm, &runner_progress::vm);
    if (found != entry.runners.end()) {
        return *found;
    }
    entry.runners.push_back({vm, now, std::nullopt, 0});
    return entry.runners.back();
}

} // namespace chivelock
