#pragma once

/** @file Actions that the state machine of the tree asks its caller to perform; a part of fleet.h. */

#include "fleet_messages.h"
#include "store_view.h"

#include <base/base.h>
#include <leafs/leafs.h>
#include <quarantine/quarantine.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace chivelock {

/** Identifies one connection to another process of the fleet for as long as it is open. */
using link_id = std::uint64_t;

/** Open a connection to a process. */
struct dial_action {
    link_id link = 0;
    std::string address;
};

/** Close a connection. */
struct close_link_action {
    link_id link = 0;
};

/** Send the same message on each of these connections. */
struct send_message_action {
    std::vector<link_id> links;
    fleet_message message;
};

/** Start or stop reading the store. */
struct read_action {
    bool reading = false;
};

/** Store changes for use by this process. */
struct store_changes_action {
    std::string prefix;
    std::vector<store_item> items;
};

/** The processes of the fleet, this one included; at most @ref fleet_settings::maxMembers. */
struct members_action {
    std::vector<fleet_member> members;
};

/** Reports about leafs that other processes sent. */
struct reports_action {
    std::vector<leaf_report> reports;
};

/** Evidence about requests that another process sent; what is new here goes to @ref fleet_node::sendRequestEvidence. */
struct requests_action {
    link_id from = 0;
    std::vector<request_evidence> requests;
};

/** A process has joined at the link: pass all evidence about requests to @ref fleet_node::sendAllRequestEvidence. */
struct link_joined_action {
    link_id link = 0;
};

/** Log event: this process changed its place in the tree or its upstream, or rejected a delta. */
struct tree_event_action {
    std::string_view event;
    std::string subject; ///< the upstream, the reason or the key that the event is about
    millis upstreamSilence; ///< time since the last message of the upstream; zero for events without one
};

using fleet_action = std::variant<dial_action,
                                  close_link_action,
                                  send_message_action,
                                  read_action,
                                  store_changes_action,
                                  members_action,
                                  reports_action,
                                  requests_action,
                                  link_joined_action,
                                  tree_event_action>;

} // namespace chivelock
