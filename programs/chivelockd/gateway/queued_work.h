#pragma once

/** @file Work that the gateway has read and not begun. */

#include "caller_server.h"
#include "helper_links.h"

#include <delegation/delegation.h>
#include <platform/platform.h>

#include <utility>
#include <variant>

namespace chivelock {

/** A caller's request. */
struct queued_request {
    session_id session = 0;
    http_request request;
    platform::caller_marks marks;
};

/** Shards of a request that another VM delegated. */
struct queued_delegation {
    std::pair<link_id, delegation_id> delegator;
    delegate_request request;
};

using queued_work = std::variant<queued_request, queued_delegation>;

} // namespace chivelock
