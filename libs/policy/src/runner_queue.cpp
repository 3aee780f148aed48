/** @file The runner's queues: admission, order of dispatch, and refusals with their Retry-After times. */

#include <policy/policy.h>

#include <algorithm>

namespace chivelock {

void runner_engine::admit(task_id id, task &&entry, millis now, actions &out)
{
    const shard_ref shardRef = entry.shardRef;
    const millis deadline = entry.deadline;
    task &stored = m_tasks.emplace(id, std::move(entry)).first->second;
    shard_state *shard = findShard(shardRef);
    if (shard == nullptr) {
        endTask(id, replyFor(stored, shard_status::NoLeaf), now, out);
        return;
    }
    shard->recentScheduledRetries += stored.honouredRetryAfter ? 1 : 0;
    const millis service = serviceOf(shardRef.service).times.mean(m_settings.initialServiceTime);
    const millis acceptable = (deadline - now - service) * m_settings.maxQueueWaitShare;
    const millis wait = predictedWait(*shard, stored, acceptable, now);
    if (m_settings.admission && wait > millis() && wait > acceptable) {
        refuse(id, *shard, wait - acceptable, now, out);
        return;
    }
    m_timers.push({deadline, timer_purpose::Expire, id});
    enqueue(id, false);
    dispatch(shardRef, now, out);
}

millis runner_engine::predictedWait(const shard_state &shard, const task &entry, millis acceptable, millis now)
{
    std::size_t busy = 0;
    std::size_t slots = 0;
    for (const leaf_id leaf : shard.leafs) {
        if (!m_leafs.isLeaving(leaf)) {
            busy += m_leafs.inFlight(leaf);
            slots += std::min(m_leafs.slots(leaf), m_leafs.inFlightLimit(leaf, true));
        }
    }
    // Only tasks that are dispatched before this one count.
    const queue_rank rank = rankOf(entry);
    std::size_t ahead = shard.urgentWaiting;
    ahead += rank >= queue_rank::ScheduledRetry ? shard.scheduledRetriesWaiting : 0;
    ahead += rank == queue_rank::Ordinary ? shard.ordinaryWaiting : 0;
    if (slots == 0 || busy + ahead < slots) {
        return millis();
    }
    const millis service = serviceOf(entry.shardRef.service).times.mean(m_settings.initialServiceTime);
    const millis queued = service * (static_cast<double>(busy + ahead + 1 - slots) / static_cast<double>(slots));
    // Scheduled retries that fall due during this wait go first. If they were left out of the prediction, new requests
    // would be admitted only to expire behind them.
    const bool goesAfterScheduledRetries =
        m_settings.scheduledRetriesFirst && rank == queue_rank::Ordinary && shard.recentRefusals > 0;
    // Capacity reserved for callers that do not retry would stay idle: only the share that recently retried counts.
    const double scheduledRetryRatio =
        goesAfterScheduledRetries ? std::min(1.0, shard.recentScheduledRetries / shard.recentRefusals) : 0;
    const millis reservedWait = goesAfterScheduledRetries
        ? std::clamp(shard.nextRetryTime - now, millis(), std::max(acceptable, millis()))
        : millis();
    return queued + reservedWait * scheduledRetryRatio;
}

void runner_engine::refuse(task_id id, shard_state &shard, millis excessWait, millis now, actions &out)
{
    const task &entry = m_tasks.at(id);
    constexpr double jitterShare = 0.2;
    constexpr millis maxRetryAfter {30000};
    constexpr double minOrdinaryShare = 0.1;
    constexpr double decayFactor = 0.99;
    constexpr double utilizationTarget = 0.9;
    ++m_counters.refusedOverload;
    shard.recentRefusals = shard.recentRefusals * decayFactor + 1;
    shard.recentScheduledRetries *= decayFactor;
    // Each refused caller gets its own retry time after the queue has drained: if all retried at the same time, the
    // queue would be as long as before, and refusals would come in waves.
    std::size_t slots = 0;
    std::ranges::for_each(shard.leafs, [&](leaf_id leaf) { slots += m_leafs.slots(leaf); });
    const millis service = serviceOf(entry.shardRef.service).times.mean(m_settings.initialServiceTime);
    // Urgent requests take their share of the slots first; scheduled retries are spread over the remaining capacity.
    const double ordinaryCapacity = std::max(minOrdinaryShare, 1 - shard.urgentShare) * utilizationTarget;
    const millis spacing = service * (1.0 / (static_cast<double>(std::max<std::size_t>(slots, 1)) * ordinaryCapacity));
    shard.nextRetryTime = std::max(shard.nextRetryTime, now) + spacing;
    const millis retryDelay = std::max(excessWait, millis()) + (shard.nextRetryTime - now);
    shard_reply reply = replyFor(entry, shard_status::Overloaded);
    reply.retryAfter = std::min(maxRetryAfter, retryDelay * (1 + jitterShare * m_random.uniform()));
    endTask(id, std::move(reply), now, out);
}

void runner_engine::enqueue(task_id id, bool atFront)
{
    task &entry = m_tasks.at(id);
    shard_state *shard = findShard(entry.shardRef);
    require(shard != nullptr, "a queued task has a shard");
    const queue_view queue = queueOf(*shard, rankOf(entry));
    entry.queued = true;
    ++queue.waiting;
    if (atFront) {
        queue.tasks.push_front(id);
    } else {
        queue.tasks.push_back(id);
    }
}

void runner_engine::dispatch(const shard_ref &shardRef, millis now, actions &out)
{
    shard_state *shard = findShard(shardRef);
    if (shard == nullptr) {
        return;
    }
    sendDueHedges(*shard, now, out);
    while (!queuesEmpty(*shard)) {
        const std::optional<task_id> id = popNext(*shard);
        if (!id) {
            return;
        }
        task &entry = m_tasks.at(*id);
        if (m_settings.dropExpired && cannotFinishInTime(entry, now)) {
            ++m_counters.droppedExpired;
            endTask(*id, replyFor(entry, shard_status::Expired), now, out);
            continue;
        }
        const std::optional<leaf_id> leaf = chooseLeaf(*shard, entry, false, now);
        if (!leaf) {
            probeStaleLeafs(*shard, now, out);
            enqueue(*id, true);
            return;
        }
        send(*id, *leaf, false, now, out);
    }
}

std::optional<runner_engine::task_id> runner_engine::popNext(shard_state &shard)
{
    const auto dropEnded = [this](std::deque<task_id> &queue) {
        while (!queue.empty() && !m_tasks.contains(queue.front())) {
            queue.pop_front();
        }
    };
    dropEnded(shard.urgentQueue);
    dropEnded(shard.scheduledRetryQueue);
    dropEnded(shard.ordinaryQueue);
    const bool ordinaryIsDue = shard.sendsSinceOrdinary + 1 >= m_settings.ordinaryFloor;
    const queue_rank lowerRank = shard.scheduledRetryQueue.empty() ? queue_rank::Ordinary : queue_rank::ScheduledRetry;
    const bool hasLowerRank = !queueOf(shard, lowerRank).tasks.empty();
    const bool servesLowerRank = hasLowerRank && (shard.urgentQueue.empty() || ordinaryIsDue);
    std::deque<task_id> &queue = queueOf(shard, servesLowerRank ? lowerRank : queue_rank::Urgent).tasks;
    if (queue.empty()) {
        return std::nullopt;
    }
    const task_id id = queue.front();
    queue.pop_front();
    markDequeued(m_tasks.at(id));
    return id;
}

runner_engine::queue_rank runner_engine::rankOf(const task &entry) const
{
    if (m_settings.urgentFirst && entry.priority == urgency::Urgent) {
        return queue_rank::Urgent;
    }
    return m_settings.scheduledRetriesFirst && entry.honouredRetryAfter ? queue_rank::ScheduledRetry
                                                                        : queue_rank::Ordinary;
}

runner_engine::queue_view runner_engine::queueOf(shard_state &shard, queue_rank rank)
{
    switch (rank) {
    case queue_rank::Urgent:
        return {shard.urgentQueue, shard.urgentWaiting};
    case queue_rank::ScheduledRetry:
        return {shard.scheduledRetryQueue, shard.scheduledRetriesWaiting};
    case queue_rank::Ordinary:
        break;
    }
    return {shard.ordinaryQueue, shard.ordinaryWaiting};
}

void runner_engine::markDequeued(task &entry)
{
    shard_state *shard = findShard(entry.shardRef);
    if (!entry.queued || shard == nullptr) {
        return;
    }
    entry.queued = false;
    --queueOf(*shard, rankOf(entry)).waiting;
}

bool runner_engine::queuesEmpty(const shard_state &shard)
{
    return waitingCount(shard) == 0;
}

std::size_t runner_engine::waitingCount(const shard_state &shard)
{
    return shard.urgentWaiting + shard.scheduledRetriesWaiting + shard.ordinaryWaiting;
}

} // namespace chivelock
