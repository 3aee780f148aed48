#pragma once

/**
 * @file
 * Decisions of the gateway: requests that are passed through to one leaf of a service, or to one leaf of each of many
 * shards whose parts are merged. No input or output, no thread, no clock: events come in with the time, actions come
 * out, so that every decision can be tested without a network.
 */

#include "delegated_work.h"

#include <base/base.h>
#include <leafs/leafs.h>
#include <quarantine/quarantine.h>
#include <routing/routing.h>
#include <zones/zones.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace chivelock {

using exchange_id = std::uint64_t;

/** What the decisions need to know of a caller's request. */
struct caller_request {
    std::string id; ///< as the caller names it, for logs
    std::string_view host;
    std::string_view target;
    std::optional<millis> patience; ///< how long the caller will wait, if it said so
    std::optional<millis> roundTrip {}; ///< to the caller and back, if it was measured
    request_fingerprint key {}; ///< the same for each attempt of the same request
    bool newConnection = false; ///< first request on it: the caller waited until it was open
};

/** A leaf's whole answer. */
struct gateway_reply {
    unsigned status = 0;
    std::string reason;
    std::string stamp; ///< the leaf's digest; empty if it gave none
    bool notRun = false; ///< the leaf says that it did not run the request
    bool wrongInstance = false; ///< another leaf has the address
    std::optional<leaf_load> load;
    std::vector<std::pair<std::string, std::string>> headers; ///< to pass on
    std::string body;

    [[nodiscard]] bool isSuccess() const
    {
        return status >= 200 && status < 300;
    }
};

/** Why a send brought no answer. */
enum class send_failure : std::uint8_t {
    NotSent, ///< no byte reached the leaf: it can't have run
    Broken, ///< the connection ended or spoke nonsense: it may have run
    LeafEnded, ///< the connection ended without an answer and the leaf takes no new one: it may have run
    TimedOut ///< silence until the deadline: it may have run
};

[[nodiscard]] std::string_view toString(send_failure failure);

/** Ask a leaf. */
struct send_action {
    send_id id = 0;
    exchange_id exchange = 0;
    std::shared_ptr<leaf> to;
    millis deadline; ///< instant at which the leaf may stop
    unsigned maxConnections = 1; ///< this VM's part of what the leaf accepts
    bool once = false; ///< must not run twice: use only a connection that is surely alive
};

/** Give up a send; its connection must close. */
struct cancel_action {
    send_id id = 0;
};

/** How a request ended. */
enum class exchange_outcome : std::uint8_t {
    Relayed, ///< one leaf's answer
    Merged, ///< parts of shards
    Refused, ///< not run and never will be
    Failed, ///< given up; it may have run
    NoRoute,
    NoConfig
};

[[nodiscard]] std::string_view toString(exchange_outcome outcome);

/** The one final answer of a request, with what decided it. */
struct answer_action {
    exchange_id exchange = 0;
    exchange_outcome outcome = exchange_outcome::Failed;
    std::string_view cause; ///< a constant word for logs and callers
    bool timedOut = false; ///< of a failed one: the time was up
    millis retryAfter; ///< of a refused or failed one
    gateway_reply reply; ///< of a relayed one
    std::string body; ///< of a merged one
    std::vector<std::string> stamps; ///< of a merged one
    std::string requestId;
    request_fingerprint key;
    std::string route;
    std::uint64_t version = 0; ///< of the configuration that decided
    std::size_t shards = 0;
    std::size_t missing = 0;
    zone_name emptiedZone; ///< that has leafs which were not asked for that reason alone; empty if none
    unsigned sends = 0;
    unsigned hedges = 0;
    unsigned retries = 0;
    unsigned handedSeconds = 0; ///< of the hedges and retries, those that other VMs send
    millis elapsed;
    millis ways; ///< of the caller's time, taken for the way and the answering
};

/** A decision that touches a request while it is under way, or what is believed of a leaf; for the log. */
struct note_action {
    std::string requestId; ///< empty for a belief
    request_fingerprint key; ///< not known for a belief
    std::string_view event;
    std::string_view cause;
    std::string leafId;
    std::string service;
    millis age; ///< of the request
    millis input; ///< the time that decided: silence, or what the leaf took
};

