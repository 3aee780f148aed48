#include "fleet_world.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <variant>

namespace chivelock::testing {

fleet_world::fleet_world(const fleet_world_settings &settings)
    : m_settings(settings)
    , m_random(settings.seed)
{
    m_processes.resize(settings.nodeCount);
    for (std::size_t index = 0; index < settings.nodeCount; ++index) {
        start(index, m_now + settings.startSpread * m_random.uniform());
    }
}

std::string fleet_world::addressOf(std::size_t index)
{
    return "10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250) + ":1";
}

zone_name fleet_world::zoneOf(std::size_t index) const
{
    return {"zone" + std::to_string(index % m_settings.zoneCount)};
}

void fleet_world::run(millis time)
{
    const millis end = m_now + time;
    while (!m_events.empty() && m_events.begin()->first <= end) {
        m_now = std::max(m_now, m_events.begin()->first);
        const std::function<void()> event = std::move(m_events.begin()->second);
        m_events.erase(m_events.begin());
        event();
    }
    m_now = end;
}

void fleet_world::setPaused(std::size_t index, bool paused)
{
    m_processes[index].paused = paused;
    if (!paused) {
        for (auto &[bytes, task] : std::exchange(m_processes[index].pausedTasks, {})) {
            runOnProcessor(index, bytes, std::move(task));
        }
    }
}

void fleet_world::kill(std::size_t index)
{
    std::vector<link_id> links;
    for (const auto &[key, end] : m_linkEnds) {
        if (key.first == index) {
            links.push_back(key.second);
        }
    }
    std::ranges::for_each(links, [&](link_id link) { closeLink(index, link); });
    m_processes[index] = {};
}

void fleet_world::leave(std::size_t index)
{
    m_processes[index].node->leave(m_now);
    performActions(index);
}

void fleet_world::restartAll(millis pause, millis spread)
{
    for (std::size_t index = 0; index < m_processes.size(); ++index) {
        kill(index);
    }
    for (std::size_t index = 0; index < m_processes.size(); ++index) {
        start(index, m_now + pause + spread * m_random.uniform());
    }
}

void fleet_world::start(std::size_t index, millis when)
{
    const std::uint64_t incarnation = ++m_processes[index].incarnation;
    schedule(when, [this, index, incarnation] {
        if (m_processes[index].incarnation == incarnation) {
            startProcess(index);
        }
    });
}

void fleet_world::report(std::size_t index, const std::string &leafId, double slowness)
{
    const std::vector<leaf_report> reports = {{digestOf(leafId), 0, slowness, false, m_now}};
    m_processes[index].node->report(reports);
}

void fleet_world::recordCrashes(std::size_t index,
                                const request_fingerprint &key,
                                attempt_tag attempt,
                                std::span<const leaf_digest> leafs,
                                bool alone)
{
    simulated_process &process = m_processes[index];
    process.ledger.recordCrashes(key, 0, attempt, leafs, alone, m_now);
    sendRequestEvidence(index);
}

void fleet_world::recordAnswer(std::size_t index, const request_fingerprint &key)
{
    m_processes[index].ledger.recordAnswer(key, m_now);
    sendRequestEvidence(index);
}

void fleet_world::clearMissedEvidence()
{
    std::ranges::for_each(m_processes, [](simulated_process &process) { process.missedEvidence.clear(); });
}

void fleet_world::schedule(millis when, std::function<void()> event)
{
    m_events.emplace(when, std::move(event));
}

void fleet_world::startProcess(std::size_t index)
{
    fleet_settings settings;
    settings.address = addressOf(index);
    settings.zone = zoneOf(index);
    settings.seeds = {addressOf(0), addressOf(1), addressOf(2)};
    settings.prefixes = {prefix};
    settings.fanOut = m_settings.fanOut;
    settings.drawInterval = m_settings.drawInterval;
    simulated_process &process = m_processes[index];
    process.node = std::make_unique<fleet_node>(settings, m_random.below(1U << 30U) + index);
    process.startedAt = m_now;
    process.node->start(m_now);
    performActions(index);
    tick(index, process.incarnation);
}

void fleet_world::tick(std::size_t index, std::uint64_t incarnation)
{
    if (!isRunning(index, incarnation)) {
        return;
    }
    if (!m_processes[index].paused) {
        m_processes[index].node->tick(m_now);
        completeIdleWatch(index);
        performActions(index);
    }
    schedule(m_now + tickInterval, [this, index, incarnation] { tick(index, incarnation); });
}

bool fleet_world::isRunning(std::size_t index, std::uint64_t incarnation) const
{
    return m_processes[index].node && m_processes[index].incarnation == incarnation;
}

void fleet_world::runOnProcessor(std::size_t index, std::size_t bytes, std::function<void()> task)
{
    const std::uint64_t incarnation = m_processes[index].incarnation;
    if (!isRunning(index, incarnation)) {
        return;
    }
    if (m_processes[index].paused) {
        m_processes[index].pausedTasks.emplace_back(bytes, std::move(task));
        return;
    }
    simulated_process &process = m_processes[index];
    process.busyUntil = std::max(process.busyUntil, m_now) + m_settings.cpuTimePerMessage
        + millis(static_cast<double>(bytes) / m_settings.cpuBytesPerMs);
    schedule(process.busyUntil, [this, index, incarnation, task = std::move(task)] {
        if (isRunning(index, incarnation)) {
            task();
            performActions(index);
        }
    });
}

void fleet_world::performActions(std::size_t index)
{
    simulated_process &process = m_processes[index];
    for (const fleet_action &action : process.node->takeActions()) {
        std::visit([&](const auto &typedAction) { perform(index, typedAction); }, action);
    }
    if (process.contentsKnownAt == millis::never() && process.node->view(prefix).known()) {
        process.contentsKnownAt = m_now;
        recordMissedEvidence(process);
    }
}

void fleet_world::perform(std::size_t index, const store_changes_action &action)
{
    for (const store_item &item : action.items) {
        std::string &values = m_processes[index].valuesByKey[item.key];
        values += (values.empty() ? "" : ",") + (item.deleted ? std::string("deleted") : item.value);
    }
}

void fleet_world::perform(std::size_t index, const members_action &action)
{
    m_processes[index].memberCount = action.members.size();
}

void fleet_world::perform(std::size_t index, const reports_action &action)
{
    std::ranges::copy(action.reports, std::back_inserter(m_processes[index].receivedReports));
}

void fleet_world::perform(std::size_t, const tree_event_action &action)
{
    logEvents.push_back(std::string(action.event) + " " + action.subject);
}

void fleet_world::perform(std::size_t index, const requests_action &action)
{
    const std::vector<request_evidence> newEvidence = m_processes[index].ledger.join(action.requests, m_now);
    requestEvidenceMessages += 1;
    m_processes[index].node->sendRequestEvidence(newEvidence, action.from, m_now);
    sendRequestEvidence(index); // evidence that this node's ledger added to the received evidence
}

void fleet_world::perform(std::size_t index, const link_joined_action &action)
{
    m_processes[index].node->sendAllRequestEvidence(action.link, m_processes[index].ledger.all(), m_now);
    performActions(index);
}

void fleet_world::sendRequestEvidence(std::size_t index)
{
    m_processes[index].node->sendRequestEvidence(m_processes[index].ledger.takeUpdates(), 0, m_now);
    performActions(index);
}

void fleet_world::recordMissedEvidence(simulated_process &started) const
{
    for (const simulated_process &other : m_processes) {
        for (const request_evidence &evidence : other.ledger.all()) {
            if (started.ledger.find(evidence.key) == nullptr) {
                started.missedEvidence.insert(evidence.key);
            }
        }
    }
}

} // namespace chivelock::testing
