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
gateway_engine::helper_plan gateway_engine::planHelpers(const exchange &work, millis now)
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
    // The zone that has most first: fewer messages.
    while (!byZone.empty()) {
        const auto most = std::ranges::max_element(byZone, {}, [](const auto &one) { return one.second.size(); });
        const std::size_t planned = plan.size();
        planZone(most->first, most->second, partsOf(most->first, shardsIn[most->first]), plan, now);
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
    for (const std::size_t at : calls) {
        shard_call &call = work.calls[at];
        call.delegated = true;
        call.mayHaveRun = 1;
        budgetOf(call.service).countRequest(now);
        action.work.shards.push_back(call.service);
    }
    delegation made;
    made.exchange = work.id;
    made.helper = helper;
    made.calls = std::move(calls);
    made.takeOverAt = now + action.work.speakIn * silentAfter + hopMargin * 2;
    m_due.push({made.takeOverAt, due_kind::Delegation, action.id});
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
    const std::vector<std::size_t> calls = found->second.calls;
    exchange &work = *m_exchanges.at(found->second.exchange);
    if (progress.last) {
        m_delegations.erase(found);
        std::erase(work.delegations, id);
    }
    const auto valid = [&](std::uint32_t shard) { return shard < calls.size(); };
    takeParts(work, progress, calls);
    for (const lost_shard &lost : progress.lost) {
        if (valid(lost.shard) && work.calls[calls[lost.shard]].delegated && !work.ended) {
            resumeCall(work, calls[lost.shard], lost, now);
        }
    }
    for (const pending_shard &pending : progress.pending) {
        if (valid(pending.shard)) {
            notePending(work, calls[pending.shard], pending, now);
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
void gateway_engine::takeParts(exchange &work, delegated_progress &progress, std::span<const std::size_t> calls)
{
    const auto isOpen = [&](const delegated_part &part) {
        return part.shard < calls.size() && !work.calls[calls[part.shard]].done
            && !work.calls[calls[part.shard]].missing;
    };
    const bool allOpen = std::ranges::all_of(progress.parts, isOpen);
    for (delegated_part &part : progress.parts) {
        if (!allOpen && isOpen(part)) {
            progress.lost.push_back({part.shard, true, true});
        }
        if (allOpen) {
            shard_call &call = work.calls[calls[part.shard]];
            call.delegated = false;
            call.done = true;
            call.part.stamp = std::move(part.stamp);
            work.done += 1;
        }
    }
    if (allOpen) {
        work.mergedRecords.push_back(std::move(progress.records));
    }
}

/** The leaf that the helper asked is silent: this VM, which counts the attempts, may ask another. */
void gateway_engine::notePending(exchange &work, std::size_t at, const pending_shard &pending, millis now)
{
    shard_call &call = work.calls[at];
    if (call.done || call.missing || !call.delegated) {
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
    call.delegated = false;
    call.mayHaveRun -= lost.mayHaveRun ? 0 : 1;
    if (call.done || call.missing || call.open > 0) {
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
    for (const std::size_t at : ended.calls) {
        if (work.calls[at].delegated && !work.ended) {
            // Whether a leaf got it is not known: it counts as run and as arrived.
            resumeCall(work, at, {0, true, true}, now);
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
    addCalls(*work, route.shards);
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
            if (call.pendingTold) {
                tellAlone(work, shard);
                continue;
            }
            word.parts.push_back({shard, call.part.stamp});
            parts.emplace_back(call.part.body);
        } else if (call.missing && !call.told) {
            call.told = true;
            word.lost.push_back({shard, call.mayHaveRun > 0, call.reachedLeaf});
        } else if (pendingDue && !call.done && !call.missing && !call.tried.empty()) {
            call.pendingTold = true;
            word.pending.push_back({shard, call.tried.back()->entry.id});
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