/** A leaf that was asked for a request. */
struct asked_leaf {
    std::string id;
    millis after; ///< the request's arrival at this VM
    std::optional<millis> leavingFor; ///< if it was believed to leave: since when it may have said so
};

/** Whom this VM asked for one request, once that is over; for the log. */
struct asked_action {
    std::string requestId;
    request_fingerprint key;
    std::vector<asked_leaf> leafs; ///< in order, at most @ref mostAskedTold
    std::size_t more = 0; ///< beyond those

    static constexpr std::size_t mostAskedTold = 64;
};

/** What is held against a request has changed, by what this VM saw; for the log. */
struct verdict_action {
    exchange_id exchange = 0; ///< of the attempt that changed it; perhaps answered already
    request_fingerprint key;
    request_standing standing = request_standing::Clear;
    std::size_t leafs = 0; ///< that ended under it, as far as they are kept
    std::size_t attempts = 0; ///< in which they did
    millis heldFor; ///< of a quarantined one
};

/** Hand work to another VM. */
struct delegate_action {
    delegation_id id = 0;
    exchange_id exchange = 0;
    std::string helper; ///< address
    delegated_work work;
};

/** The outcome is not needed any more. */
struct delegate_cancel_action {
    delegation_id id = 0;
    std::string helper;
    bool callerLeft = false;
    bool survived = false; ///< a leaf ran the request to its end
};

/** Word to the VM for which an exchange was taken. */
struct progress_action {
    exchange_id exchange = 0;
    delegated_progress progress;
};

using gateway_action = std::variant<send_action,
                                    cancel_action,
                                    answer_action,
                                    note_action,
                                    asked_action,
                                    verdict_action,
                                    delegate_action,
                                    delegate_cancel_action,
                                    progress_action>;

/** Figures of the gateway; those without a source are engineering choices with their reason. */
struct gateway_settings {
    zone_name zone;
    double retryRatio = 0.2; ///< extra sends for each request, over the whole fleet
    double retrySlack = 10; ///< extra sends in each window besides, over the whole fleet
    millis retryWindow {10000};
    millis drainLimit {3000}; ///< a leaving leaf may be asked no later than this after the store knew
    millis callerRoundTrip {6}; ///< to a caller and back where it was not measured, for the moment of answering in time
    millis answerMargin {4}; ///< from deciding to answer to the last byte on its way, on a VM that is busy
    std::size_t shardsAtOnce = 25; ///< more than that are shared with other VMs: asking them takes this one too long
    millis removalHold {2200}; ///< how long a leaf stays usable whose entry lapsed while the store was away
    quarantine_settings quarantine;
};

/** All requests of one process. */
class gateway_engine
{
public:
    gateway_engine(gateway_settings settings, std::uint64_t seed);
    gateway_engine(const gateway_engine &) = delete;
    gateway_engine &operator=(const gateway_engine &) = delete;
    ~gateway_engine();

    /** @return false if @p config is not newer than what is in force. */
    bool applyConfig(gateway_config config);

    [[nodiscard]] const route_table *config() const
    {
        return m_table.get();
    }

    [[nodiscard]] leaf_directory &leafs()
    {
        return m_leafs;
    }

    /** The operator's word on a zone. @param emptied nothing is sent to its leafs any more; else it is given back.
     *  @return false if that was known. */
    bool setZoneEmptied(const zone_name &zone, bool emptied, millis now);

    /** New figures for what comes; windows that have begun keep theirs. */
    void changeSettings(gateway_settings settings)
    {
        m_settings = std::move(settings);
        m_requests.changeSettings(m_settings.quarantine);
    }

    /** VMs among which the fleet's limits are divided. */
    void setFleetSize(std::size_t size)
    {
        m_fleetSize = size;
    }

    /** Takes a request. Its answer comes as an action, perhaps at once. */
    exchange_id arrive(const caller_request &request, millis now);

    /** Takes work of another VM; what comes of it is told by @ref progress_action. */
    exchange_id arriveDelegated(std::string requestId, const delegated_work &work, millis now);

