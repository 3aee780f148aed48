#pragma once

/**
 * @file
 * Simulates a fleet of processes and the store in virtual time: links with latency and bandwidth, processors with
 * limited throughput, and a store that responds with a delay, refuses calls or leaves them unanswered. Every message is
 * encoded and decoded by the wire codec.
 */

#include <fleet/fleet.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace chivelock::testing {

inline const std::string prefix = "p/";

/** Parameters of a simulated fleet. */
struct fleet_world_settings {
    std::size_t nodeCount = 8;
    std::size_t zoneCount = 1;
    std::size_t fanOut = 8;
    millis startSpread {}; ///< each node starts at a random time within this interval
    millis oneWayDelay {1}; ///< between two nodes
    double linkBytesPerMs = 1e9; ///< bandwidth of a node's link, in each direction
    millis cpuTimePerMessage {}; ///< processor time of a node for a message or a new connection
    double cpuBytesPerMs = 1e9; ///< rate at which a node's processor handles the bytes of messages
    millis storeLatency {4}; ///< from a call to the store until it responds
    millis storeCallTimeout {500}; ///< a call that the store has not answered by then fails
    millis drawInterval {60};
    std::uint64_t seed = 1;
};

class fleet_world
{
public:
    explicit fleet_world(std::size_t nodeCount, std::size_t fanOut = 8)
        : fleet_world(fleet_world_settings {.nodeCount = nodeCount, .fanOut = fanOut})
    {
    }

    explicit fleet_world(const fleet_world_settings &settings)
        : m_settings(settings)
        , m_random(settings.seed)
    {
        m_processes.resize(settings.nodeCount);
        for (std::size_t index = 0; index < settings.nodeCount; ++index) {
            start(index, m_now + settings.startSpread * m_random.uniform());
        }
    }

    static std::string addressOf(std::size_t index)
    {
        return "10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250) + ":1";
    }

    [[nodiscard]] zone_name zoneOf(std::size_t index) const
    {
        return {"zone" + std::to_string(index % m_settings.zoneCount)};
    }

    void write(const std::string &key, const std::string &value)
    {
        m_store[key] = {key, ++m_revision, value.empty(), value};
        m_writtenAt[m_revision] = m_now;
        for (std::size_t index = 0; index < m_processes.size(); ++index) {
            if (m_processes[index].reading && m_processes[index].storeAnswered) {
                scheduleStoreRead(index);
            }
        }
    }

    void run(millis time)
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

    /** Pauses or resumes the process of a node. Messages that arrive during the pause are handled afterwards, in order.
     */
    void setPaused(std::size_t index, bool paused)
    {
        m_processes[index].paused = paused;
        if (!paused) {
            for (auto &[bytes, task] : std::exchange(m_processes[index].pausedTasks, {})) {
                runOnProcessor(index, bytes, std::move(task));
            }
        }
    }

    /** @return the number of running nodes whose store freshness is false: they report being current as of a time by
     *  which the store had accepted an update that they do not have. */
    [[nodiscard]] std::size_t countFalselyCurrent() const
    {
        return countNodes([&](const simulated_process &process) {
            return !process.paused && std::ranges::any_of(m_store, [&](const auto &item) {
                const store_view::stored_value *held = process.node->view(prefix).find(item.first);
                const bool known = item.second.deleted || (held != nullptr && held->revision >= item.second.revision);
                return !known && m_writtenAt.at(item.second.revision) + storeUpdateDelay < process.node->currentAsOf();
            });
        });
    }

    /** @return the age of the store freshness of the running node that lags most. */
    [[nodiscard]] millis maxFreshnessAge() const
    {
        millis maxAge;
        for (const simulated_process &process : m_processes) {
            if (process.node && !process.paused) {
                maxAge = std::max(maxAge, m_now - process.node->currentAsOf());
            }
        }
        return maxAge;
    }

    /** Ends the process of a node at once; its connections are closed. */
    void kill(std::size_t index)
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

    /** Tells a node to stop. Its process runs until @ref kill. */
    void leave(std::size_t index)
    {
        m_processes[index].node->leave(m_now);
        performActions(index);
    }

