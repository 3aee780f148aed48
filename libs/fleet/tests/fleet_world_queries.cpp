#include "fleet_world.h"

#include <algorithm>

namespace chivelock::testing {

std::size_t fleet_world::countFalselyCurrent() const
{
    return countNodes([&](const simulated_process &process) {
        return !process.paused && std::ranges::any_of(m_store, [&](const auto &item) {
            const store_view::stored_value *held = process.node->view(prefix).find(item.first);
            const bool known = item.second.deleted || (held != nullptr && held->revision >= item.second.revision);
            return !known && m_writtenAt.at(item.second.revision) + storeUpdateDelay < process.node->currentAsOf();
        });
    });
}

millis fleet_world::maxFreshnessAge() const
{
    millis maxAge;
    for (const simulated_process &process : m_processes) {
        if (process.node && !process.paused) {
            maxAge = std::max(maxAge, m_now - process.node->currentAsOf());
        }
    }
    return maxAge;
}

std::size_t fleet_world::countReaders() const
{
    return countNodes([](const simulated_process &process) { return process.node->isReading() && !process.paused; });
}

std::size_t fleet_world::countHolders(const std::string &key) const
{
    const auto item = m_store.find(key);
    const std::uint64_t revision = item == m_store.end() ? 0 : item->second.revision;
    return countNodes([&](const simulated_process &process) {
        const store_view::stored_value *held = process.node->view(prefix).find(key);
        return held != nullptr && held->revision == revision && held->value == item->second.value;
    });
}

std::size_t fleet_world::countCrossZoneLinks() const
{
    std::size_t crossZoneLinks = 0;
    for (const auto &[key, end] : m_linkEnds) {
        const bool isDiallingEnd = key.second < firstIncomingLink;
        crossZoneLinks += isDiallingEnd && end.open && zoneOf(key.first) != zoneOf(end.peer) ? 1 : 0;
    }
    return crossZoneLinks;
}

std::size_t fleet_world::countInQuarantineState(const request_fingerprint &key, quarantine_state state) const
{
    return countNodes(
        [&](const simulated_process &process) { return process.ledger.quarantineStateOf(key, m_now) == state; });
}

std::size_t fleet_world::countWithMissedEvidence(const request_fingerprint &key) const
{
    return countNodes([&](const simulated_process &process) { return process.missedEvidence.contains(key); });
}

std::string fleet_world::valuesReceived(std::size_t index, const std::string &key) const
{
    const auto found = m_processes[index].valuesByKey.find(key);
    return found == m_processes[index].valuesByKey.end() ? std::string() : found->second;
}

std::size_t fleet_world::maxFollowers() const
{
    std::map<std::size_t, std::size_t> counts;
    for (const auto &[key, end] : m_linkEnds) {
        counts[key.first] += key.second >= firstIncomingLink ? 1 : 0;
    }
    std::size_t maximum = 0;
    std::ranges::for_each(counts, [&](const auto &entry) { maximum = std::max(maximum, entry.second); });
    return maximum;
}

std::size_t fleet_world::countFollowers(std::size_t index) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_linkEnds, [index](const auto &entry) {
        return entry.first.first == index && entry.first.second >= firstIncomingLink;
    }));
}

millis fleet_world::maxStartupTime() const
{
    millis maximum;
    for (const simulated_process &process : m_processes) {
        maximum = std::max(maximum,
                           process.contentsKnownAt == millis::never() ? process.contentsKnownAt
                                                                      : process.contentsKnownAt - process.startedAt);
    }
    return maximum;
}

std::size_t fleet_world::countNodes(const std::function<bool(const simulated_process &)> &predicate) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_processes, [&](const simulated_process &process) { return process.node && predicate(process); }));
}

} // namespace chivelock::testing