    /** VMs that can be reached now, for shards whose leafs are near them. @param ownRank as @ref helper_vm::rank. */
    void setHelpers(std::vector<helper_vm> helpers, std::size_t ownRank)
    {
        m_helpers = std::move(helpers);
        m_ownRank = ownRank;
    }

    void onProgress(delegation_id id, delegated_progress progress, millis now);

    /** The connection to the helper is gone, or never was. */
    void onHelperLost(std::string_view address, millis now);

    /** An exchange that was taken for another VM is not needed any more. */
    void onUnneeded(exchange_id id, millis now);

    /** A leaf that the other VM asked ran the request of this exchange to its end. */
    void onSurvived(exchange_id id);

    void onReply(send_id id, gateway_reply reply, millis now);
    void onSendFailed(send_id id, send_failure failure, millis now);
    void onCallerLeft(exchange_id id, millis now);

    /** What was found out about leafs since the last call and is worth telling other VMs. */
    [[nodiscard]] std::vector<leaf_report> takeReports();

    /** What other VMs found out. @return how many leafs are thought slow for it that were not, or no longer are. */
    std::size_t onReports(std::span<const leaf_report> reports);

    /** What this VM saw of requests that end leafs, since the last call, for the other VMs. */
    [[nodiscard]] std::vector<request_evidence> takeRequestNews();

    /** What other VMs saw. @return what was not known here, to be passed on. */
    [[nodiscard]] std::vector<request_evidence> onRequestNews(std::span<const request_evidence> news, millis now);

    [[nodiscard]] const request_ledger &requests() const
    {
        return m_requests;
    }

    /** This process stood still: what leafs seem to owe since then says nothing of them. */
    void onStandstill(millis gap);

    /** Does what is due. */
    void advance(millis now);

    /** When @ref advance has something to do again. */
    [[nodiscard]] millis nextDue() const;

    [[nodiscard]] std::vector<gateway_action> takeActions();

    [[nodiscard]] std::size_t openExchanges() const
    {
        return m_exchanges.size();
    }

private:
    struct shard_call;
    struct exchange;
    struct attempt_evidence;

    /** One request on its way to a leaf; outlives its exchange until the leaf has answered or time is up. */
    struct send {
        send_id id = 0;
        exchange_id exchange = 0;
        std::size_t call = 0;
        std::shared_ptr<leaf> to;
        std::shared_ptr<attempt_evidence> evidence;
        route_pace *pace = nullptr;
        millis sentAt;
        millis deadline; ///< the leaf may stop then
        millis closeAt; ///< given up then
        double queue = 0; ///< as @ref leafQueue when it was sent
        bool idempotent = true;
    };

    /** Shards of one exchange in another VM's hands. */
    struct delegation {
        exchange_id exchange = 0;
        std::string helper;
        std::vector<std::size_t> calls; ///< of the exchange, in the order of the work's shards
        std::vector<bool> ended; ///< shards of which the last word has come, in the same order
        millis wordDueIn; ///< from handing it out until the first word should be there
        bool heard = false;
        bool late = false; ///< the first word is overdue; second leafs may be asked
    };

    /** Calls of one exchange for one VM. */
    struct helper_group {
        std::string helper;
        std::vector<std::size_t> calls;
    };
    using helper_plan = std::vector<helper_group>;

    /** Zones with leafs of one shard that stay. */
    struct shard_zones {
        std::set<zone_name> all;
        std::set<zone_name> usable; ///< with one that can be asked now
    };

    enum class due_kind : std::uint8_t {
        Exchange,
        Send,
        Delegation
    };

    struct due {
        millis at;
        due_kind kind = due_kind::Exchange;
        std::uint64_t id = 0;
        bool operator>(const due &other) const
        {
            return at > other.at;
        }
    };
    struct choice {
        std::shared_ptr<leaf> to; ///< nullptr if none may be asked
        double cost = 0;
        bool full = false; ///< none because all that could be asked have no connection left
        bool overloaded = false; ///< none because their queues are longer than the time that is left
        const zone_name *emptied = nullptr; ///< a zone that operators emptied and that has some of the leafs

        /** Why there is none, in a constant word for logs and callers. */
        [[nodiscard]] std::string_view reason() const
        {
            if (overloaded) {
                return "overloaded";
            }
            return emptied != nullptr ? "zone_emptied" : "no_leaf";
        }
    };

