#pragma once

/**
 * @file
 * Messages between a VM and the helper to which it delegates work, which is to ask leafs on its behalf, and the
 * FlatBuffers codec of these messages.
 */

#include <gateway/gateway.h>

#include <tl/expected.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <variant>

namespace chivelock {

/** Request to a helper: send the caller's request to one leaf of each shard of @ref work. */
struct delegate_request {
    delegation_id id = 0; ///< chosen by the sender; its later messages and the helper's replies repeat it
    std::string requestId; ///< as named by the caller
    std::string beforeTime; ///< request text for the leafs, up to the place of the remaining time
    std::string afterTime; ///< request text that follows the remaining time
    bool toHead = false; ///< the request is a HEAD request, so its answers have no body
    delegated_work work;
};

/** Report of the helper: the results since its previous report. */
struct delegate_progress {
    delegation_id id = 0;
    delegated_progress progress;
};

/** Notice to the helper that the outcome of the request is no longer needed. */
struct delegate_cancel {
    delegation_id id = 0;
    bool callerLeft = false; ///< the caller disconnected, so leafs that still run the request should stop
    bool survived = false; ///< a leaf completed the request without crashing
};

using delegation_message = std::variant<delegate_request, delegate_progress, delegate_cancel>;

/** Why a payload could not be decoded. */
enum class delegation_wire_error : std::uint8_t {
    Malformed, ///< empty, or rejected by the FlatBuffers verifier
    UnknownMessage ///< the envelope has no message or one of an unknown type
};

/** @return a complete frame: the length in four bytes, little-endian, then the message. */
[[nodiscard]] std::string encodeDelegationFrame(const delegation_message &message);

/** @param payload one frame without its length prefix. */
[[nodiscard]] tl::expected<delegation_message, delegation_wire_error>
decodeDelegationPayload(std::span<const std::uint8_t> payload);

} // namespace chivelock
