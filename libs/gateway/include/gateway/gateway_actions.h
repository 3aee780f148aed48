#pragma once

/** @file Answers of leafs and the actions that the engine returns; a part of gateway.h. */

#include "delegated_work.h"

#include <base/base.h>
#include <leafs/leafs.h>
#include <quarantine/quarantine.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace chivelock {

using exchange_id = std::uint64_t;

/** A leaf's complete answer. */
struct gateway_reply {
    unsigned status = 0;
    std::string reason;
    std::string stamp; ///< the leaf's digest of the answer; empty if absent
    bool isEncoded = false; ///< the body has a content coding, so it isn't the leaf's own
    bool notRun = false; ///< the leaf states that it did not run the request
    bool wrongInstance = false; ///< a different leaf answered at this address
    std::optional<leaf_load> load;
    std::optional<millis> coldFor; ///< how much longer the leaf's cache stays cold, if the leaf states it
    std::vector<std::pair<std::string, std::string>> headers; ///< to forward to the caller
    std::string body;

    [[nodiscard]] bool isSuccess() const
    {
        return status >= 200 && status < 300;
    }

    /** Whether this is a success that may reach a caller: the leaf's own body with the digest to check it by. */
    [[nodiscard]] bool isWholeSuccess() const
    {
        return isSuccess() && !stamp.empty() && !isEncoded;
    }
};

/** Why a send got no answer. */
enum class send_failure : std::uint8_t {
    NotSent, ///< no byte reached the leaf: the request has not run
    HeldBack, ///< not sent, because of the request bytes under way to the leaf; says nothing about its health
    Broken, ///< the connection closed or sent malformed data: the request may have run
    LeafCrashed, ///< the connection closed without an answer and the leaf refuses new ones: the request may have run
    TimedOut ///< no answer by the deadline: the request may have run
};

[[nodiscard]] std::string_view toString(send_failure failure);

/** Send the request to a leaf. */
struct send_action {
    send_id id = 0;
    exchange_id exchange = 0;
    std::shared_ptr<leaf> to;
    millis deadline; ///< time after which the leaf may stop working on it
    millis attemptEnd; ///< the attempt is not sent to a leaf after this time
    unsigned maxConnections = 1; ///< this VM's share of the connections that the leaf accepts
    bool once = false; ///< run at most once (non-idempotent): use only a connection known to be alive
};

/** Abandon a send; its connection must be closed. */
struct cancel_action {
    send_id id = 0;
};

/** How a request ended. */
enum class exchange_outcome : std::uint8_t {
    Relayed, ///< answered with one leaf's answer
    Merged, ///< answered with the merged parts of shards
    Refused, ///< has not run and will not run
    Failed, ///< abandoned; it may have run
    NoRoute,
    NoConfig
};

[[nodiscard]] std::string_view toString(exchange_outcome outcome);

/** The final answer of a request, sent exactly once, with the facts that decided it. */
struct answer_action {
    exchange_id exchange = 0;
    exchange_outcome outcome = exchange_outcome::Failed;
    std::string_view cause; ///< a string constant for logs and callers
    bool timedOut = false; ///< if failed: the request reached its time limit
    millis retryAfter; ///< if refused or failed
    gateway_reply reply; ///< if relayed
    std::string body; ///< if merged
    std::vector<std::string> stamps; ///< if merged: the digests of the parts
    std::string requestId;
    request_fingerprint key;
    std::string route;
    std::uint64_t version = 0; ///< of the configuration that was applied
    std::size_t shards = 0;
    std::size_t missing = 0;
    zone_name drainedZone; ///< a drained zone with leafs that were skipped only for that reason; empty if none
    unsigned sends = 0;
    unsigned hedges = 0;
    unsigned retries = 0;
    unsigned delegatedSecondSends = 0; ///< hedges and retries that were delegated to other VMs
    placement::placed_parts placed;
    millis elapsed;
    millis networkTime; ///< part of the caller's timeout reserved for the network and for sending the answer
};

/** A decision about a request in progress, or a change of a leaf's health; for the log. */
struct log_event_action {
    std::string requestId; ///< empty for a change of leaf health
    request_fingerprint key; ///< unknown for a change of leaf health
    std::string_view event;
    std::string_view cause;
    std::string leafId;
    std::string service;
    millis age; ///< time since the request arrived
    millis input; ///< the duration that led to the decision: time without an answer, or the leaf's response time
    std::string route {}; ///< of a decision for all requests of a route
};

/** A leaf that a request was sent to. */
struct asked_leaf {
    std::string id;
    millis after; ///< time between the request's arrival at this VM and the send
    std::optional<millis> leavingFor; ///< if the leaf was leaving: time since it may have announced that
};

/** The leafs that this VM sent one request to, emitted when the request has ended; for the log. */
struct asked_leafs_action {
    std::string requestId;
    request_fingerprint key;
    std::vector<asked_leaf> leafs; ///< in the order of the sends, at most @ref maxLoggedLeafs
    std::size_t more = 0; ///< number of further leafs

    static constexpr std::size_t maxLoggedLeafs = 64;
};

/** The quarantine state or evidence of a request changed by an observation of this VM; for the log. */
struct quarantine_update_action {
    exchange_id exchange = 0; ///< of the attempt that caused the change; it may already be answered
    request_fingerprint key;
    quarantine_state state = quarantine_state::Clear;
    std::size_t leafs = 0; ///< that crashed while running it, as far as they are kept
    std::size_t attempts = 0; ///< that no leaf survived
    millis quarantineRemaining; ///< if quarantined: time until the request is admitted again
};

/** Delegate work to another VM. */
struct delegate_action {
    delegation_id id = 0;
    exchange_id exchange = 0;
    std::string helper; ///< address of the VM
    delegated_work work;
};

/** Cancel delegated work whose outcome is no longer needed. */
struct delegate_cancel_action {
    delegation_id id = 0;
    std::string helper;
    bool callerLeft = false;
    bool survived = false; ///< a leaf ran the request to completion
};

/** Report progress to the VM that delegated the exchange. */
struct progress_action {
    exchange_id exchange = 0;
    delegated_progress progress;
};

using gateway_action = std::variant<send_action,
                                    cancel_action,
                                    answer_action,
                                    log_event_action,
                                    asked_leafs_action,
                                    quarantine_update_action,
                                    delegate_action,
                                    delegate_cancel_action,
                                    progress_action>;

} // namespace chivelock
