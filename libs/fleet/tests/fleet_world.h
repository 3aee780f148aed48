#pragma once

/**
 * @file
 * Simulates a fleet of processes and the store in virtual time: links with latency and bandwidth, processors with
 * limited throughput, and a store that responds with a delay, refuses calls or leaves them unanswered. Every message is
 * encoded and decoded by the wire codec.
 */

#include <fleet/fleet.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <utility>
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

    explicit fleet_world(const fleet_world_settings &settings);

    static std::string addressOf(std::size_t index);

    [[nodiscard]] zone_name zoneOf(std::size_t index) const;

    void write(const std::string &key, const std::string &value);

    void run(millis time);

    /** Pauses or resumes the process of a node. Messages that arrive during the pause are handled afterwards, in order.
     */
    void setPaused(std::size_t index, bool paused);

    /** @return the number of running nodes whose store freshness is false: they report being current as of a time by
     *  which the store had accepted an update that they do not have. */
    [[nodiscard]] std::size_t countFalselyCurrent() const;

    /** @return the age of the store freshness of the running node that lags most. */
    [[nodiscard]] millis maxFreshnessAge() const;

    /** Ends the process of a node at once; its connections are closed. */
    void kill(std::size_t index);

    /** Tells a node to stop. Its process runs until @ref kill. */
    void leave(std::size_t index);

    /** Kills all processes and starts each at a random time within @p spread after @p pause. */
    void restartAll(millis pause, millis spread);

    void start(std::size_t index, millis when);

    /** Makes the store unavailable to a node, or available again. @param unresponsive calls time out instead of being
     *  refused. */
    void setStoreUnavailable(std::size_t index, bool unavailable, bool unresponsive = false);

    /** Drops all messages between the first @p count nodes and the rest, without closing links; 0 ends the partition.
     */
    void partition(std::size_t count)
    {
        m_partitionSize = count;
    }

    /** Modifies each store update that is sent, to inject faults. */
    std::function<void(store_items &)> corruptItems = [](store_items &) {};

    /** Links break as soon as store items are sent on them. */
    bool closesLinksAtItems = false;

    [[nodiscard]] std::size_t countReaders() const;

    [[nodiscard]] std::size_t countHolders(const std::string &key) const;

    /** @return the number of tree links between nodes of different zones. */
    [[nodiscard]] std::size_t countCrossZoneLinks() const;

    [[nodiscard]] const fleet_node &node(std::size_t index) const
    {
        return *m_processes[index].node;
    }

    void report(std::size_t index, const std::string &leafId, double slowness);

    /** Records at a node that leafs crashed while they ran an attempt, and sends the evidence to the fleet. */
    void recordCrashes(std::size_t index,
                       const request_fingerprint &key,
                       attempt_tag attempt,
                       std::span<const leaf_digest> leafs,
                       bool alone);

    void recordAnswer(std::size_t index, const request_fingerprint &key);

    /** @return the number of running nodes that assign this quarantine state to the request. */
    [[nodiscard]] std::size_t countInQuarantineState(const request_fingerprint &key, quarantine_state state) const;

    void clearMissedEvidence();

    /** @return the number of running nodes that received their first full contents before the evidence about the
     * request that other nodes already had. */
    [[nodiscard]] std::size_t countWithMissedEvidence(const request_fingerprint &key) const;

    /** @return the leaf reports that a node has received from other nodes. */
    [[nodiscard]] const std::vector<leaf_report> &receivedReportsAt(std::size_t index) const
    {
        return m_processes[index].receivedReports;
    }

    /** @return the values of a key that a node has received since its start, in order, separated by commas. */
    [[nodiscard]] std::string valuesReceived(std::size_t index, const std::string &key) const;

    [[nodiscard]] std::size_t memberCountAt(std::size_t index) const
    {
        return m_processes[index].memberCount;
    }

    [[nodiscard]] millis now() const
    {
        return m_now;
    }

    [[nodiscard]] std::size_t maxFollowers() const;

    [[nodiscard]] std::size_t countFollowers(std::size_t index) const;

    /** @return the longest time from the start of a node until it had the full contents; never() while a node has none.
     */
    [[nodiscard]] millis maxStartupTime() const;

    std::size_t fullContentReads = 0;
    std::size_t storeCalls = 0;
    std::size_t connectionAttempts = 0; ///< including failed ones
    std::size_t crossZoneBytes = 0; ///< bytes sent between nodes of different zones
    std::size_t brokenLinks = 0; ///< for what was sent on them
    std::size_t requestEvidenceMessages = 0; ///< messages with request evidence that were received
    std::vector<std::string> logEvents; ///< log events of the tree: name and subject

private:
    static constexpr link_id firstIncomingLink = link_id {1} << 40U;
    static constexpr std::size_t maxUnsentBytes = 4U << 20U; ///< a link with more breaks, as in the daemon
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
        std::size_t answersOnTheWay = 0; ///< of the store; a watch that brings changes is not idle meanwhile
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
        std::size_t unsentBytes = 0; ///< of the messages with store items
    };

    using link_key = std::pair<std::size_t, link_id>;

    [[nodiscard]] std::size_t countNodes(const std::function<bool(const simulated_process &)> &predicate) const;
    void schedule(millis when, std::function<void()> event);
    void startProcess(std::size_t index);
    void tick(std::size_t index, std::uint64_t incarnation);
    [[nodiscard]] bool isRunning(std::size_t index, std::uint64_t incarnation) const;

    /** Runs a task on a node's processor as soon as the processor is free. */
    void runOnProcessor(std::size_t index, std::size_t bytes, std::function<void()> task);

    // ---- the store

    void scheduleStoreRead(std::size_t index);
    void scheduleStoreCall(std::size_t index, millis after);
    void callStore(std::size_t index);

    /** Completes a watch during which the store accepted no update. */
    void completeIdleWatch(std::size_t index);
    void handleStoreResponse(std::size_t index, const std::vector<store_item> &items, std::uint64_t revision);

    // ---- links

    [[nodiscard]] bool isPartitioned(std::size_t a, std::size_t b) const
    {
        return (a < m_partitionSize) != (b < m_partitionSize);
    }

    /** Occupies the link of @p from with bytes sent now. @return the time of their arrival. */
    millis occupyLink(std::size_t from, std::size_t bytes);
    void failLinkLater(std::size_t index, link_id link, millis after);
    void connect(std::size_t index, link_id link, std::size_t to);
    void sendFrame(std::size_t index, link_id link, const std::string &frame);
    void closeLink(std::size_t index, link_id link);
    [[nodiscard]] bool addUnsent(std::size_t index, link_id link, std::size_t bytes);
    void breakLink(std::size_t index, link_id link);

    // ---- actions of the nodes

    void performActions(std::size_t index);
    void perform(std::size_t index, const dial_action &action);
    void perform(std::size_t index, const send_message_action &action);
    void perform(std::size_t index, const close_link_action &action);
    void perform(std::size_t index, const read_action &action);
    void perform(std::size_t index, const store_changes_action &action);
    void perform(std::size_t index, const members_action &action);
    void perform(std::size_t index, const reports_action &action);
    void perform(std::size_t index, const tree_event_action &action);
    void perform(std::size_t index, const requests_action &action);
    void perform(std::size_t index, const link_joined_action &action);
    void sendRequestEvidence(std::size_t index);
    void recordMissedEvidence(simulated_process &started) const;

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