    void begin(exchange &work, millis now);
    void beginSingle(exchange &work, millis now);
    void beginGather(exchange &work, millis now);
    [[nodiscard]] millis timeOnTheWay(const caller_request &request) const;
    [[nodiscard]] choice chooseLeaf(const exchange &work, const shard_call &call, bool forHedge, millis now);
    [[nodiscard]] double expectedCost(const leaf &candidate, const route_pace &pace, millis now);
    [[nodiscard]] static bool isOverloaded(const leaf &candidate, const route_pace &pace, millis timeLeft, millis now);
    [[nodiscard]] bool mayAsk(const leaf &candidate, millis now) const;
    [[nodiscard]] bool mayAskCold(const leaf &candidate, millis now) const;
    void useColdTurn(leaf &asked, millis now) const;
    [[nodiscard]] bool admits(const zone_name &zone, millis now);
    [[nodiscard]] shard_zones zonesOf(const shard_call &call, millis now);
    [[nodiscard]] unsigned connectionShare(const service_name &service) const;
    [[nodiscard]] static millis usefulUntil(const exchange &work, millis now);
    void sendCall(exchange &work, std::size_t call, const std::shared_ptr<leaf> &to, millis now);
    bool takeBudget(const service_name &service, double reserve, millis now);
    retry_budget &budgetOf(const service_name &service);
    route_pace &paceOf(const gateway_route &route);
    void retryCall(exchange &work, std::size_t call, std::string_view cause, millis now);
    void resend(exchange &work, std::size_t call, std::string_view cause, const std::shared_ptr<leaf> &to, millis now);
    void failCall(exchange &work, std::size_t call, std::string_view cause, millis now);
    void takePart(exchange &work, std::size_t call, gateway_reply reply, millis now);
    void hedgeDue(exchange &work, millis now);
    void retryWaiting(exchange &work, millis now);
    void advanceExchange(exchange &work, millis now);
    void finishGatherIfDone(exchange &work, millis now);
    void advanceDue(const due &next, millis now);
    static void noteEmptied(exchange &work, const choice &none);
    void addCalls(exchange &work, std::span<const service_name> shards);
    void fanOut(exchange &work, millis now);
    void beginTrial(exchange &work, millis now);
    [[nodiscard]] bool maySendMore(const exchange &work, millis now) const;
    [[nodiscard]] bool mayHedge(const exchange &work, const shard_call &call, millis now) const;
    [[nodiscard]] bool isTester(const exchange &work) const;
    void sendTrials(exchange &work, millis now);
    [[nodiscard]] bool hasSpareLeaf(const service_name &shard, millis now) const;
    void continueTrial(exchange &work, millis now);
    void holdCall(exchange &work, std::size_t call, millis now);
    void endTrial(const exchange &work);
    void releaseHeld(exchange &work, millis now);
    void noteSurvived(exchange &work, millis now);
    static void noteEnded(exchange &work, std::string_view leafId);
    void noteOutcome(const send &ended, bool survived, bool leafEnded, millis now);
    void settleEvidence(exchange &work, millis now);
    void tellVerdict(exchange_id attempt, const request_fingerprint &key, millis now);
    void refuseQuarantined(const caller_request &request, const gateway_route &route, exchange_id id, millis now);
    [[nodiscard]] bool isTrusted(const std::string &helper, millis now) const;
    [[nodiscard]] std::size_t partsOf(const zone_name &zone, std::size_t shards) const;
    [[nodiscard]] std::string helperFor(const zone_name &zone, std::size_t part, std::size_t parts, millis now);
    void planZone(
        const zone_name &zone, std::span<const std::size_t> calls, std::size_t parts, helper_plan &plan, millis now);
    [[nodiscard]] helper_plan planHelpers(exchange &work, millis now);
    void delegateCalls(exchange &work, const std::string &helper, std::vector<std::size_t> calls, millis now);
    void hand(exchange &work, const std::string &helper, std::vector<std::size_t> calls, bool second, millis now);
    void askSecond(exchange &work, std::size_t call, const std::shared_ptr<leaf> &to, millis now);
    void handSecondSends(exchange &work, millis now);
    [[nodiscard]] static bool endsNow(delegation &from, std::uint32_t shard);
    void onWordDue(delegation_id id, millis now);
    void takeOver(delegation_id id, std::string_view cause, millis now);
    void resumeCall(exchange &work, std::size_t call, const lost_shard &lost, millis now);
    void notePending(exchange &work, std::size_t call, const pending_shard &pending, millis now);
    void askElsewhere(exchange &work, std::size_t call, std::string_view cause, millis now);
    void dropDelegations(exchange &work, bool callerLeft);
    void takeParts(exchange &work, delegated_progress &progress, delegation &from, millis now);
    void noteTried(exchange &work, std::span<const std::string> leafIds);
    exchange_id refuseDelegated(exchange &work, millis now);
    void tellProgress(exchange &work, bool last, millis now);
    void tellAlone(const exchange &work, std::uint32_t shard);
    void sendUnsent(exchange &work, millis now);
    void answer(exchange &work, exchange_outcome outcome, std::string_view cause, millis now);
    void answerMerged(exchange &work, std::string_view cause, millis now);
    void answerUnserved(exchange &work, std::string_view cause, bool timedOut, millis now);
    void answerWithout(const caller_request &request, exchange_outcome outcome, std::string_view cause, exchange_id id);
    void erase(exchange_id id);
    void noteAsked(exchange &work, const leaf &asked, millis now);
    void tellAsked(exchange &work);
    void schedule(exchange &work, millis now);
    [[nodiscard]] std::optional<send> endSend(send_id id);
    [[nodiscard]] exchange *ownerOf(const send &ended);
    void settle(exchange &work, millis now);
    double noteSlowness(leaf &of, const send &ended, const gateway_reply &reply, millis now);
    void noteLeafReply(leaf &from, const send &ended, const gateway_reply &reply, millis now);
    void noteLeafFailure(leaf &from, send_failure failure, millis now);
    void considerReport(leaf &about, millis now);
    [[nodiscard]] bool takeReport(const leaf_report &report);
    void note(const exchange &work,
              std::string_view event,
              std::string_view cause,
              const leaf *about,
              const service_name &service,
              millis input,
              millis now);
    void noteBelief(std::string_view event, std::string_view cause, const leaf &about, millis input);
    [[nodiscard]] const service_name &pickShare(const gateway_route &route);
    void answerSingle(exchange &work, gateway_reply reply, millis now);

