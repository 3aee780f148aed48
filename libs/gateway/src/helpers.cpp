#include "exchange.h"

#include <algorithm>
#include <map>
#include <set>

namespace chivelock {

namespace {

constexpr std::size_t leastWorthHanding = 3; // shards; for fewer, the message costs as much as it saves
constexpr double silentAfter = 1.3; // of the time by which the first word is due: a busy VM speaks late
constexpr millis hopMargin(3); // for the message there and back, and the reading of it on a busy small VM
constexpr millis distrustFor(1500); // a frozen VM costs one lookup in this time, not each

std::size_t piecesFor(std::size_t calls, std::size_t atOnce)
{
    return (calls + atOnce - 1) / atOnce;
}

} // namespace

bool gateway_engine::isTrusted(const std::string &helper, millis now) const
{
    const auto distrusted = m_distrustedUntil.find(helper);
    return distrusted == m_distrustedUntil.end() || distrusted->second <= now;
}

gateway_engine::shard_zones gateway_engine::zonesOf(const shard_call &call, millis now) const
{
    shard_zones zones;
    for (const std::shared_ptr<leaf> &one : m_leafs.of(call.service)) {
        if (one->isLeaving()) {
            continue;
        }
        zones.all.insert(one->entry.zone);
        if (mayAsk(*one, now) && one->stalledSince() > now) {
            zones.usable.insert(one->entry.zone);
        }
    }
    return zones;
}

/**
 * Into how many parts the shards of a zone are divided: call n belongs to part n % count, as does the VM of rank n. The
 * same for all who ask, so that a leaf knows two or three VMs and not all of the zone: with random helpers 67 VMs held
 * so many connections that after a loss of power leafs, which still counted the dead ones, reset new ones for five
 * seconds. And each VM meets its few leafs often enough to know at once how they are.
 */
std::size_t gateway_engine::partsOf(const zone_name &zone, std::size_t shards) const
{
    std::size_t vms = zone == m_settings.zone ? m_ownRank + 1 : 1;
    for (const helper_vm &helper : m_helpers) {
        vms = helper.zone == zone ? std::max<std::size_t>(vms, helper.rank + 1) : vms;
    }
    return std::max<std::size_t>(1, std::min(piecesFor(shards, m_settings.shardsAtOnce), vms));
}

/** @return the address of a VM that is to ask for the part; empty if that is for this VM, or if there is none. */
std::string gateway_engine::helperFor(const zone_name &zone, std::size_t part, std::size_t parts, millis now)
{
    if (zone == m_settings.zone && m_ownRank % parts == part) {
        return {};
    }
    std::vector<std::string> meant;
    std::vector<std::string> others;
    for (const helper_vm &helper : m_helpers) {
        if (helper.zone == zone && isTrusted(helper.address, now)) {
            (helper.rank % parts == part ? meant : others).push_back(helper.address);
        }
    }
    const std::vector<std::string> &from = meant.empty() ? others : meant;
    return from.empty() ? std::string() : from[m_random.below(from.size())];
}

/** Hands out the calls whose leafs are in @p zone, part by part; what is left is asked from here. */
void gateway_engine::planZone(
    const zone_name &zone, std::span<const std::size_t> calls, std::size_t parts, helper_plan &plan, millis now)
{
    std::vector<std::vector<std::size_t>> groups(parts);
    std::ranges::for_each(calls, [&](std::size_t at) { groups[at % parts].push_back(at); });
    for (std::size_t part = 0; part < parts; ++part) {
        std::string helper =
            groups[part].size() < leastWorthHanding ? std::string() : helperFor(zone, part, parts, now);
        if (!helper.empty()) {
            plan.push_back({std::move(helper), std::move(groups[part])});
        }
    }
}

/**
 * Who asks which leafs. Leafs of the own zone are asked from the own zone; those of other zones by VMs next to them,
 * since one message with the merged parts replaces a request and an answer for each shard on the way between zones.
 */
gateway_engine::helper_plan gateway_engine::planHelpers(exchange &work, millis now)
{
    helper_plan plan;
    if (m_helpers.empty()) {
        return plan;
    }
    std::map<zone_name, std::vector<std::size_t>> byZone;
    std::map<zone_name, std::size_t> shardsIn; // pausing leafs count: parts should stay as they are
    for (std::size_t at = 0; at < work.calls.size(); ++at) {
        const shard_call &call = work.calls[at];
        if (call.missing || call.waiting) {
            continue;
        }
        const shard_zones zones = zonesOf(call, now);
        std::ranges::for_each(zones.all, [&](const zone_name &zone) { shardsIn[zone] += 1; });
        if (zones.usable.contains(m_settings.zone)) {
            byZone[m_settings.zone].push_back(at);
        } else {
            std::ranges::for_each(zones.usable, [&](const zone_name &zone) { byZone[zone].push_back(at); });
        }
    }
    for (const auto &[zone, shards] : shardsIn) {
        work.partsIn[zone] = partsOf(zone, shards);
    }
    // The zone that has most first: fewer messages.
    while (!byZone.empty()) {
        const auto most = std::ranges::max_element(byZone, {}, [](const auto &one) { return one.second.size(); });
        const std::size_t planned = plan.size();
        planZone(most->first, most->second, work.partsIn[most->first], plan, now);
        byZone.erase(most);
        std::set<std::size_t> taken;
        for (std::size_t at = planned; at < plan.size(); ++at) {
            taken.insert(plan[at].calls.begin(), plan[at].calls.end());
        }
        for (auto &[zone, rest] : byZone) {
            std::erase_if(rest, [&](std::size_t call) { return taken.contains(call); });
        }
        std::erase_if(byZone, [](const auto &one) { return one.second.empty(); });
    }
    return plan;
}

void gateway_engine::delegateCalls(exchange &work,
                                   const std::string &helper,
                                   std::vector<std::size_t> calls,
                                   millis now)
{
    std::ranges::for_each(calls, [&](std::size_t at) { budgetOf(work.calls[at].service).countRequest(now); });
    hand(work, helper, std::move(calls), false, now);
}

/**
 * Asks a second leaf, by the VM that has the leaf in its part unless this one has a connection itself. A VM that took a
 * lookup of 180 shards asked 96 in 100 second leafs itself before, on new connections through zones: a round trip and
 * some milliseconds of a slot of the leaf, each.
 */
void gateway_engine::askSecond(exchange &work, std::size_t at, const std::shared_ptr<leaf> &to, millis now)
{
    const auto parts = work.partsIn.find(to->entry.zone);
    const bool apart = parts != work.partsIn.end() && to->keptConnections == 0 && !work.isDelegated();
    std::string helper = apart ? helperFor(to->entry.zone, at % parts->second, parts->second, now) : std::string();
    if (helper.empty()) {
        sendCall(work, at, to, now);
        return;
    }
    shard_call &call = work.calls[at];
    call.handed += 1;
    call.mayHaveRun += 1;
    call.sends += 1;
    call.waiting = false;
    call.nextHedge = millis::never();
    work.secondSends[std::move(helper)].push_back(at);
}

/** One message for each VM, with all that this step asks of it. */
void gateway_engine::handSecondSends(exchange &work, millis now)
{
    for (auto &[helper, calls] : std::exchange(work.secondSends, {})) {
        if (!work.ended) {
            hand(work, helper, std::move(calls), true, now);
        }
    }
}

/** @param second attempts beyond the first of these calls, counted already by askSecond. */
void gateway_engine::hand(
    exchange &work, const std::string &helper, std::vector<std::size_t> calls, bool second, millis now)
{
    delegate_action action;
    action.id = m_nextId++;
    action.exchange = work.id;
    action.helper = helper;
    action.work.route = work.route->name;
    action.work.topRecords = work.route->topRecords;
    action.work.objective = work.route->objective;
    action.work.speakIn = work.pace->hedgeAfter();
    action.work.cutoffIn = std::max(work.cutoff - now - hopMargin, hopMargin);
    action.work.limitIn = std::max(work.limit - now - hopMargin, hopMargin);
    action.work.alone = second;
    for (const std::size_t at : calls) {
        shard_call &call = work.calls[at];
        call.handed += second ? 0 : 1;
        call.mayHaveRun += second ? 0 : 1;
        action.work.shards.push_back(call.service);
        for (const std::shared_ptr<leaf> &one : call.tried) {
            action.work.triedLeafs.push_back(one->entry.id);
        }
    }
    delegation made;
    made.exchange = work.id;
    made.helper = helper;
    made.ended.resize(calls.size());
    made.calls = std::move(calls);
    made.wordDueIn = action.work.speakIn * silentAfter + hopMargin * 2;
    m_due.push({now + made.wordDueIn, due_kind::Delegation, action.id});
    work.delegations.push_back(action.id);
    work.sends += 1;
    m_delegations.emplace(action.id, std::move(made));
    m_actions.emplace_back(std::move(action));
}

void gateway_engine::onProgress(delegation_id id, delegated_progress progress, millis now)
{
    const auto found = m_delegations.find(id);
    if (found == m_delegations.end()) {
        return;
    }
    found->second.heard = true;
    if (found->second.late) {
        m_distrustedUntil.erase(found->second.helper);
    }
    exchange &work = *m_exchanges.at(found->second.exchange);
    takeParts(work, progress, found->second);
    std::vector<lost_shard> lost;
    std::ranges::copy_if(progress.lost, std::back_inserter(lost), [&](const lost_shard &one) {
        return endsNow(found->second, one.shard);
    });
    const delegation from = found->second;
    if (progress.last) {
        m_delegations.erase(found);
        std::erase(work.delegations, id);
    }
    for (const lost_shard &one : lost) {
        if (!work.ended) {
            resumeCall(work, from.calls[one.shard], one, now);
        }
    }
    for (const pending_shard &pending : progress.pending) {
        if (pending.shard < from.calls.size() && !from.ended[pending.shard]) {
            notePending(work, from.calls[pending.shard], pending, now);
        }
    }
    if (!work.ended) {
        hedgeDue(work, now);
    }
    finishGatherIfDone(work, now);
    settle(work, now);
}

/**
 * Records of several shards come merged and can't be told apart again. If one of the shards was answered otherwise in
 * the meantime, its records would count twice in the answer; a helper therefore tells shards of which a second leaf may
 * be asked one by one, and what overlaps is left out.
 */
void gateway_engine::takeParts(exchange &work, delegated_progress &progress, delegation &from)
{
    const auto isOpen = [&](const delegated_part &part) {
        return part.shard < from.calls.size() && !from.ended[part.shard] && !work.calls[from.calls[part.shard]].done
            && !work.calls[from.calls[part.shard]].missing;
    };
    const bool allOpen = std::ranges::all_of(progress.parts, isOpen);
    for (delegated_part &part : progress.parts) {
        if (!allOpen && isOpen(part)) {
            progress.lost.push_back({part.shard, true, true, {}});
        } else if (!allOpen && endsNow(from, part.shard)) {
            work.calls[from.calls[part.shard]].handed -= 1;
        }
        if (allOpen && endsNow(from, part.shard)) {
            shard_call &call = work.calls[from.calls[part.shard]];
            call.handed -= 1;
            call.done = true;
            call.part.stamp = std::move(part.stamp);
            work.done += 1;
        }
    }
    if (allOpen) {
        work.mergedRecords.push_back(std::move(progress.records));
    }
}

/** @return whether this is the last word of a shard of this work, and not said before. */
bool gateway_engine::endsNow(delegation &from, std::uint32_t shard)
{
    if (shard >= from.calls.size() || from.ended[shard]) {
        return false;
    }
    from.ended[shard] = true;
    return true;
}

/** The leaf that the helper asked is silent: this VM, which counts the attempts, may ask another. */
void gateway_engine::notePending(exchange &work, std::size_t at, const pending_shard &pending, millis now)
{
    shard_call &call = work.calls[at];
    if (call.done || call.missing) {
        return;
    }
    if (std::shared_ptr<leaf> asked = m_leafs.find(pending.leafId)) {
        call.tried.push_back(std::move(asked));
    }
    call.nextHedge = std::min(call.nextHedge, now);
}

/** Another VM no longer has the shard in hand; this one goes on if it may. */
void gateway_engine::resumeCall(exchange &work, std::size_t at, const lost_shard &lost, millis now)
{
    shard_call &call = work.calls[at];
    call.handed -= 1;
    call.mayHaveRun -= lost.mayHaveRun ? 0 : 1;
    if (std::shared_ptr<leaf> asked = m_leafs.find(lost.leafId)) {
        call.tried.push_back(std::move(asked));
    }
    if (call.done || call.missing || call.open > 0 || call.handed > 0) {
        return;
    }
    if (lost.mayHaveRun || lost.reachedLeaf) {
        retryCall(work, at, "helper_gave_up", now);
        return;
    }
    const choice chosen = chooseLeaf(work, call, false, now);
    if (chosen.to) {
        sendCall(work, at, chosen.to, now);
    } else {
        failCall(work, at, chosen.reason(), now);
    }
}

/**
 * A first word that is overdue makes second leafs be asked, as if the first ones were silent; what the helper brings
 * all the same is taken. Only one that says nothing for as long again has lost the work. Taken over at once, the work
 * of helpers that were some milliseconds late was lost: on a calm day of 295 VMs with 0.12 of a core one lookup in six
 * missed nine parts or more of 180 for that.
 */
void gateway_engine::onWordDue(delegation_id id, millis now)
{
    const auto found = m_delegations.find(id);
    if (found == m_delegations.end() || found->second.heard) {
        return;
    }
    if (found->second.late) {
        takeOver(id, "helper_silent", now);
        return;
    }
    delegation &late = found->second;
    late.late = true;
    m_due.push({now + late.wordDueIn, due_kind::Delegation, id});
    m_distrustedUntil[late.helper] = now + distrustFor;
    exchange &work = *m_exchanges.at(late.exchange);
    note(work, "helper_late", "silent", nullptr, {late.helper}, now - work.arrivedAt, now);
    for (const std::size_t at : late.calls) {
        work.calls[at].nextHedge = std::min(work.calls[at].nextHedge, now);
    }
    hedgeDue(work, now);
    settle(work, now);
}

void gateway_engine::takeOver(delegation_id id, std::string_view cause, millis now)
{
    const auto found = m_delegations.find(id);
    if (found == m_delegations.end()) {
        return;
    }
    const delegation ended = std::move(found->second);
    m_delegations.erase(found);
    m_distrustedUntil[ended.helper] = now + distrustFor;
    m_actions.emplace_back(delegate_cancel_action {id, ended.helper, false});
    exchange &work = *m_exchanges.at(ended.exchange);
    std::erase(work.delegations, id);
    note(work, "helper_given_up", cause, nullptr, {ended.helper}, now - work.arrivedAt, now);
    for (std::size_t shard = 0; shard < ended.calls.size(); ++shard) {
        if (!ended.ended[shard] && !work.ended) {
            // Whether a leaf got it is not known: it counts as run and as arrived.
            resumeCall(work, ended.calls[shard], {0, true, true, {}}, now);
        }
    }
    settle(work, now);
}

void gateway_engine::onHelperLost(std::string_view address, millis now)
{
    std::vector<delegation_id> lost;
    for (const auto &[id, one] : m_delegations) {
        if (one.helper == address) {
            lost.push_back(id);
        }
    }
    std::ranges::for_each(lost, [&](delegation_id id) { takeOver(id, "helper_lost", now); });
}

void gateway_engine::dropDelegations(exchange &work, bool callerLeft)
{
    for (const delegation_id id : work.delegations) {
        const auto found = m_delegations.find(id);
        if (found != m_delegations.end()) {
            m_actions.emplace_back(delegate_cancel_action {id, found->second.helper, callerLeft});
            m_delegations.erase(found);
        }
    }
    work.delegations.clear();
}

// ---- the other side

exchange_id gateway_engine::arriveDelegated(std::string requestId, const delegated_work &asked, millis now)
{
    auto work = std::make_unique<exchange>();
    gateway_route &route = work->ownRoute.emplace();
    route.name = asked.route;
    route.idempotent = true;
    route.objective = asked.objective;
    route.timeout = asked.limitIn;
    route.maxAttempts = 1;
    route.shards = asked.shards;
    route.topRecords = asked.topRecords;
    route.minCoverage = 0;
    work->id = m_nextId++;
    work->requestId = std::move(requestId);
    work->table = m_table;
    work->route = &*work->ownRoute;
    work->pace = &paceOf(route);
    work->arrivedAt = now;
    work->cutoff = now + asked.cutoffIn;
    work->speakBy = now + asked.speakIn;
    work->limit = now + asked.limitIn;
    work->alone = asked.alone;
    addCalls(*work, route.shards);
    noteTried(*work, asked.triedLeafs);
    if (!m_table) {
        return refuseDelegated(*work, now); // just started: it knows no leafs yet
    }
    const exchange_id id = work->id;
    exchange &kept = *m_exchanges.emplace(id, std::move(work)).first->second;
    for (std::size_t at = 0; at < kept.calls.size(); ++at) {
        shard_call &call = kept.calls[at];
        const choice chosen = chooseLeaf(kept, call, false, now);
        if (chosen.to) {
            sendCall(kept, at, chosen.to, now);
        } else if (chosen.full) {
            call.waiting = true;
        } else {
            call.missing = true;
            kept.missing += 1;
        }
    }
    if (kept.missing > 0 && kept.missing < kept.calls.size()) {
        tellProgress(kept, false, now); // the VM that waits may know a leaf that this one does not
    }
    finishGatherIfDone(kept, now);
    settle(kept, now);
    return id;
}

void gateway_engine::noteTried(exchange &work, std::span<const std::string> leafIds)
{
    for (const std::string &id : leafIds) {
        const std::shared_ptr<leaf> tried = m_leafs.find(id);
        if (!tried) {
            continue;
        }
        const auto call = std::ranges::find(work.calls, tried->entry.service, &shard_call::service);
        if (call != work.calls.end()) {
            call->tried.push_back(tried);
        }
    }
}

exchange_id gateway_engine::refuseDelegated(exchange &work, millis now)
{
    std::ranges::for_each(work.calls, [](shard_call &call) { call.missing = true; });
    tellProgress(work, true, now);
    return work.id;
}

/** A leaf that could not be reached at all got nothing, so another one is the first. Anything else is for the VM that
 *  counts the attempts to decide. */
void gateway_engine::askElsewhere(exchange &work, std::size_t at, std::string_view cause, millis now)
{
    constexpr unsigned mostTries = 3;
    shard_call &call = work.calls[at];
    const bool first = !call.reachedLeaf && call.sends < mostTries;
    const choice chosen = first ? chooseLeaf(work, call, false, now) : choice();
    if (chosen.to) {
        sendCall(work, at, chosen.to, now);
        return;
    }
    failCall(work, at, cause, now);
    if (!work.ended) {
        tellProgress(work, false, now);
    }
}

/** Tells what has come since the last word; nothing if nothing has, unless it is the first or the last. */
void gateway_engine::tellProgress(exchange &work, bool last, millis now)
{
    const bool pendingDue = !work.pendingTold && now >= work.speakBy;
    work.pendingTold = work.pendingTold || pendingDue;
    delegated_progress word;
    word.last = last;
    std::vector<std::string_view> parts;
    for (std::size_t at = 0; at < work.calls.size(); ++at) {
        shard_call &call = work.calls[at];
        const auto shard = static_cast<std::uint32_t>(at);
        if (call.done && !call.told) {
            call.told = true;
            if (call.pendingTold || work.alone) {
                tellAlone(work, shard);
                continue;
            }
            word.parts.push_back({shard, call.part.stamp});
            parts.emplace_back(call.part.body);
        } else if (call.missing && !call.told) {
            call.told = true;
            word.lost.push_back({shard, call.mayHaveRun > 0, call.reachedLeaf, call.lastAsked});
        } else if (pendingDue && !call.done && !call.missing && !call.lastAsked.empty()) {
            call.pendingTold = true;
            word.pending.push_back({shard, call.lastAsked});
        }
    }
    word.records = mergeRecords(parts, work.route->topRecords);
    work.ended = work.ended || last;
    const bool news = !word.parts.empty() || !word.lost.empty() || !word.pending.empty();
    if (news || last || !work.spoke) {
        work.spoke = true;
        m_actions.emplace_back(progress_action {work.id, std::move(word)});
    }
}

void gateway_engine::tellAlone(const exchange &work, std::uint32_t shard)
{
    const gateway_reply &part = work.calls[shard].part;
    delegated_progress word;
    word.parts.push_back({shard, part.stamp});
    const std::vector<std::string_view> parts = {part.body};
    word.records = mergeRecords(parts, work.route->topRecords);
    m_actions.emplace_back(progress_action {work.id, std::move(word)});
}

void gateway_engine::onUnneeded(exchange_id id)
{
    const auto found = m_exchanges.find(id);
    if (found == m_exchanges.end()) {
        return;
    }
    for (auto &[sendId, one] : m_sends) {
        if (one.exchange == id) {
            one.exchange = 0; // its answer still tells of the leaf
        }
    }
    erase(id);
}

} // namespace chivelock
