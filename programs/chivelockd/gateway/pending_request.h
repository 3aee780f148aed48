#pragma once

/** @file Requests that the gateway has not answered yet; private to its sources. */

#include "gateway_service.h"

namespace chivelock {

/** A request of a caller or of another VM that has not been answered yet. */
struct gateway_service::pending_request {
    session_id session = 0;
    std::optional<delegation_key> delegator; ///< set if another VM delegated the request
    std::string requestId;
    std::shared_ptr<const platform::leaf_request_text> text;
    bool toHead = false;
    millis queuedFor {}; ///< time between the read and the beginning of its processing
};

} // namespace chivelock
