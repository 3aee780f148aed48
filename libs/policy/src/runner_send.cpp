/** @file The runner's sends: leaf selection, hedging, and requests that can no longer meet their deadline. */

#include <policy/policy.h>

#include <algorithm>

namespace chivelock {

bool runner_engine::usesExtra(const shard_state &shard) const
{
    std::size_t slots = 0;
    std::ranges::for_each(shard.leafs, [&](leaf_id leaf) { slots += m_leafs.slots(leaf); });
    const auto waiting = static_cast<double>(waitingCount(shard));
    return waiting >= m_settings.extraMinWaitingPerSlot * static_cast<double>(slots);
}

std::optional<leaf_id> runner_engine::chooseLeaf(const shard_state &shard, const task &entry, bool onlyIdle, millis now)
{
    const bool withExtra = usesExtra(shard);
    std::vector<replica_candidate> candidates;
    std::vector<replica_candidate> avoidedCandidates;
    for (const leaf_id leaf : shard.leafs) {
        const std::uint32_t room = onlyIdle ? m_leafs.slots(leaf) : m_leafs.inFlightLimit(leaf, withExtra);
        if (!m_leafs.mayReceive(leaf, now) || m_leafs.inFlight(leaf) >= room) {
            continue;
        }
        const bool failedHere = std::ranges::find(entry.failedLeafs, leaf) != entry.failedLeafs.end();
        const bool avoid = failedHere || m_leafs.isEjected(leaf, now);
        (avoid ? avoidedCandidates : candidates).push_back(m_leafs.candidate(leaf));
    }
    // Avoiding most leafs of a shard would turn their failures into an outage: above the cap they are used anyway.
    const bool ejectedTooMany = static_cast<double>(avoidedCandidates.size())
        > m_settings.maxEjectedShare * static_cast<double>(shard.leafs.size());
    if (candidates.empty() && (ejectedTooMany || shard.leafs.size() == avoidedCandidates.size())) {
        candidates = std::move(avoidedCandidates);
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    const std::size_t chosen =
        std::visit([&](const auto &choose) { return choose(std::span<const replica_candidate>(candidates), m_random); },
                   m_settings.chooser);
    return candidates[chosen].leaf;
}

void runner_engine::probeStaleLeafs(const shard_state &shard, millis now, actions &out)
{
    for (const leaf_id leaf : shard.leafs) {
        if (m_leafs.needsProbe(leaf, now)) {
            m_leafs.onProbeSent(leaf, now);
            out.emplace_back(leaf_probe {leaf, now});
        }
    }
}

bool runner_engine::cannotFinishInTime(const task &entry, millis now)
{
    constexpr double fastQuantile = 0.1;
    const millis fastest = serviceOf(entry.shardRef.service).times.quantile(fastQuantile, millis());
    return now + fastest >= entry.deadline;
}

void runner_engine::send(task_id id, leaf_id leaf, bool isHedge, millis now, actions &out)
{
    task &entry = m_tasks.at(id);
    service_state &service = serviceOf(entry.shardRef.service);
    const call_id callId = m_nextId++;
    m_calls.emplace(callId, call {id, leaf, entry.shardRef.service, now, isHedge, false, entry.atMostOnceId});
    entry.calls.push_back(callId);
    m_leafs.onCallSent(leaf, now);
    if (!isHedge && entry.unhedgedSends == 0) {
        ++m_counters.firstSends;
        service.hedges.deposit();
        service.retries.deposit();
    }
    entry.unhedgedSends += isHedge ? 0 : 1;
    shard_state *shard = findShard(entry.shardRef);
    if (shard != nullptr && !isHedge) {
        constexpr double urgentShareWeight = 0.02;
        const double isUrgent = entry.priority == urgency::Urgent ? 1 : 0;
        shard->urgentShare += urgentShareWeight * (isUrgent - shard->urgentShare);
        shard->sendsSinceOrdinary = entry.priority == urgency::Ordinary ? 0 : shard->sendsSinceOrdinary + 1;
    }
    const millis notAfter = std::min(entry.deadline, m_leafs.healthValidUntil(leaf));
    out.emplace_back(leaf_call {callId,
                                leaf,
                                entry.requestId,
                                entry.shardRef.service,
                                entry.shardRef.shard,
                                entry.snapshot,
                                entry.shardRef.version,
                                entry.priority,
                                entry.maxRows,
                                entry.body,
                                entry.deadline,
                                notAfter,
                                entry.atMostOnceId.has_value()});
    if (m_settings.hedging && !entry.atMostOnceId && entry.hedges < m_settings.maxHedges) {
        const millis guess = m_settings.initialServiceTime * 3;
        m_timers.push({now + service.times.quantile(m_settings.hedgeQuantile, guess), timer_purpose::Hedge, callId});
    }
}

void runner_engine::onHedgeDue(call_id id, millis now, actions &out)
{
    const auto found = m_calls.find(id);
    const auto owner = found != m_calls.end() ? m_tasks.find(found->second.owner) : m_tasks.end();
    shard_state *shard = owner != m_tasks.end() ? findShard(owner->second.shardRef) : nullptr;
    if (shard == nullptr || tryHedge(id, *shard, now, out)) {
        return;
    }
    if (m_settings.hedgeBeforeQueue) {
        shard->dueHedges.push_back(id);
        return;
    }
    constexpr millis recheckInterval {2};
    m_timers.push({now + recheckInterval, timer_purpose::Hedge, id});
}

/** @return true if this hedge is settled: sent, no longer needed, or over the hedge budget. */
bool runner_engine::tryHedge(call_id id, const shard_state &shard, millis now, actions &out)
{
    const auto found = m_calls.find(id);
    const auto owner = found != m_calls.end() ? m_tasks.find(found->second.owner) : m_tasks.end();
    if (owner == m_tasks.end() || owner->second.hedges >= m_settings.maxHedges) {
        return true;
    }
    task &entry = owner->second;
    const bool mustWait = m_settings.hedgeOnlyOntoFreeSlots && !m_settings.hedgeBeforeQueue && !queuesEmpty(shard);
    const std::optional<leaf_id> leaf =
        mustWait ? std::nullopt : chooseLeaf(shard, entry, m_settings.hedgeOnlyOntoFreeSlots, now);
    if (!leaf) {
        return false;
    }
    if (!serviceOf(entry.shardRef.service).hedges.tryWithdraw()) {
        return true;
    }
    ++entry.hedges;
    ++m_counters.hedges;
    send(owner->first, *leaf, true, now, out);
    return true;
}

void runner_engine::sendDueHedges(shard_state &shard, millis now, actions &out)
{
    while (!shard.dueHedges.empty() && tryHedge(shard.dueHedges.front(), shard, now, out)) {
        shard.dueHedges.pop_front();
    }
}

} // namespace chivelock
