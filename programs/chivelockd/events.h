#pragma once

/**
 * @file
 * What the threads of the daemon hand each other through bounded rings.
 */

#include <base/base.h>
#include <entry/entry.h>

#include <string>
#include <variant>
#include <vector>

namespace chivelock {

/** A caller's lookup came in. */
struct lookup_arrived {
    lookup_request request;
    millis at; ///< the caller's time counts from here, not from when the decision thread reads it
};

/** A message of a peer came in. */
struct peer_arrived {
    peer_envelope envelope;
};

/** A peer can't be reached. */
struct peer_lost {
    vm_id vm;
};

/** What the platform publishes. */
enum class platform_document : std::uint8_t {
    Catalogue,
    Topology,
    VmList
};

/** A document was read. */
struct document_read {
    platform_document which;
    std::string text;
};

/** Pages about the process itself. */
enum class report_kind : std::uint8_t {
    Ready,
    Status,
    Audit,
    Metrics
};

/** An operator or the balancer asks for a page. */
struct report_wanted {
    caller_id caller;
    report_kind kind;
};

/** The process was asked to end. */
struct stop_wanted {
};

using decision_event = std::variant<lookup_arrived,
                                    peer_arrived,
                                    peer_lost,
                                    leaf_reply,
                                    health_report,
                                    document_read,
                                    report_wanted,
                                    stop_wanted>;

/** Where a leaf listens. */
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

/** The VM list changed: who may connect, and where peers listen. */
struct peers_changed {
    std::vector<vm_info> vms;
};

using peer_command = std::variant<peer_send, peers_changed>;

/** A page for an operator or the balancer. */
struct report_page {
    caller_id caller = 0;
    std::uint16_t status = 0;
    std::string contentType;
    std::string body;
};

/** Counts of one moment, for the page of metrics, which the answer thread completes with its histograms. */
struct metrics_page {
    caller_id caller = 0;
    runner_counters runner;
    root_counters root;
    entry_status status;
};

using answer_item = std::variant<caller_answer, report_page, metrics_page>;

} // namespace chivelock
