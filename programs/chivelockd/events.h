#pragma once

/**
 * @file
 * Events, commands and replies that the threads of the daemon exchange through bounded rings.
 */

#include <base/base.h>
#include <entry/entry.h>

#include <string>
#include <variant>
#include <vector>

namespace chivelock {

/** A lookup request from a caller was received. */
struct lookup_received {
    lookup_request request;
    millis receivedAt; ///< the caller's time limit starts here, not when the decision thread reads the event
};

/** A message from a peer was received. */
struct peer_message_received {
    peer_envelope envelope;
};

/** A peer could not be reached, or a message to it could not be queued. */
struct peer_unreachable {
    vm_id vm;
};

/** Documents published by the platform. */
enum class platform_document : std::uint8_t {
    Catalogue,
    Topology,
    VmList
};

/** A document was read from the platform. */
struct document_read {
    platform_document document;
    std::string text;
};

/** Kinds of pages that describe the process itself. */
enum class report_kind : std::uint8_t {
    Ready,
    Status,
    Audit,
    Metrics
};

/** An operator or the load balancer requested a page. */
struct report_requested {
    caller_id caller;
    report_kind kind;
};

/** The process was asked to stop. */
struct stop_requested {
};

using decision_event = std::variant<lookup_received,
                                    peer_message_received,
                                    peer_unreachable,
                                    leaf_reply,
                                    health_report,
                                    document_read,
                                    report_requested,
                                    stop_requested>;

/** Address and port on which a leaf listens. */
struct leaf_endpoint {
    std::string address;
    std::uint16_t port = 0;
};

struct leaf_call_command {
    leaf_call call;
    leaf_endpoint endpoint;
};

struct leaf_cancel_command {
    leaf_cancel cancel;
};

struct leaf_probe_command {
    leaf_probe probe;
    leaf_endpoint endpoint;
};

using leaf_command = std::variant<leaf_call_command, leaf_cancel_command, leaf_probe_command>;

/** The VM list changed. It determines which addresses may connect and where the peers listen. */
struct peers_changed {
    std::vector<vm_info> vms;
};

using peer_command = std::variant<peer_send, peers_changed>;

/** A page for an operator or the load balancer. */
struct report_page {
    caller_id caller = 0;
    std::uint16_t status = 0;
    std::string contentType;
    std::string body;
};

/** Counters for the metrics page, read at one point in time. The answer thread adds its histograms to the page. */
struct metrics_page {
    caller_id caller = 0;
    runner_counters runner;
    root_counters root;
    entry_status status;
};

using answer_item = std::variant<caller_answer, report_page, metrics_page>;

} // namespace chivelock