    /** Kills all processes and starts each at a random time within @p spread after @p pause. */
    void restartAll(millis pause, millis spread)
    {
        for (std::size_t index = 0; index < m_processes.size(); ++index) {
            kill(index);
        }
        for (std::size_t index = 0; index < m_processes.size(); ++index) {
            start(index, m_now + pause + spread * m_random.uniform());
        }
    }

    void start(std::size_t index, millis when)
    {
        const std::uint64_t incarnation = ++m_processes[index].incarnation;
        schedule(when, [this, index, incarnation] {
            if (m_processes[index].incarnation == incarnation) {
                startProcess(index);
            }
        });
    }

    /** Makes the store unavailable to a node, or available again. @param unresponsive calls time out instead of being
     *  refused. */
    void setStoreUnavailable(std::size_t index, bool unavailable, bool unresponsive = false)
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

    /** Drops all messages between the first @p count nodes and the rest, without closing links; 0 ends the partition.
     */
    void partition(std::size_t count)
    {
        m_partitionSize = count;
    }

    /** Modifies each store update that is sent, to inject faults. */
    std::function<void(store_items &)> corruptItems = [](store_items &) {};

    [[nodiscard]] std::size_t countReaders() const
    {
        return countNodes(
            [](const simulated_process &process) { return process.node->isReading() && !process.paused; });
    }

    [[nodiscard]] std::size_t countHolders(const std::string &key) const
    {
        const auto item = m_store.find(key);
        const std::uint64_t revision = item == m_store.end() ? 0 : item->second.revision;
        return countNodes([&](const simulated_process &process) {
            const store_view::stored_value *held = process.node->view(prefix).find(key);
            return held != nullptr && held->revision == revision && held->value == item->second.value;
        });
    }

    /** @return the number of tree links between nodes of different zones. */
    [[nodiscard]] std::size_t countCrossZoneLinks() const
    {
        std::size_t crossZoneLinks = 0;
        for (const auto &[key, end] : m_linkEnds) {
            const bool isDiallingEnd = key.second < firstIncomingLink;
            crossZoneLinks += isDiallingEnd && end.open && zoneOf(key.first) != zoneOf(end.peer) ? 1 : 0;
        }
        return crossZoneLinks;
    }

    [[nodiscard]] const fleet_node &node(std::size_t index) const
    {
        return *m_processes[index].node;
    }

    void report(std::size_t index, const std::string &leafId, double slowness)
    {
        const std::vector<leaf_report> reports = {{digestOf(leafId), 0, slowness, false, m_now}};
        m_processes[index].node->report(reports);
    }

    /** Records at a node that leafs crashed while they ran an attempt, and sends the evidence to the fleet. */
    void recordCrashes(std::size_t index,
                       const request_fingerprint &key,
                       attempt_tag attempt,
                       std::span<const leaf_digest> leafs,
                       bool alone)
    {
        simulated_process &process = m_processes[index];
        process.ledger.recordCrashes(key, 0, attempt, leafs, alone, m_now);
        sendRequestEvidence(index);
    }

    void recordAnswer(std::size_t index, const request_fingerprint &key)
    {
        m_processes[index].ledger.recordAnswer(key, m_now);
        sendRequestEvidence(index);
    }

    /** @return the number of running nodes that assign this quarantine state to the request. */
    [[nodiscard]] std::size_t countInQuarantineState(const request_fingerprint &key, quarantine_state state) const
    {
        return countNodes(
            [&](const simulated_process &process) { return process.ledger.quarantineStateOf(key, m_now) == state; });
    }

    void clearMissedEvidence()
    {
        std::ranges::for_each(m_processes, [](simulated_process &process) { process.missedEvidence.clear(); });
    }

    /** @return the number of running nodes that received their first full contents before the evidence about the
     * request that other nodes already had. */
    [[nodiscard]] std::size_t countWithMissedEvidence(const request_fingerprint &key) const
    {
        return countNodes([&](const simulated_process &process) { return process.missedEvidence.contains(key); });
    }

    /** @return the leaf reports that a node has received from other nodes. */
    [[nodiscard]] const std::vector<leaf_report> &receivedReportsAt(std::size_t index) const
    {
        return m_processes[index].receivedReports;
    }

