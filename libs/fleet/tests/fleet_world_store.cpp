#include "fleet_world.h"

#include <algorithm>
#include <utility>

namespace chivelock::testing {

void fleet_world::write(const std::string &key, const std::string &value)
{
    const auto before = m_store.find(key);
    const bool exists = before != m_store.end() && !before->second.deleted;
    ++m_revision;
    m_store[key] = {key, m_revision, value.empty(), value, exists ? before->second.created : m_revision};
    m_writtenAt[m_revision] = m_now;
    for (std::size_t index = 0; index < m_processes.size(); ++index) {
        if (m_processes[index].reading && m_processes[index].storeAnswered) {
            scheduleStoreRead(index);
        }
    }
}

void fleet_world::setStoreUnavailable(std::size_t index, bool unavailable, bool unresponsive)
{
    m_processes[index].storeUnavailable = unavailable;
    m_processes[index].storeUnresponsive = unresponsive;
    if (!m_processes[index].node || !m_processes[index].node->isReading()) {
        return;
    }
    if (unavailable) {
        m_processes[index].storeAnswered = false;
        m_processes[index].node->onStoreState(prefix, false, m_now);
        performActions(index);
    }
    scheduleStoreCall(index, m_settings.storeLatency);
}

void fleet_world::scheduleStoreRead(std::size_t index)
{
    scheduleStoreCall(index, m_settings.storeLatency);
}

void fleet_world::scheduleStoreCall(std::size_t index, millis after)
{
    const std::uint64_t sequence = ++m_processes[index].lastStoreCall;
    const std::uint64_t incarnation = m_processes[index].incarnation;
    schedule(m_now + after, [this, index, sequence, incarnation] {
        if (isRunning(index, incarnation) && m_processes[index].lastStoreCall == sequence
            && m_processes[index].reading) {
            callStore(index);
        }
    });
}

void fleet_world::callStore(std::size_t index)
{
    simulated_process &process = m_processes[index];
    ++storeCalls;
    if (process.storeUnavailable) {
        const std::uint64_t incarnation = process.incarnation;
        schedule(m_now + (process.storeUnresponsive ? m_settings.storeCallTimeout : m_settings.oneWayDelay),
                 [this, index, incarnation] {
                     if (isRunning(index, incarnation) && m_processes[index].reading
                         && m_processes[index].storeUnavailable) {
                         m_processes[index].storeAnswered = false;
                         m_processes[index].node->onStoreState(prefix, false, m_now);
                         performActions(index);
                         constexpr millis retry(700);
                         scheduleStoreCall(index, retry);
                     }
                 });
        return;
    }
    std::vector<store_item> items;
    std::size_t bytes = 0;
    for (const auto &[key, item] : m_store) {
        if (item.revision > process.readRevision && !(process.readRevision == 0 && item.deleted)) {
            items.push_back(item);
            bytes += item.value.size();
        }
    }
    const std::uint64_t revision = m_revision;
    const millis watchStart = std::exchange(process.watchStartedAt, m_now);
    const millis currentAsOf = process.readRevision == 0 ? m_now : watchStart;
    const millis arrival =
        m_now + m_settings.storeLatency + millis(static_cast<double>(bytes) / m_settings.linkBytesPerMs);
    const std::uint64_t incarnation = process.incarnation;
    process.answersOnTheWay += 1;
    schedule(arrival, [this, index, incarnation, items, revision, bytes, currentAsOf] {
        if (!isRunning(index, incarnation)) {
            return;
        }
        m_processes[index].answersOnTheWay -= 1;
        if (m_processes[index].reading) {
            runOnProcessor(index, bytes, [this, index, items, revision, currentAsOf] {
                handleStoreResponse(index, items, revision);
                m_processes[index].node->onStoreFreshness(currentAsOf, m_now);
            });
        }
    });
}

void fleet_world::completeIdleWatch(std::size_t index)
{
    simulated_process &process = m_processes[index];
    if (process.reading && process.storeAnswered && !process.storeUnavailable && process.answersOnTheWay == 0
        && m_now - process.watchStartedAt >= storeWatchTimeout) {
        const millis watchStart = std::exchange(process.watchStartedAt, m_now);
        runOnProcessor(
            index, 0, [this, index, watchStart] { m_processes[index].node->onStoreFreshness(watchStart, m_now); });
    }
}

void fleet_world::handleStoreResponse(std::size_t index, const std::vector<store_item> &items, std::uint64_t revision)
{
    simulated_process &process = m_processes[index];
    if (!process.reading) {
        return;
    }
    if (!std::exchange(process.storeAnswered, true)) {
        process.node->onStoreState(prefix, true, m_now);
        performActions(index);
    }
    if (!process.reading) {
        return; // the node has started to follow another process
    }
    if (process.readRevision == 0) {
        ++fullContentReads;
        process.node->onStoreContents(prefix, items, revision);
    } else {
        process.node->onStoreChanges(prefix, items, revision);
    }
    process.readRevision = std::max(process.readRevision, revision);
    if (process.readRevision < m_revision) {
        scheduleStoreRead(index); // written while the answer was on its way
    }
}

void fleet_world::perform(std::size_t index, const read_action &action)
{
    simulated_process &process = m_processes[index];
    process.reading = action.reading;
    process.storeAnswered = false;
    const store_view &view = process.node->view(prefix);
    process.readRevision = view.known() ? view.revision() : 0;
    if (action.reading) {
        scheduleStoreCall(index, millis());
    }
}

} // namespace chivelock::testing