    gateway_settings m_settings;
    seeded_random m_random;
    std::shared_ptr<const route_table> m_table;
    leaf_directory m_leafs;
    emptied_zones m_zones;
    std::size_t m_fleetSize;
    std::uint64_t m_seed; ///< another one for each VM
    std::unordered_map<service_name, retry_budget> m_budgets;
    std::unordered_map<std::string, route_pace> m_paces;
    std::unordered_map<std::string, std::vector<double>> m_shareCredits; ///< by route, for a smooth split
    std::unordered_map<exchange_id, std::unique_ptr<exchange>> m_exchanges;
    std::unordered_map<send_id, send> m_sends;
    std::vector<helper_vm> m_helpers;
    std::size_t m_ownRank = 0;
    std::unordered_map<std::string, millis> m_distrustedUntil; ///< helpers that did not answer in time
    std::map<leaf_digest, leaf_report> m_reports; ///< for other VMs, by leaf
    request_ledger m_requests;
    seeded_random m_tags; ///< of its own: drawing a tag must not change what leafs are chosen
    std::map<request_fingerprint, exchange_id> m_trials; ///< suspect requests of which one leaf is being asked
    std::unordered_map<delegation_id, delegation> m_delegations;
    std::priority_queue<due, std::vector<due>, std::greater<>> m_due;
    std::uint64_t m_nextId = 1;
    std::vector<gateway_action> m_actions;
};

/** A record is this many bytes; a shorter remainder of a part is none. */
inline constexpr std::size_t recordBytes = 16;

/** @return the greatest @p count records of all parts, greatest first, compared byte by byte; equal ones all count. */
[[nodiscard]] std::string mergeRecords(std::span<const std::string_view> parts, std::size_t count);

} // namespace chivelock
