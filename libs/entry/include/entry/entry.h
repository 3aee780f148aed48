#pragma once

/**
 * @file
 * All decisions of one process, which acts as both root and runner. It does no I/O: each event is passed in with the
 * current time, and the resulting actions are returned to the caller. The daemon connects it to sockets; tests and
 * benchmarks connect it to fakes in virtual time; other programs can embed it.
 */

#include <base/base.h>
#include <catalogue/catalogue.h>
#include <membership/membership.h>
#include <policy/policy.h>
#include <query/query.h>
#include <topology/topology.h>
#include <wire/wire.h>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace chivelock {

/** Start-up settings of one process. */
struct entry_settings {
    vm_id self;
    std::uint64_t incarnation = 0; ///< increases with each start of this VM's process
    std::string ticketKey; ///< secret bytes, fresh at each start
    std::uint64_t seed = 0;
    membership_settings members;
    runner_settings runner;
    root_settings root;
    root_guards guards; ///< for tests only
    bool refuseOlderCatalogue = true; ///< refuses a catalogue with a lower revision; false only in tests
    ticket_settings tickets;
    millis lameDuck {2000}; ///< after the start of a stop, how long even an idle process keeps running
    millis stopLimit {10000}; ///< after the start of a stop, when lookups still running are answered and ended
    millis peerRevisionTimeout {1000}; ///< a new process reports ready after this time without a heartbeat from a peer
};

/** Why a process is or is not ready. */
enum class readiness : std::uint8_t {
    Ready,
    NoCatalogue,
    NoTopology,
    NoVmList,
    AskingPeers,
    Stopping
};

[[nodiscard]] std::string_view toString(readiness value);

/** Status report of a process. */
struct entry_status {
    vm_id self;
    std::uint64_t incarnation = 0;
    readiness ready = readiness::Ready;
    std::uint64_t catalogueRevision = 0;
    std::uint64_t topologyRevision = 0;
    std::uint64_t vmListRevision = 0;
    std::string catalogueRefusal; ///< reason of the newest refusal since the last acceptance; empty if none
    std::string topologyRefusal;
    std::vector<member_rumour> members;
    std::size_t lookupsInFlight = 0;
    std::size_t shardsInHand = 0;
    std::size_t leafRequests = 0;
    std::size_t tickets = 0;
    bool receivedPeerHeartbeat = false; ///< a peer's heartbeat was received; if not, peers may hold newer documents
};

/** Action: the process may exit now. */
struct stop_finished {
};

/** Action: log the verdict on an offered publication. */
struct publication_verdict {
    std::string document; ///< catalogue, topology or vm_list
    std::string verdict;
    std::string detail;
};

using entry_action = std::variant<peer_send,
                                  caller_answer,
                                  topology_refresh,
                                  leaf_call,
                                  leaf_cancel,
                                  leaf_probe,
                                  publication_verdict,
                                  stop_finished>;

/** Combines root, runner, membership, catalogue and tickets of one process. */
class entry_core
{
public:
    explicit entry_core(entry_settings settings);
    entry_core(const entry_core &) = delete;
    entry_core &operator=(const entry_core &) = delete;

    using actions = std::vector<entry_action>;

    void onLookup(const lookup_request &request, millis now, actions &out);
    void onPeer(const peer_envelope &envelope, millis now, actions &out);
    void onPeerUnreachable(vm_id vm, millis now, actions &out);
    void onLeafReply(const leaf_reply &reply, millis now, actions &out);
    void onHealth(const health_report &report, millis now, actions &out);
    void onCatalogueText(std::string_view text, millis now, actions &out);
    void onTopologyText(std::string_view text, millis now, actions &out);
    void onVmListText(std::string_view text, millis now, actions &out);
    void tick(millis now, actions &out);

    /** The latest time at which @ref tick must be called again. */
    [[nodiscard]] millis nextWake() const;

    /** Begins a planned stop: notifies the peers, reports not ready to the balancer, and finishes running lookups. */
    void beginStop(millis now, actions &out);

    [[nodiscard]] entry_status status(millis now) const;

    [[nodiscard]] const catalogue_store &catalogue() const
    {
        return m_catalogue;
    }

