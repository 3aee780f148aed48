#pragma once

/**
 * @file
 * What VMs tell each other when one asks leafs for another, and the codec (FlatBuffers) that carries it.
 */

#include <gateway/gateway.h>

#include <tl/expected.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <variant>

namespace chivelock {

/** Ask one leaf of each of these shards for me. */
struct delegate_request {
    delegation_id id = 0; ///< chosen by the sender
    std::string requestId; ///< of the caller
    std::string beforeTime; ///< the request for the leafs, up to where the remaining time belongs
    std::string afterTime; ///< the rest of it
    bool toHead = false; ///< answers have no body
    delegated_work work;
};

/** What has come of it since the last message. */
struct delegate_progress {
    delegation_id id = 0;
    delegated_progress progress;
};

/** Its outcome is not needed any more. */
struct delegate_cancel {
    delegation_id id = 0;
    bool callerLeft = false; ///< leafs that are still at work should stop
    bool survived = false; ///< a leaf ran the request to its end
};

using delegation_message = std::variant<delegate_request, delegate_progress, delegate_cancel>;

/** Why bytes are not a message. */
enum class delegation_wire_error : std::uint8_t {
    Malformed, ///< the FlatBuffers verifier refused it
    UnknownMessage
};

/** @return a whole frame: length in four bytes, little-endian, then the message. */
[[nodiscard]] std::string encodeDelegationFrame(const delegation_message &message);

/** @param payload one frame without its length. */
[[nodiscard]] tl::expected<delegation_message, delegation_wire_error>
decodeDelegationPayload(std::span<const std::uint8_t> payload);

} // namespace chivelock
