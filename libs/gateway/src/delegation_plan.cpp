/** @file Division of a lookup over many shards among VMs. */

#include "exchange.h"

#include <algorithm>
#include <map>
#include <set>

namespace chivelock {

namespace {

std::size_t partsFor(std::size_t calls, std::size_t atOnce)
{
    return (calls + atOnce - 1) / atOnce;
}

} // namespace

bool gateway_engine::isResponsive(const std::string &helper, millis now) const
{
    const auto avoided = m_unresponsiveUntil.find(helper);
    return avoided == m_unresponsiveUntil.end() || avoided->second <= now;
}

gateway_engine::shard_zones gateway_engine::zonesOf(const exchange &work, const shard_call &call, millis now)
{
    shard_zones zones;
    std::set<zone_name> paused;
    for (const std::shared_ptr<leaf> &one : m_leafs.of(call.service)) {
        if (one->isLeaving() || !m_regions.allows(work.route->homeRegions, one->entry.zone)) {
            continue;
        }
        zones.all.insert(one->entry.zone);
        if (mayAsk(*one, now) && one->stalledSince() > now && admits(one->entry.zone, now)) {
            (isAvoided(work, *one, now) ? paused : zones.usable).insert(one->entry.zone);
        }
    }
    if (zones.usable.empty()) {
        zones.usable = std::move(paused);
    }
    return zones;
}

/**
 * @return into how many parts the shards of a zone are divided; call n belongs to part n % count, as does the VM of
 * rank n. The division is the same at all VMs, so that a leaf has connections from two or three VMs and not from all of
 * the zone: with random helpers, 67 VMs held so many connections that after a power loss leafs, which still counted the
 * dead ones, reset new ones for five seconds. Also, each VM queries its few leafs often enough to notice changes of
 * their health immediately.
 */
std::size_t gateway_engine::partCount(const zone_name &zone, std::size_t shards, millis now) const
{
    std::size_t vms = zone == m_settings.zone ? m_ownRank + 1 : 1;
    for (const helper_vm &helper : m_helpers) {
        vms = helper.zone == zone ? std::max<std::size_t>(vms, helper.rank + 1) : vms;
    }
    return std::max<std::size_t>(1, std::min(partsFor(shards, shardsAtOnceIn(zone, now)), vms));
}

/** @return the address of a VM to delegate the part to; empty if this VM queries it itself or no helper is usable. */
std::string gateway_engine::helperFor(const zone_name &zone, std::size_t part, std::size_t parts, millis now)
{
    if (zone == m_settings.zone && m_ownRank % parts == part) {
        return {};
    }
    std::vector<std::string> preferred;
    std::vector<std::string> others;
    for (const helper_vm &helper : m_helpers) {
        if (helper.zone == zone && isResponsive(helper.address, now)) {
            (helper.rank % parts == part ? preferred : others).push_back(helper.address);
        }
    }
    const std::vector<std::string> &from = preferred.empty() ? others : preferred;
    return from.empty() ? std::string() : from[m_random.below(from.size())];
}

/** Plans the delegation of the calls whose leafs are in @p zone, part by part; this VM sends the remaining calls. */
void gateway_engine::planZone(
    exchange &work, const zone_name &zone, std::span<const std::size_t> calls, helper_plan &plan, millis now)
{
    const std::size_t parts = work.partsByZone[zone];
    std::vector<std::vector<std::size_t>> groups(parts);
    std::ranges::for_each(calls, [&](std::size_t at) { groups[at % parts].push_back(at); });
    if (placeZone(work, zone, groups, plan, now)) {
        return;
    }
    for (std::size_t part = 0; part < parts; ++part) {
        std::string helper =
            groups[part].size() < minDelegatedShards ? std::string() : helperFor(zone, part, parts, now);
        if (!helper.empty()) {
            plan.push_back({std::move(helper), std::move(groups[part])});
        }
    }
}

/**
 * Plans which VM queries which leafs. Leafs of the own zone are queried by VMs of the own zone, and those of other
 * zones by VMs of their zone: one message with the merged parts then replaces one request and one answer for each shard
 * between the zones.
 */
gateway_engine::helper_plan gateway_engine::planHelpers(exchange &work, millis now)
{
    helper_plan plan;
    if (m_helpers.empty()) {
        return plan;
    }
    std::map<zone_name, std::vector<std::size_t>> byZone;
    std::map<zone_name, std::size_t> shardsIn; // includes paused leafs, so that the division into parts stays stable
    for (std::size_t at = 0; at < work.calls.size(); ++at) {
        const shard_call &call = work.calls[at];
        if (!call.isUnassigned() || call.waiting) {
            continue;
        }
        const shard_zones zones = zonesOf(work, call, now);
        std::ranges::for_each(zones.all, [&](const zone_name &zone) { shardsIn[zone] += 1; });
        if (zones.usable.contains(m_settings.zone)) {
            byZone[m_settings.zone].push_back(at);
        } else {
            std::ranges::for_each(zones.usable, [&](const zone_name &zone) { byZone[zone].push_back(at); });
        }
    }
    for (const auto &[zone, shards] : shardsIn) {
        work.partsByZone[zone] = partCount(zone, shards, now);
    }
    // Starts with the zone that has the most calls, which needs fewer messages.
    while (!byZone.empty()) {
        const auto most = std::ranges::max_element(byZone, {}, [](const auto &one) { return one.second.size(); });
        const std::size_t planned = plan.size();
        planZone(work, most->first, most->second, plan, now);
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

} // namespace chivelock
