/** @file The runner's queues: who is let in, who goes next, who is refused with which time to come back. */

#include <policy/policy.h>

#include <algorithm>

namespace chivelock {

void runner_engine::admit(task_id id, task &&entry, millis now, actions &out)
{
    const shard_place place = entry.place;
    const millis deadline = entry.deadline;
    task &stored = m_tasks.emplace(id, std::move(entry)).first->second;
    shard_state *shard = findShard(place);
    if (shard == nullptr) {
        endTask(id, replyFor(stored, shard_status::NoLeaf), now, out);
        return;
    }
    shard->recentReturns += stored.cameBack ? 1 : 0;
    const millis service = serviceOf(place.service).times.mean(m_settings.firstServiceGuess);
    const millis acceptable = (deadline - now - service) * m_settings.queueShare;
    const millis wait = predictedWait(*shard, stored, acceptable, now);
    if (m_settings.admission && wait > millis() && wait > acceptable) {
        refuse(id, *shard, wait - acceptable, now, out);
        return;
    }
    m_timers.push({deadline, timer_purpose::Expire, id});
    enqueue(id, false);
    dispatch(place, now, out);
}

millis runner_engine::predictedWait(const shard_state &shard, const task &entry, millis acceptable, millis now)
{
    std::size_t busy = 0;
    std::size_t slots = 0;
    for (const leaf_id leaf : shard.leafs) {
        if (!m_leafs.isLeaving(leaf)) {
            busy += m_leafs.inFlight(leaf);
            slots += std::min(m_leafs.slots(leaf), m_leafs.limit(leaf, true));
        }
    }
    // Only what goes before this task counts.
    const queue_rank rank = rankOf(entry);
    std::size_t ahead = shard.urgentWaiting;
    ahead += rank >= queue_rank::Returned ? shard.returnedWaiting : 0;
    ahead += rank == queue_rank::Ordinary ? shard.ordinaryWaiting : 0;
    if (slots == 0 || busy + ahead < slots) {
        return millis();
    }
    const millis service = serviceOf(entry.place.service).times.mean(m_settings.firstServiceGuess);
    const millis queued = service * (static_cast<double>(busy + ahead + 1 - slots) / static_cast<double>(slots));
    // Callers who were told to come back within this wait will go first; without them in the reckoning, new work is
    // let in only to expire behind them.
    const bool yields = m_settings.returnedFirst && rank == queue_rank::Ordinary && shard.recentRefusals > 0;
    // Places that nobody takes must not stand empty: the reckoning counts the share that came back of late.
    const double obey = yields ? std::min(1.0, shard.recentReturns / shard.recentRefusals) : 0;
    const millis promised =
        yields ? std::clamp(shard.nextReturn - now, millis(), std::max(acceptable, millis())) : millis();
    return queued + promised * obey;
}

void runner_engine::refuse(task_id id, shard_state &shard, millis excess, millis now, actions &out)
{
    const task &entry = m_tasks.at(id);
    constexpr double jitterShare = 0.2;
    constexpr millis longestAdvice {30000};
    constexpr double leastLeft = 0.1;
    constexpr double fade = 0.99;
    constexpr double headroom = 0.9;
    ++m_counters.refusedOverload;
    shard.recentRefusals = shard.recentRefusals * fade + 1;
    shard.recentReturns *= fade;
    // Each refused caller is given its own place after the queue has drained: if all came back at once, the queue
    // would be as long again, which shows as refusals in waves.
    std::size_t slots = 0;
    std::ranges::for_each(shard.leafs, [&](leaf_id leaf) { slots += m_leafs.slots(leaf); });
    const millis service = serviceOf(entry.place.service).times.mean(m_settings.firstServiceGuess);
    // Urgent work takes its share of the slots first; places for those who return are in what is left.
    const double left = std::max(leastLeft, 1 - shard.urgentShare) * headroom;
    const millis spacing = service * (1.0 / (static_cast<double>(std::max<std::size_t>(slots, 1)) * left));
    shard.nextReturn = std::max(shard.nextReturn, now) + spacing;
    const millis drained = std::max(excess, millis()) + (shard.nextReturn - now);
    shard_reply reply = replyFor(entry, shard_status::Overloaded);
    reply.retryAfter = std::min(longestAdvice, drained * (1 + jitterShare * m_random.uniform()));
    endTask(id, std::move(reply), now, out);
}

void runner_engine::enqueue(task_id id, bool atFront)
{
    task &entry = m_tasks.at(id);
    shard_state *shard = findShard(entry.place);
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

void runner_engine::dispatch(const shard_place &place, millis now, actions &out)
{
    shard_state *shard = findShard(place);
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
        if (m_settings.dropExpired && cannotFinish(entry, now)) {
            ++m_counters.droppedExpired;
            endTask(*id, replyFor(entry, shard_status::Expired), now, out);
            continue;
        }
        const std::optional<leaf_id> leaf = chooseLeaf(*shard, entry, false, now);
        if (!leaf) {
            probeStale(*shard, now, out);
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
    dropEnded(shard.returnedQueue);
    dropEnded(shard.ordinaryQueue);
    const bool ordinaryTurn = shard.sendsSinceOrdinary + 1 >= m_settings.ordinaryFloor;
    const queue_rank lower = shard.returnedQueue.empty() ? queue_rank::Ordinary : queue_rank::Returned;
    const bool lowerWaits = !queueOf(shard, lower).tasks.empty();
    const bool takesLower = lowerWaits && (shard.urgentQueue.empty() || ordinaryTurn);
    std::deque<task_id> &queue = queueOf(shard, takesLower ? lower : queue_rank::Urgent).tasks;
    if (queue.empty()) {
        return std::nullopt;
    }
    const task_id id = queue.front();
    queue.pop_front();
    leaveQueue(m_tasks.at(id));
    return id;
}

runner_engine::queue_rank runner_engine::rankOf(const task &entry) const
{
    if (m_settings.urgentFirst && entry.priority == urgency::Urgent) {
        return queue_rank::Urgent;
    }
    return m_settings.returnedFirst && entry.cameBack ? queue_rank::Returned : queue_rank::Ordinary;
}

runner_engine::queue_view runner_engine::queueOf(shard_state &shard, queue_rank rank)
{
    switch (rank) {
    case queue_rank::Urgent:
        return {shard.urgentQueue, shard.urgentWaiting};
    case queue_rank::Returned:
        return {shard.returnedQueue, shard.returnedWaiting};
    case queue_rank::Ordinary:
        break;
    }
    return {shard.ordinaryQueue, shard.ordinaryWaiting};
}

void runner_engine::leaveQueue(task &entry)
{
    shard_state *shard = findShard(entry.place);
    if (!entry.queued || shard == nullptr) {
        return;
    }
    entry.queued = false;
    --queueOf(*shard, rankOf(entry)).waiting;
}

bool runner_engine::queuesEmpty(const shard_state &shard)
{
    return waitingIn(shard) == 0;
}

std::size_t runner_engine::waitingIn(const shard_state &shard)
{
    return shard.urgentWaiting + shard.returnedWaiting + shard.ordinaryWaiting;
}

} // namespace chivelock