    [[nodiscard]] const runner_counters &runnerCounters() const
    {
        return m_runner.counters();
    }

    [[nodiscard]] const root_counters &rootCounters() const
    {
        return m_root.counters();
    }

    /** The VM list in force, which determines the connections to peers and the peers that may connect. */
    [[nodiscard]] const vm_list_document &vmList() const
    {
        return m_vmList;
    }

    [[nodiscard]] const topology_ptr &topology() const
    {
        return m_topology;
    }

    [[nodiscard]] const membership &members() const
    {
        return m_members;
    }

private:
    /** A ticketed lookup that this process runs for a caller or a peer. */
    struct ticketed_run {
        lookup_request request;
        std::optional<vm_id> requester; ///< the peer that forwarded it; empty for a caller of this process
        std::uint64_t nonce = 0;
        millis started;
        snapshot_id snapshot;
        map_version version;
        bool answered = false;
    };

    /** A use of a ticket that another VM issued, while the reply of that VM is pending. */
    struct forwarded_ticket_use {
        lookup_request request;
        vm_id issuer;
        millis started;
        millis deadline;
    };

    struct message_handler;

    void applyRootActions(millis now, actions &out);
    void applyRunnerActions(millis now, actions &out);
    /** Applies or emits the pending actions of root and runner until both have none left. */
    void runPendingActions(millis now, actions &out);
    void sendPeer(vm_id to, peer_message message, millis now, actions &out);
    void deliverToSelf(const peer_message &message, millis now);
    void handleHeartbeat(const heartbeat &message, millis now, actions &out);
    void handlePull(vm_id from, const catalogue_pull &pull, millis now, actions &out);
    void handlePush(vm_id from, const catalogue_push &push, millis now, actions &out);
    void pullFrom(vm_id peer, std::uint64_t haveRevision, millis now, actions &out);
    void onCatalogueOffered(offer_verdict verdict, actions &out);
    void updateOwnedLeafs();
    [[nodiscard]] own_revisions revisions() const;

    void handleNonIdempotent(const lookup_request &request, const kind_entry &kind, millis now, actions &out);
    void issueTicket(const lookup_request &request, millis now, actions &out);
    void forwardTicketUse(const lookup_request &request, vm_id issuer, millis now, actions &out);
    void handleTicketUse(vm_id from, const ticket_use &use, millis now, actions &out);
    void handleTicketAnswer(vm_id from, const ticket_answer &answer, millis now, actions &out);
    void useTicket(ticketed_run run, millis now, actions &out);
    void startTicketedRun(ticketed_run run, std::uint64_t number, millis now, actions &out);
    void finishTicketedRun(const at_most_once_result &result, millis now, actions &out);
    void replyToRequester(const ticketed_run &run, lookup_answer answer, millis now, actions &out);
    void failForwardedUses(std::optional<vm_id> issuer, millis now, actions &out);
    [[nodiscard]] lookup_answer
    makeAnswer(const lookup_request &request, lookup_outcome outcome, answer_reason reason, millis retryAfter) const;
    void advanceStop(millis now, actions &out);

    entry_settings m_settings;
    membership m_members;
    catalogue_store m_catalogue;
    runner_engine m_runner;
    root_engine m_root;
    ticket_table m_tickets;
    topology_ptr m_topology;
    vm_list_document m_vmList;
    std::string m_topologyRefusal;
    std::string m_vmListRefusal;
    std::uint64_t m_ownedEpoch = 0;
    std::uint64_t m_ownedTopology = 0;
    std::optional<millis> m_startedAt;
    millis m_lastTick;
    bool m_receivedHeartbeat = false;
    millis m_nextPull;
    std::optional<millis> m_stopBegan;
    bool m_stopEnded = false;
    std::uint64_t m_nextNonce = 1;
    std::map<std::uint64_t, ticketed_run> m_ticketedRuns; ///< by ticket number
    std::map<std::uint64_t, forwarded_ticket_use> m_forwardedUses; ///< by nonce
    root_engine::actions m_rootActions;
    runner_engine::actions m_runnerActions;
};

} // namespace chivelock
