#pragma once

/**
 * @file
 * Messages between the processes of the system, as plain structs, and their codec (FlatBuffers in length-prefixed
 * frames). The decision libraries use only the structs.
 */

#include <base/base.h>

#include <tl/expected.hpp>

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace chivelock {

/** Identifies a lookup across the fleet: VM and incarnation of its root process, and a sequence number of that process.
 */
struct request_key {
    vm_id root;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    constexpr auto operator<=>(const request_key &) const = default;
};

/** One result row of a leaf. */
struct result_row {
    std::string id;
    double score = 0;
    std::string data; ///< JSON text, forwarded unchanged
    bool operator==(const result_row &) const = default;
};

/** Membership state of a VM as seen by another VM. */
enum class member_state : std::uint8_t {
    Alive,
    Suspect,
    Leaving,
    Gone
};

[[nodiscard]] std::string_view toString(member_state state);

/** Gossip about one VM. The higher incarnation is newer; with equal incarnations, the higher version is newer. */
struct member_rumour {
    vm_id vm;
    std::uint64_t incarnation = 0;
    std::uint32_t version = 0;
    member_state state = member_state::Alive;
    bool operator==(const member_rumour &) const = default;
};

/** A leaf that was observed to be leaving. The state is final for this incarnation of the leaf. */
struct leaving_leaf {
    leaf_id leaf;
    std::uint64_t incarnation = 0;
    constexpr auto operator<=>(const leaving_leaf &) const = default;
};

/** Liveness signal that also carries gossip: catalogue and topology revisions, member rumours and leaving leafs. */
struct heartbeat {
    member_rumour self;
    bool isAck = false;
    std::uint64_t nonce = 0;
    std::uint64_t catalogueRevision = 0;
    std::uint64_t topologyRevision = 0;
    std::vector<member_rumour> rumours;
    std::vector<leaving_leaf> leavingLeafs;
};

/** Root to runner: requests the execution of these shards as part of one attempt. */
struct run_shards {
    request_key key;
    std::uint32_t attempt = 0;
    std::string requestId;
    service_name service;
    urgency priority = urgency::Ordinary;
    snapshot_id snapshot;
    map_version version;
    millis remaining;
    std::uint32_t maxRows = 0;
    std::shared_ptr<const std::string> body;
    std::vector<shard_id> shards;
    bool honouredRetryAfter = false; ///< retried after the given Retry-After time: is queued ahead of new ordinary work
};

/** Runner to root: the runner is responsive and has accepted this attempt. */
struct run_accepted {
    request_key key;
    std::uint32_t attempt = 0;
};

/** Root to runner: asks whether the runner is still working on this attempt. */
struct run_probe {
    request_key key;
    std::uint32_t attempt = 0;
};

/** Root to runner: cancels the unfinished shards of this attempt. */
struct run_cancel {
    request_key key;
    std::uint32_t attempt = 0;
};

/** How one shard of one attempt ended at its runner. */
enum class shard_status : std::uint8_t {
    Ok,
    Overloaded, ///< not executed: the runner's queue is too long for the remaining time, or leafs shed the request
    SnapshotGone, ///< no leaf of the shard holds the snapshot
    LeafFailed, ///< every attempt at a leaf failed
    NoLeaf, ///< no leaf is usable: all are leaving or unresponsive
    Expired ///< the deadline passed
};

[[nodiscard]] std::string_view toString(shard_status status);

/** Runner to root: the result of one shard. */
struct shard_reply {
    request_key key;
    std::uint32_t attempt = 0;
    shard_id shard;
    shard_status status = shard_status::Ok;
    snapshot_id snapshot; ///< the snapshot that the rows come from
    map_version version;
    snapshot_id heldSnapshot; ///< with @ref shard_status::SnapshotGone: newest snapshot that a leaf reported
    millis retryAfter;
    std::uint32_t attempts = 0; ///< leaf requests sent for this shard
    millis queued; ///< from the runner's receipt to the send of the try that won
    millis service; ///< of the try that won
    std::vector<result_row> rows;
};

/** How a lookup ended. */
enum class lookup_outcome : std::uint8_t {
    Whole, ///< covers every shard of the pinned map, from one snapshot
    Partial, ///< covers only the listed shards, which the kind allows
    NotRun, ///< nothing was executed, and nothing will be
    Failed, ///< attempted without success; the lookup is idempotent, so a repeat is harmless
    Unknown ///< non-idempotent: may have run once, will not run again
};

[[nodiscard]] std::string_view toString(lookup_outcome outcome);

/** @return the outcome of a request that is refused before any of it was executed. Without a ticket, nothing can have
 *  run. With a ticket, an earlier request may have used it, and only the issuer of the ticket can rule that out. */
[[nodiscard]] constexpr lookup_outcome outcomeOfRefusal(bool hasTicket)
{
    return hasTicket ? lookup_outcome::Unknown : lookup_outcome::NotRun;
}

/** Why a lookup ended as it did. */
enum class answer_reason : std::uint8_t {
    None,
    BadRequest,
    UnknownKind,
    NeedsTicket,
    TicketMismatch, ///< the ticket was used for another request
    KindLimit, ///< the fleet-wide limit of the kind is reached
    Overloaded,
    NoTopology,
    NoCatalogue,
    SnapshotGone,
    LeafsFailed,
    NoLeaf,
    Expired,
    IssuerUnreachable, ///< the process that issued the ticket can't be reached
    TicketUnknown, ///< the issuer no longer has a record of the ticket
    TicketTableFull,
    Running, ///< the lookup with this ticket is still running; the caller should ask again
    Stopping,
    RingFull ///< an internal queue of this process was full
};

[[nodiscard]] std::string_view toString(answer_reason reason);

/** A shard that an answer does not cover, and why. */
struct missing_shard {
    shard_id shard;
    answer_reason reason = answer_reason::None;
    bool operator==(const missing_shard &) const = default;
};

/** The final answer to a caller; each request gets exactly one. */
struct lookup_answer {
    std::string requestId;
    kind_name kind;
    urgency priority = urgency::Ordinary; ///< priority of the kind; each process reads it from its own catalogue
    lookup_outcome outcome = lookup_outcome::NotRun;
    answer_reason reason = answer_reason::None;
    snapshot_id snapshot;
    map_version version;
    std::uint64_t catalogueRevision = 0;
    std::vector<shard_id> covered; ///< sorted
    std::vector<missing_shard> missing; ///< sorted by shard; covered and missing together are the pinned map
    std::vector<result_row> rows;
    millis elapsed;
    millis retryAfter; ///< 0: no advice
    std::uint32_t attempts = 0; ///< leaf requests sent for the lookup
    std::string ticket;
    std::string detail;
};

/** Any VM to the issuer of a ticket: redeems the ticket for this request. */
struct ticket_use {
    std::uint64_t nonce = 0;
    std::string ticket;
    kind_name kind;
    std::string requestId;
    std::string shardKey;
    std::string body;
    millis remaining;
};

/** The issuer's answer to @ref ticket_use. */
struct ticket_answer {
    std::uint64_t nonce = 0;
    lookup_answer answer;
};

/** Asks a peer for the catalogue changes after this revision. */
struct catalogue_pull {
    std::uint64_t haveRevision = 0;
};

/** A catalogue as text: the full document or a delta. */
struct catalogue_push {
    std::string document;
    bool isDelta = false;
};

using peer_message = std::variant<heartbeat,
                                  run_shards,
                                  run_accepted,
                                  run_probe,
                                  run_cancel,
                                  shard_reply,
                                  ticket_use,
                                  ticket_answer,
                                  catalogue_pull,
                                  catalogue_push>;

/** A message and its sender. */
struct peer_envelope {
    vm_id from;
    peer_message message;
};

/** Why a frame could not be decoded. */
enum class wire_error : std::uint8_t {
    TooLong, ///< the length prefix is above @ref maxFrameBytes
    Malformed, ///< rejected by the FlatBuffers verifier, or a required table is missing
    UnknownMessage ///< has no message, or holds a type or enum value that this version does not know
};

[[nodiscard]] std::string_view toString(wire_error error);

/** Largest payload of a frame, in bytes. Leaves headroom above a catalogue of one megabyte. */
inline constexpr std::size_t maxFrameBytes = 4U << 20U;

/** Size of the length prefix before the payload; the length is little-endian. */
inline constexpr std::size_t framePrefixBytes = 4;

/** @return a frame: the length prefix followed by @p payload. The size prefix of FlatBuffers is not used, because it
 *  would shift the offset from which the FlatBuffers verifier computes alignment. */
[[nodiscard]] std::string frameOf(std::span<const std::uint8_t> payload);

/** Bounds the text that is copied out of one payload, which may refer to the same text any number of times. */
class text_allowance
{
public:
    /** @return whether @p bytes more may be copied. Once they may not, nothing more may. */
    [[nodiscard]] bool take(std::size_t bytes)
    {
        m_isExceeded = m_isExceeded || bytes > m_left;
        m_left -= m_isExceeded ? 0 : bytes;
        return !m_isExceeded;
    }

    [[nodiscard]] bool isExceeded() const
    {
        return m_isExceeded;
    }

private:
    static constexpr std::size_t maxTextBytes = 4 * maxFrameBytes; // short texts like zones are shared by many tables

    std::size_t m_left = maxTextBytes;
    bool m_isExceeded = false;
};

/** The most tables in a payload without shared ones: each takes an offset to it and one to its layout. */
[[nodiscard]] constexpr std::size_t maxTablesIn(std::size_t payloadBytes)
{
    constexpr std::size_t minTableBytes = 8;
    return payloadBytes / minTableBytes + 1;
}

/** Copies a payload into storage that is aligned for its structs; in a stream buffer it may start at any offset. */
[[nodiscard]] std::vector<std::uint64_t> alignedCopy(std::span<const std::uint8_t> payload);

/** @return a complete frame, including the length prefix. */
[[nodiscard]] std::string encodeFrame(vm_id from, const peer_message &message);

/** Verifies and decodes the payload of one frame. */
[[nodiscard]] tl::expected<peer_envelope, wire_error> decodePayload(std::span<const std::uint8_t> payload);

/** Splits a byte stream into frame payloads. */
class frame_reader
{
public:
    /** Appends received bytes; frames may be split at any position. */
    void append(std::span<const std::uint8_t> bytes);

    /** @return the next complete payload, nothing if more bytes are needed, or the error for which the stream must be
     *  closed. The view is valid until the next call on the reader. */
    [[nodiscard]] tl::expected<std::optional<std::span<const std::uint8_t>>, wire_error> next();

private:
    std::vector<std::uint8_t> m_buffer;
    std::size_t m_begin = 0;
};

} // namespace chivelock

template<>
struct std::hash<chivelock::request_key> {
    std::size_t operator()(const chivelock::request_key &key) const noexcept
    {
        constexpr std::uint64_t hashMultiplier = 0x9e3779b97f4a7c15ULL;
        return static_cast<std::size_t>((key.sequence ^ key.incarnation) * hashMultiplier + key.root.value);
    }
};
