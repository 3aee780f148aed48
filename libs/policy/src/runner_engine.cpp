#include <policy/policy.h>

#include <xxhash.h>

#include <algorithm>

namespace chivelock {

namespace {

/** Maps of a service that are kept: roots that pinned the one before the newest still get their shards run. */
constexpr std::size_t heldMapVersions = 3;
constexpr millis probeRound {50};

} // namespace

std::size_t runner_engine::place_hash::operator()(const shard_place &place) const noexcept
{
    const std::uint64_t numbers = (static_cast<std::uint64_t>(place.version.value) << 32U) | place.shard.value;
    return static_cast<std::size_t>(
        XXH3_64bits_withSeed(place.service.value.data(), place.service.value.size(), numbers));
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
        if (held.size() > heldMapVersions) {
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
    m_placesOfLeaf.clear();
    for (const auto &[place, shard] : m_shards) {
        std::ranges::for_each(shard.leafs,
                              [&, &where = place](leaf_id leaf) { m_placesOfLeaf[leaf].push_back(where); });
    }
}

void runner_engine::onRun(vm_id root, const run_shards &run, millis now, actions &out)
{
    out.emplace_back(runner_accept {root, {run.key, run.attempt}});
    for (const shard_id shard : run.shards) {
        if (isInHand({run.key, run.attempt}, shard)) {
            continue; // The root asked twice; one run answers both.
        }
        task entry;
        entry.root = root;
        entry.key = run.key;
        entry.attempt = run.attempt;
        entry.requestId = run.requestId;
        entry.place = {run.service, run.version, shard};
        entry.snapshot = run.snapshot;
        entry.priority = run.priority;
        entry.cameBack = run.cameBack;
        entry.maxRows = run.maxRows;
        entry.body = run.body;
        entry.deadline = now + run.remaining;
        entry.arrived = now;
        const task_id id = m_nextId++;
        // Looked up for each shard: a refusal at once ends the task, and with the last one the attempt's record.
        m_attempts[{run.key, run.attempt}].push_back(id);
        admit(id, std::move(entry), now, out);
    }
}

bool runner_engine::isInHand(const attempt_key &attempt, shard_id shard) const
{
    const auto found = m_attempts.find(attempt);
    return found != m_attempts.end()
        && std::ranges::any_of(found->second, [&](task_id id) { return m_tasks.at(id).place.shard == shard; });
}

void runner_engine::onOnce(const once_request &request, millis now, actions &out)
{
    task entry;
    entry.requestId = request.requestId;
    entry.place = {request.service, request.version, request.shard};
    entry.snapshot = request.snapshot;
    entry.priority = request.priority;
    entry.maxRows = request.maxRows;
    entry.body = request.body;
    entry.deadline = request.deadline;
    entry.arrived = now;
    entry.onceId = request.onceId;
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
        leaveQueue(m_tasks.at(id));
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
    m_leafs.onEnded(ended.leaf);
    noteLeafEvidence(reply, ended, now, out);
    const auto owner = m_tasks.find(ended.owner);
    if (owner == m_tasks.end()) {
        m_counters.staleReplies += reply.status == call_status::Ok ? 1 : 0;
        if (ended.onceId) {
            tellLateOnce(ended, reply, out);
        }
        redispatchShardsOf(ended.leaf, now, out);
        return;
    }
    task &entry = owner->second;
    std::erase(entry.calls, reply.id);
    const bool rightOne = !m_settings.checkReplies
        || (reply.shard == entry.place.shard && reply.snapshot == entry.snapshot
            && reply.version == entry.place.version);
    if (reply.status == call_status::Ok && rightOne) {
        m_counters.hedgeWins += ended.isHedge ? 1 : 0;
        serviceOf(ended.service).times.add(now - ended.sentAt);
        onValidAnswer(owner->first, reply.id, reply, now, out);
    } else {
        m_counters.mismatchedReplies += reply.status == call_status::Ok ? 1 : 0;
        onFailedTry(owner->first, ended.leaf, reply, now, out);
    }
    redispatchShardsOf(ended.leaf, now, out);
}

void runner_engine::tellLateOnce(const call &ended, const leaf_reply &reply, actions &out)
{
    // The caller was told that the outcome is unknown; the ticket can now tell the outcome to whoever asks again.
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
    out.emplace_back(once_result {*ended.onceId, late.status, !refused, std::move(late)});
}

void runner_engine::onHealth(const health_report &report, millis now, actions &out)
{
    if (report.reachable && report.leaving) {
        const leaving_leaf leaf {report.leaf, report.incarnation};
        if (m_leafs.onLeaving(leaf)) {
            out.emplace_back(leaf_left {leaf});
        }
    } else if (report.reachable && (report.serving || report.cold)) {
        m_leafs.onSign(report.leaf, report.incarnation, report.askedAt);
        m_leafs.onCold(report.leaf, report.cold);
    }
    redispatchShardsOf(report.leaf, now, out);
}

void runner_engine::onLeaving(leaving_leaf leaf)
{
    m_leafs.onLeaving(leaf);
}

void runner_engine::setOwned(std::span<const leaf_id> leafs)
{
    m_leafs.setOwned(leafs);
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
    m_nextProbeRound = now + probeRound;
    for (const leaf_id leaf : m_leafs.dueForProbe(now)) {
        m_leafs.onProbed(leaf, now);
        out.emplace_back(leaf_probe {leaf, now});
    }
}

runner_engine::shard_state *runner_engine::findShard(const shard_place &place)
{
    const auto found = m_shards.find(place);
    return found != m_shards.end() ? &found->second : nullptr;
}

runner_engine::service_state &runner_engine::serviceOf(const service_name &name)
{
    return m_services.try_emplace(name, m_settings).first->second;
}

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

bool runner_engine::usesExtra(const shard_state &shard) const
{
    std::size_t slots = 0;
    std::ranges::for_each(shard.leafs, [&](leaf_id leaf) { slots += m_leafs.slots(leaf); });
    const auto waiting = static_cast<double>(waitingIn(shard));
    return waiting >= m_settings.extraFromWaiting * static_cast<double>(slots);
}

std::optional<leaf_id> runner_engine::chooseLeaf(const shard_state &shard, const task &entry, bool onlyIdle, millis now)
{
    const bool withExtra = usesExtra(shard);
    std::vector<replica_candidate> candidates;
    std::vector<replica_candidate> lastResort;
    for (const leaf_id leaf : shard.leafs) {
        const std::uint32_t room = onlyIdle ? m_leafs.slots(leaf) : m_leafs.limit(leaf, withExtra);
        if (!m_leafs.mayReceive(leaf, now) || m_leafs.inFlight(leaf) >= room) {
            continue;
        }
        const bool failedHere = std::ranges::find(entry.failedAt, leaf) != entry.failedAt.end();
        const bool avoid = failedHere || m_leafs.isEjected(leaf, now);
        (avoid ? lastResort : candidates).push_back(m_leafs.candidate(leaf));
    }
    // Ejecting most leafs of a shard would turn their trouble into an outage: past the cap they are used all the same.
    const bool ejectedTooMany =
        static_cast<double>(lastResort.size()) > m_settings.maxEjectedShare * static_cast<double>(shard.leafs.size());
    if (candidates.empty() && (ejectedTooMany || shard.leafs.size() == lastResort.size())) {
        candidates = std::move(lastResort);
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    const std::size_t chosen =
        std::visit([&](const auto &choose) { return choose(std::span<const replica_candidate>(candidates), m_random); },
                   m_settings.chooser);
    return candidates[chosen].leaf;
}

void runner_engine::probeStale(const shard_state &shard, millis now, actions &out)
{
    for (const leaf_id leaf : shard.leafs) {
        if (m_leafs.needsProbe(leaf, now)) {
            m_leafs.onProbed(leaf, now);
            out.emplace_back(leaf_probe {leaf, now});
        }
    }
}

bool runner_engine::cannotFinish(const task &entry, millis now)
{
    constexpr double fastShare = 0.1;
    const millis fastest = serviceOf(entry.place.service).times.quantile(fastShare, millis());
    return now + fastest >= entry.deadline;
}

void runner_engine::send(task_id id, leaf_id leaf, bool isHedge, millis now, actions &out)
{
    task &entry = m_tasks.at(id);
    service_state &service = serviceOf(entry.place.service);
    const call_id callId = m_nextId++;
    m_calls.emplace(callId, call {id, leaf, entry.place.service, now, isHedge, false, entry.onceId});
    entry.calls.push_back(callId);
    m_leafs.onSent(leaf, now);
    if (!isHedge && entry.tries == 0) {
        ++m_counters.firstTries;
        service.hedges.earn();
        service.retries.earn();
    }
    entry.tries += isHedge ? 0 : 1;
    shard_state *shard = findShard(entry.place);
    if (shard != nullptr && !isHedge) {
        constexpr double shareWeight = 0.02;
        const double isUrgent = entry.priority == urgency::Urgent ? 1 : 0;
        shard->urgentShare += shareWeight * (isUrgent - shard->urgentShare);
        shard->sendsSinceOrdinary = entry.priority == urgency::Ordinary ? 0 : shard->sendsSinceOrdinary + 1;
    }
    const millis notAfter = std::min(entry.deadline, m_leafs.freshUntil(leaf));
    out.emplace_back(leaf_call {callId,
                                leaf,
                                entry.requestId,
                                entry.place.service,
                                entry.place.shard,
                                entry.snapshot,
                                entry.place.version,
                                entry.priority,
                                entry.maxRows,
                                entry.body,
                                entry.deadline,
                                notAfter,
                                entry.onceId.has_value()});
    if (m_settings.hedging && !entry.onceId && entry.hedges < m_settings.maxHedges) {
        const millis guess = m_settings.firstServiceGuess * 3;
        m_timers.push({now + service.times.quantile(m_settings.hedgeQuantile, guess), timer_purpose::Hedge, callId});
    }
}

void runner_engine::onHedgeDue(call_id id, millis now, actions &out)
{
    const auto found = m_calls.find(id);
    const auto owner = found != m_calls.end() ? m_tasks.find(found->second.owner) : m_tasks.end();
    shard_state *shard = owner != m_tasks.end() ? findShard(owner->second.place) : nullptr;
    if (shard == nullptr || tryHedge(id, *shard, now, out)) {
        return;
    }
    if (m_settings.hedgeBeforeQueue) {
        shard->dueHedges.push_back(id);
        return;
    }
    constexpr millis askAgain {2};
    m_timers.push({now + askAgain, timer_purpose::Hedge, id});
}

/** @return true if nothing is left to do for this request's hedge: sent, not needed any more, or not affordable. */
bool runner_engine::tryHedge(call_id id, const shard_state &shard, millis now, actions &out)
{
    const auto found = m_calls.find(id);
    const auto owner = found != m_calls.end() ? m_tasks.find(found->second.owner) : m_tasks.end();
    if (owner == m_tasks.end() || owner->second.hedges >= m_settings.maxHedges) {
        return true;
    }
    task &entry = owner->second;
    const bool mustWait = m_settings.hedgeOnlyOntoIdle && !m_settings.hedgeBeforeQueue && !queuesEmpty(shard);
    const std::optional<leaf_id> leaf =
        mustWait ? std::nullopt : chooseLeaf(shard, entry, m_settings.hedgeOnlyOntoIdle, now);
    if (!leaf) {
        return false;
    }
    if (!serviceOf(entry.place.service).hedges.spend()) {
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

void runner_engine::onValidAnswer(task_id id, call_id /*winner*/, const leaf_reply &reply, millis now, actions &out)
{
    const task &entry = m_tasks.at(id);
    shard_reply answer = replyFor(entry, shard_status::Ok);
    answer.snapshot = reply.snapshot;
    answer.version = reply.version;
    answer.rows = reply.rows;
    endTask(id, std::move(answer), now, out);
}

void runner_engine::onFailedTry(task_id id, leaf_id leaf, const leaf_reply &reply, millis now, actions &out)
{
    task &entry = m_tasks.at(id);
    const bool provenNotRun = reply.status == call_status::NotSent || reply.status == call_status::Shed
        || reply.status == call_status::Leaving || reply.status == call_status::SnapshotGone;
    entry.mayHaveRun = entry.mayHaveRun || !provenNotRun;
    entry.failedAt.push_back(leaf);
    if (reply.status == call_status::SnapshotGone) {
        entry.sawSnapshotGone = true;
        entry.heldSnapshot = std::max(entry.heldSnapshot, reply.heldSnapshot);
    }
    if (!entry.calls.empty()) {
        return; // Another try is still out; it decides.
    }
    if (mayRetry(entry, reply, now)) {
        m_counters.retries += 1;
        enqueue(id, true);
        dispatch(shard_place(entry.place), now, out);
        return;
    }
    endTask(id, replyFor(entry, statusOfFailure(entry, reply.status)), now, out);
}

bool runner_engine::mayRetry(task &entry, const leaf_reply &reply, millis now)
{
    const shard_state *shard = findShard(entry.place);
    const bool onceAndUnproven = entry.onceId && entry.mayHaveRun;
    if (onceAndUnproven || shard == nullptr || entry.tries >= m_settings.maxTries || cannotFinish(entry, now)) {
        return false;
    }
    const bool untriedLeft = std::ranges::any_of(shard->leafs, [&](leaf_id leaf) {
        return std::ranges::find(entry.failedAt, leaf) == entry.failedAt.end() && !m_leafs.isLeaving(leaf);
    });
    if (reply.status == call_status::SnapshotGone && !untriedLeft) {
        return false;
    }
    return serviceOf(entry.place.service).retries.spend();
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
    reply.shard = entry.place.shard;
    reply.status = status;
    reply.snapshot = entry.snapshot;
    reply.version = entry.place.version;
    reply.heldSnapshot = entry.heldSnapshot;
    reply.attempts = entry.tries + entry.hedges;
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
        if (m_settings.cancelLosers && !entry.onceId) {
            open.cancelled = true;
            ++m_counters.cancels;
            out.emplace_back(leaf_cancel {callId, open.leaf});
            serviceOf(open.service).times.add(now - open.sentAt); // At least so long; without it the tail looks short.
        }
    }
    if (entry.onceId) {
        const bool sent = !entry.calls.empty() || entry.mayHaveRun || reply.status == shard_status::Ok;
        out.emplace_back(once_result {*entry.onceId, reply.status, sent, std::move(reply)});
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
    leaveQueue(entry);
    m_tasks.erase(found);
}

void runner_engine::expire(task_id id, millis now, actions &out)
{
    const auto found = m_tasks.find(id);
    if (found == m_tasks.end()) {
        return;
    }
    const task &entry = found->second;
    const shard_state *shard = findShard(entry.place);
    const bool neverSent = entry.tries == 0;
    const bool noneUsable = shard == nullptr
        || std::ranges::none_of(shard->leafs, [&](leaf_id leaf) { return m_leafs.mayReceive(leaf, now); });
    endTask(id, replyFor(entry, neverSent && noneUsable ? shard_status::NoLeaf : shard_status::Expired), now, out);
}

void runner_engine::noteLeafEvidence(const leaf_reply &reply, const call &ended, millis now, actions &out)
{
    const leaving_leaf leaving {ended.leaf, reply.incarnation};
    if ((reply.saysLeaving || reply.status == call_status::Leaving) && m_leafs.onLeaving(leaving)) {
        out.emplace_back(leaf_left {leaving});
    }
    switch (reply.status) {
    case call_status::Ok:
        m_leafs.onSuccess(ended.leaf, now - ended.sentAt);
        m_leafs.onSign(ended.leaf, reply.incarnation, ended.sentAt);
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
    const auto found = m_placesOfLeaf.find(leaf);
    if (found == m_placesOfLeaf.end()) {
        return;
    }
    const std::vector<shard_place> places = found->second;
    std::ranges::for_each(places, [&](const shard_place &place) { dispatch(place, now, out); });
}

} // namespace chivelock
