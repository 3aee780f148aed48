/** @file Which VM queries which shards, by the capacity and backlog of the VMs of their zone. */

#include "exchange.h"

#include <algorithm>

namespace chivelock {

namespace {

constexpr millis reportMargin(3); // for the message there and back, and for reading it on a busy small VM

} // namespace

/** VMs that can take parts of the shards of one zone; this VM has an empty address. */
struct gateway_engine::zone_vms {
    std::vector<std::string_view> addresses;
    std::vector<placement::vm> vms; ///< in the same order
};

void gateway_engine::setHelpers(std::vector<helper_vm> helpers, std::size_t ownRank)
{
    m_helpers = std::move(helpers);
    m_ownRank = ownRank;
    m_vmLoads.retain([&](const std::string &address) {
        return std::ranges::find(m_helpers, address, &helper_vm::address) != m_helpers.end();
    });
}

/** @return how late this VM handles events; 0 if it was not measured recently. */
millis gateway_engine::ownLag(millis now) const
{
    return placement::fadedLag(m_ownLoad.lag, now - m_ownLoadAt);
}

/** A helper whose capacity is unknown is assumed to have that of this VM. */
gateway_engine::zone_vms gateway_engine::vmsOf(const zone_name &zone, bool withUnresponsive, millis now) const
{
    zone_vms result;
    const auto add = [&](std::string_view address, const placement::vm &one) {
        result.addresses.push_back(address);
        result.vms.push_back(one);
    };
    if (zone == m_settings.zone) {
        add({}, {m_ownRank, m_settings.capacity, ownLag(now), {}, true, false});
    }
    for (const helper_vm &helper : m_helpers) {
        if (helper.zone == zone && (withUnresponsive || isResponsive(helper.address, now))) {
            const double capacity = m_vmLoads.capacityOf(helper.address).value_or(m_settings.capacity);
            const millis lag = m_vmLoads.lagOf(helper.address, now);
            add(helper.address, {helper.rank, capacity, lag, m_vmLoads.busyFor(helper.address, now), false, false});
        }
    }
    return result;
}

/**
 * @return the number of shards that the smallest VM of the zone queries at once. VMs that are unresponsive for a moment
 * count as well, so that all VMs divide the shards into the same parts.
 */
std::size_t gateway_engine::shardsAtOnceIn(const zone_name &zone, millis now) const
{
    const zone_vms known = m_settings.scheduling.placement ? vmsOf(zone, true, now) : zone_vms();
    const auto differs = [&](const placement::vm &one) {
        return !placement::isSameCapacity(one.capacity, m_settings.capacity);
    };
    if (std::ranges::none_of(known.vms, differs)) {
        return m_settings.maxShardsPerVm;
    }
    return placement::shardsAtOnce(std::ranges::min(known.vms, {}, &placement::vm::capacity).capacity);
}

/**
 * Plans the delegation of the calls of a zone by the expected finish of its VMs.
 * @param groups calls of each part.
 * @return false if the VMs are equal or placement is off, so that there is nothing to weigh.
 */
bool gateway_engine::placeZone(exchange &work,
                               const zone_name &zone,
                               std::span<const std::vector<std::size_t>> groups,
                               helper_plan &plan,
                               millis now)
{
    const zone_vms known = m_settings.scheduling.placement ? vmsOf(zone, false, now) : zone_vms();
    if (!placement::isUneven(known.vms)) {
        return false;
    }
    std::vector<placement::part> parts;
    for (std::size_t at = 0; at < groups.size(); ++at) {
        parts.push_back({groups[at].size(), placement::servingVms(known.vms, at, groups.size())});
    }
    const std::vector<std::size_t> vmOfPart = placement::plan(parts, known.vms, m_settings.capacity, m_random);
    std::vector<std::vector<std::size_t>> callsOfVm(known.vms.size());
    for (std::size_t at = 0; at < groups.size(); ++at) {
        if (vmOfPart[at] != placement::nobody) {
            std::ranges::copy(groups[at], std::back_inserter(callsOfVm[vmOfPart[at]]));
        }
    }
    const placement::placed_parts placed = placement::countPlaced(vmOfPart, known.vms);
    work.placed += placed;
    m_placed += placed;
    for (std::size_t at = 0; at < callsOfVm.size(); ++at) {
        if (!known.vms[at].isOwn && callsOfVm[at].size() >= minDelegatedShards) {
            const std::string helper(known.addresses[at]);
            m_vmLoads.onDelegated(helper, callsOfVm[at].size(), known.vms[at].capacity, now);
            plan.push_back({helper, std::move(callsOfVm[at])});
        }
    }
    return true;
}

/** @return the address of the VM that sends a request to a second leaf; empty if this VM does. */
std::string
gateway_engine::secondHelperFor(exchange &work, const zone_name &zone, std::size_t part, std::size_t parts, millis now)
{
    zone_vms known = m_settings.scheduling.placement ? vmsOf(zone, false, now) : zone_vms();
    if (!placement::isUneven(known.vms)) {
        return helperFor(zone, part, parts, now);
    }
    for (std::size_t at = 0; at < known.vms.size(); ++at) {
        known.vms[at].hasMessage = work.secondSends.contains(std::string(known.addresses[at]));
    }
    const placement::part wanted {1, placement::servingVms(known.vms, part, parts)};
    const std::size_t chosen = placement::plan({&wanted, 1}, known.vms, m_settings.capacity, m_random).front();
    if (chosen == placement::nobody || known.vms[chosen].isOwn) {
        return {};
    }
    std::string helper(known.addresses[chosen]);
    m_vmLoads.onDelegated(helper, 1, known.vms[chosen].capacity, now);
    return helper;
}

/** A report that comes later than agreed shows that the helper or the link to it is behind, whatever it reports. */
void gateway_engine::recordReportDelay(const delegation &from, millis now)
{
    const millis before = m_vmLoads.lagOf(from.helper, now);
    const millis elapsed = now - from.delegatedAt;
    m_vmLoads.onReportDelay(from.helper, elapsed, from.reportExpectedIn + reportMargin + ownLag(now), now);
    const millis lag = m_vmLoads.lagOf(from.helper, now);
    if (before == millis() && lag > millis()) {
        logEvent(*m_exchanges.at(from.exchange), "helper_behind", "late_report", nullptr, {from.helper}, lag, now);
    }
}

} // namespace chivelock