    /** @return the values of a key that a node has received since its start, in order, separated by commas. */
    [[nodiscard]] std::string valuesReceived(std::size_t index, const std::string &key) const
    {
        const auto found = m_processes[index].valuesByKey.find(key);
        return found == m_processes[index].valuesByKey.end() ? std::string() : found->second;
    }

    [[nodiscard]] std::size_t memberCountAt(std::size_t index) const
    {
        return m_processes[index].memberCount;
    }

    [[nodiscard]] millis now() const
    {
        return m_now;
    }

    [[nodiscard]] std::size_t maxFollowers() const
    {
        std::map<std::size_t, std::size_t> counts;
        for (const auto &[key, end] : m_linkEnds) {
            counts[key.first] += key.second >= firstIncomingLink ? 1 : 0;
        }
        std::size_t maximum = 0;
        std::ranges::for_each(counts, [&](const auto &entry) { maximum = std::max(maximum, entry.second); });
        return maximum;
    }

    [[nodiscard]] std::size_t countFollowers(std::size_t index) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(m_linkEnds, [index](const auto &entry) {
            return entry.first.first == index && entry.first.second >= firstIncomingLink;
        }));
    }

    /** @return the longest time from the start of a node until it had the full contents; never() while a node has none.
     */
    [[nodiscard]] millis maxStartupTime() const
    {
        millis maximum;
        for (const simulated_process &process : m_processes) {
            maximum =
                std::max(maximum,
                         process.contentsKnownAt == millis::never() ? process.contentsKnownAt
                                                                    : process.contentsKnownAt - process.startedAt);
        }
        return maximum;
    }

    std::size_t fullContentReads = 0;
    std::size_t storeCalls = 0;
    std::size_t connectionAttempts = 0; ///< including failed ones
    std::size_t crossZoneBytes = 0; ///< bytes sent between nodes of different zones
    std::size_t requestEvidenceMessages = 0; ///< messages with request evidence that were received
    std::vector<std::string> logEvents; ///< log events of the tree: name and subject

private:
    static constexpr link_id firstIncomingLink = link_id {1} << 40U;
    static constexpr millis tickInterval {100};
    static constexpr millis connectionRefusedDelay {0.5};
    static constexpr millis storeWatchTimeout {400};
    static constexpr millis storeUpdateDelay {30}; ///< allowed for an update from the store to a waiting node

    struct simulated_process {
        std::unique_ptr<fleet_node> node;
        std::uint64_t incarnation = 0; ///< increases with each start
        bool paused = false;
        bool storeUnavailable = false;
        bool storeUnresponsive = false;
        bool reading = false;
        bool storeAnswered = false;
        std::uint64_t lastStoreCall = 0; ///< sequence number; a scheduled call with a lower one is cancelled
        std::size_t memberCount = 0;
        std::vector<leaf_report> receivedReports;
        std::map<std::string, std::string> valuesByKey; ///< received since the start, separated by commas
        request_ledger ledger {quarantine_settings()};
        std::set<request_fingerprint> missedEvidence; ///< requests with evidence at other nodes but not at this one
                                                      ///< when it received its first full contents
        std::uint64_t readRevision = 0;
        millis watchStartedAt; ///< when the watch that the store currently holds was started
        millis startedAt;
        millis contentsKnownAt = millis::never();
        millis busyUntil;
        millis linkFreeAt;
        /** Tasks queued while the process is paused, with their sizes in bytes. */
        std::vector<std::pair<std::size_t, std::function<void()>>> pausedTasks;
    };

    /** One end of a connection. */
    struct link_end {
        std::size_t peer = 0;
        link_id peerLink = 0;
        bool open = false;
    };

    using link_key = std::pair<std::size_t, link_id>;

    [[nodiscard]] std::size_t countNodes(const std::function<bool(const simulated_process &)> &predicate) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            m_processes, [&](const simulated_process &process) { return process.node && predicate(process); }));
    }

    void schedule(millis when, std::function<void()> event)
    {
        m_events.emplace(when, std::move(event));
    }

    void startProcess(std::size_t index)
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

    void tick(std::size_t index, std::uint64_t incarnation)
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

    [[nodiscard]] bool isRunning(std::size_t index, std::uint64_t incarnation) const
    {
        return m_processes[index].node && m_processes[index].incarnation == incarnation;
    }

    [[nodiscard]] bool isPartitioned(std::size_t a, std::size_t b) const
    {
        return (a < m_partitionSize) != (b < m_partitionSize);
    }

    /** Runs a task on a node's processor as soon as the processor is free. */
    void runOnProcessor(std::size_t index, std::size_t bytes, std::function<void()> task)
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

    /** Occupies the link of @p from with bytes sent now. @return the time of their arrival. */
    millis occupyLink(std::size_t from, std::size_t bytes)
    {
        simulated_process &process = m_processes[from];
        process.linkFreeAt =
            std::max(process.linkFreeAt, m_now) + millis(static_cast<double>(bytes) / m_settings.linkBytesPerMs);
        return process.linkFreeAt + m_settings.oneWayDelay;
    }

    // ---- the store

    void scheduleStoreRead(std::size_t index)
    {
        scheduleStoreCall(index, m_settings.storeLatency);
    }

    void scheduleStoreCall(std::size_t index, millis after)
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

    void callStore(std::size_t index)
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
        schedule(arrival, [this, index, incarnation, items, revision, bytes, currentAsOf] {
            if (isRunning(index, incarnation) && m_processes[index].reading) {
                runOnProcessor(index, bytes, [this, index, items, revision, currentAsOf] {
                    handleStoreResponse(index, items, revision);
                    m_processes[index].node->onStoreFreshness(currentAsOf, m_now);
                });
            }
        });
    }

    /** Completes a watch during which the store accepted no update. */
    void completeIdleWatch(std::size_t index)
    {
        simulated_process &process = m_processes[index];
        if (process.reading && process.storeAnswered && !process.storeUnavailable
            && m_now - process.watchStartedAt >= storeWatchTimeout) {
            const millis watchStart = std::exchange(process.watchStartedAt, m_now);
            runOnProcessor(
                index, 0, [this, index, watchStart] { m_processes[index].node->onStoreFreshness(watchStart, m_now); });
        }
    }

    void handleStoreResponse(std::size_t index, const std::vector<store_item> &items, std::uint64_t revision)
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
    }

    // ---- actions of the nodes

    void performActions(std::size_t index)
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

    void perform(std::size_t index, const dial_action &action)
    {
        ++connectionAttempts;
        for (std::size_t to = 0; to < m_processes.size(); ++to) {
            if (addressOf(to) != action.address) {
                continue;
            }
            if (isPartitioned(index, to) || m_processes[to].paused) {
                failLinkLater(index, action.link, millis(300));
            } else if (!m_processes[to].node) {
                failLinkLater(index, action.link, connectionRefusedDelay);
            } else {
                connect(index, action.link, to);
            }
            return;
        }
    }

    void failLinkLater(std::size_t index, link_id link, millis after)
    {
        const std::uint64_t incarnation = m_processes[index].incarnation;
        schedule(m_now + after, [this, index, link, incarnation] {
            if (isRunning(index, incarnation)) {
                m_processes[index].node->onLinkClosed(link, m_now);
                performActions(index);
            }
        });
    }

    void connect(std::size_t index, link_id link, std::size_t to)
    {
        const link_id incoming = firstIncomingLink + m_nextIncomingLink++;
        m_linkEnds[{index, link}] = {to, incoming, false};
        m_linkEnds[{to, incoming}] = {index, link, false};
        runOnProcessor(to, 0, [] {}); // accepting the connection takes processor time
        schedule(m_now + m_settings.oneWayDelay * 2, [this, index, link] {
            if (m_linkEnds.contains({index, link})) {
                m_linkEnds[{index, link}].open = true;
                runOnProcessor(index, 0, [this, index, link] { m_processes[index].node->onLinkOpen(link, m_now); });
            }
        });
    }

    void perform(std::size_t index, const send_message_action &action)
    {
        fleet_message message = action.message;
        if (auto *items = std::get_if<store_items>(&message)) {
            corruptItems(*items);
        }
        const std::string frame = encodeFleetFrame(message);
        std::ranges::for_each(action.links, [&](link_id link) { sendFrame(index, link, frame); });
    }

    void sendFrame(std::size_t index, link_id link, const std::string &frame)
    {
        const auto end = m_linkEnds.find({index, link});
        if (end == m_linkEnds.end()) {
            return;
        }
        const link_end receiver = end->second;
        crossZoneBytes += zoneOf(index) == zoneOf(receiver.peer) ? 0 : frame.size();
        if (isPartitioned(index, receiver.peer)) {
            return;
        }
        schedule(occupyLink(index, frame.size()), [this, receiver, frame] {
            if (!m_linkEnds.contains({receiver.peer, receiver.peerLink})) {
                return;
            }
            runOnProcessor(receiver.peer, frame.size(), [this, receiver, frame] {
                const std::vector<std::uint8_t> payload(frame.begin() + 4, frame.end());
                m_processes[receiver.peer].node->onMessage(
                    receiver.peerLink, decodeFleetPayload(payload).value(), m_now);
            });
        });
    }

    void perform(std::size_t index, const close_link_action &action)
    {
        closeLink(index, action.link);
    }

    void closeLink(std::size_t index, link_id link)
    {
        const auto end = m_linkEnds.find({index, link});
        if (end == m_linkEnds.end()) {
            return;
        }
        const link_end other = end->second;
        m_linkEnds.erase(end);
        const std::uint64_t incarnation = m_processes[other.peer].incarnation;
        schedule(m_now + m_settings.oneWayDelay, [this, other, incarnation] {
            const bool known = m_linkEnds.erase({other.peer, other.peerLink}) > 0;
            if (known && isRunning(other.peer, incarnation) && !m_processes[other.peer].paused) {
                m_processes[other.peer].node->onLinkClosed(other.peerLink, m_now);
                performActions(other.peer);
            }
        });
    }

    void perform(std::size_t index, const read_action &action)
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

    void perform(std::size_t index, const store_changes_action &action)
    {
        for (const store_item &item : action.items) {
            std::string &values = m_processes[index].valuesByKey[item.key];
            values += (values.empty() ? "" : ",") + (item.deleted ? std::string("deleted") : item.value);
        }
    }

    void perform(std::size_t index, const members_action &action)
    {
        m_processes[index].memberCount = action.members.size();
    }

    void perform(std::size_t index, const reports_action &action)
    {
        std::ranges::copy(action.reports, std::back_inserter(m_processes[index].receivedReports));
    }

    void perform(std::size_t, const tree_event_action &action)
    {
        logEvents.push_back(std::string(action.event) + " " + action.about);
    }

    void perform(std::size_t index, const requests_action &action)
    {
        const std::vector<request_evidence> newEvidence = m_processes[index].ledger.join(action.requests, m_now);
        requestEvidenceMessages += 1;
        m_processes[index].node->sendRequestEvidence(newEvidence, action.from, m_now);
        sendRequestEvidence(index); // evidence that this node's ledger added to the received evidence
    }

    void perform(std::size_t index, const link_joined_action &action)
    {
        m_processes[index].node->sendAllRequestEvidence(action.link, m_processes[index].ledger.all(), m_now);
        performActions(index);
    }

    void sendRequestEvidence(std::size_t index)
    {
        m_processes[index].node->sendRequestEvidence(m_processes[index].ledger.takeUpdates(), 0, m_now);
        performActions(index);
    }

    void recordMissedEvidence(simulated_process &started) const
    {
        for (const simulated_process &other : m_processes) {
            for (const request_evidence &evidence : other.ledger.all()) {
                if (started.ledger.find(evidence.key) == nullptr) {
                    started.missedEvidence.insert(evidence.key);
                }
            }
        }
    }

    fleet_world_settings m_settings;
    seeded_random m_random;
    millis m_now {1000};
    std::vector<simulated_process> m_processes;
    std::map<link_key, link_end> m_linkEnds;
    std::multimap<millis, std::function<void()>> m_events;
    std::map<std::string, store_item> m_store;
    std::map<std::uint64_t, millis> m_writtenAt; ///< by revision
    std::uint64_t m_revision = 1;
    link_id m_nextIncomingLink = 1;
    std::size_t m_partitionSize = 0;
};

} // namespace chivelock::testing
