#pragma once

/**
 * @file
 * What the system's own processes tell each other, as plain structs, and the codec (FlatBuffers in length-prefixed
 * frames) that carries them. The decision libraries use only the structs.
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

/** Names one lookup in the whole fleet: the process that is its root, and that process's count. */
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
    std::string data; ///< JSON text, passed on as it came
    bool operator==(const result_row &) const = default;
};

/** What one VM is believed to be. */
enum class member_state : std::uint8_t {
    Alive,
    Suspect,
    Leaving,
    Gone
};

[[nodiscard]] std::string_view toString(member_state state);

/** What one VM has heard of another; a higher incarnation, then a higher version, is newer. */
struct member_rumour {
    vm_id vm;
    std::uint64_t incarnation = 0;
    std::uint32_t version = 0;
    member_state state = member_state::Alive;
    bool operator==(const member_rumour &) const = default;
};

/** A leaf that was seen to leave; final for this incarnation of the leaf. */
struct leaving_leaf {
    leaf_id leaf;
    std::uint64_t incarnation = 0;
    constexpr auto operator<=>(const leaving_leaf &) const = default;
};

/** Sign of life and carrier of everything that spreads. */
struct heartbeat {
    member_rumour self;
    bool isAck = false;
    std::uint64_t nonce = 0;
    std::uint64_t catalogueRevision = 0;
    std::uint64_t topologyRevision = 0;
    std::vector<member_rumour> rumours;
    std::vector<leaving_leaf> leavingLeafs;
};

/** Root to runner: run these shards of one attempt. */
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
    bool cameBack = false; ///< refused before, and returned when told: goes before new ordinary work
};

/** Runner to root: this attempt is in my hands, and I am awake. */
struct run_accepted {
    request_key key;
    std::uint32_t attempt = 0;
};

/** Root to runner: are you still on this attempt? */
struct run_probe {
    request_key key;
    std::uint32_t attempt = 0;
};

/** Root to runner: drop what is left of this attempt. */
struct run_cancel {
    request_key key;
    std::uint32_t attempt = 0;
};

/** How one shard of one attempt ended at its runner. */
enum class shard_status : std::uint8_t {
    Ok,
    Overloaded, ///< refused before any leaf saw it: the queue is too long for the time that is left
    SnapshotGone, ///< no leaf of the shard holds the snapshot
    LeafFailed, ///< tried, and every try failed
    NoLeaf, ///< no leaf may be used: all leave, or none shows signs of life
    Expired ///< the time was up
};

[[nodiscard]] std::string_view toString(shard_status status);

/** Runner to root: the end of one shard. */
struct shard_reply {
    request_key key;
    std::uint32_t attempt = 0;
    shard_id shard;
    shard_status status = shard_status::Ok;
    snapshot_id snapshot; ///< that the rows come from
    map_version version;
    snapshot_id heldSnapshot; ///< newest one that a leaf named, with @ref shard_status::SnapshotGone
    millis retryAfter;
    std::uint32_t attempts = 0; ///< leaf requests spent on it
    millis queued; ///< from the runner's receipt to the send of the try that won
    millis service; ///< of the try that won
    std::vector<result_row> rows;
};

/** How a lookup ended. */
enum class lookup_outcome : std::uint8_t {
    Whole, ///< every shard of the pinned map, from one snapshot
    Partial, ///< the named shards; the kind allows it
    NotRun, ///< nothing was started and nothing will be
    Failed, ///< tried in vain; repeatable, so harmless
    Unknown ///< unrepeatable: may have run once, will not run again
};

[[nodiscard]] std::string_view toString(lookup_outcome outcome);

/** How a request ends that is refused before anything was started for it. Without a ticket nothing can have run. With
 *  one, an earlier request may have used it, and only the ticket's issuer can say "not run". */
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
    KindLimit, ///< the fleet-wide limit of the kind
    Overloaded,
    NoTopology,
    NoCatalogue,
    SnapshotGone,
    LeafsFailed,
    NoLeaf,
    Expired,
    IssuerUnreachable, ///< the process that issued the ticket can't be asked
    TicketUnknown, ///< the issuer knows nothing of the ticket any more
    TicketTableFull,
    Running, ///< the ticketed lookup still runs; ask again
    Stopping,
    RingFull ///< a queue inside this process was full
};

[[nodiscard]] std::string_view toString(answer_reason reason);

/** A shard that an answer does not cover. */
struct missing_shard {
    shard_id shard;
    answer_reason reason = answer_reason::None;
    bool operator==(const missing_shard &) const = default;
};

/** The one final answer to a caller. */
struct lookup_answer {
    std::string requestId;
    kind_name kind;
    urgency priority = urgency::Ordinary; ///< of the kind; each process reads it from its own catalogue
    lookup_outcome outcome = lookup_outcome::NotRun;
    answer_reason reason = answer_reason::None;
    snapshot_id snapshot;
    map_version version;
    std::uint64_t catalogueRevision = 0;
    std::vector<shard_id> covered; ///< sorted
    std::vector<missing_shard> missing; ///< sorted by shard; covered and missing make up the pinned map
    std::vector<result_row> rows;
    millis elapsed;
    millis retryAfter; ///< 0: no advice
    std::uint32_t attempts = 0; ///< leaf requests spent on it
    std::string ticket;
    std::string detail;
};

/** Any VM to the issuer of a ticket: use it for this request. */
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

/** Give me what changed after this revision. */
struct catalogue_pull {
    std::uint64_t haveRevision = 0;
};

/** A catalogue as text, whole or as a delta. */
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

/** A message and who sent it. */
struct peer_envelope {
    vm_id from;
    peer_message message;
};

/** Why bytes are not a message. */
enum class wire_error : std::uint8_t {
    TooLong, ///< the length prefix is above @ref maxFrameBytes
    Malformed, ///< the FlatBuffers verifier refused it
    UnknownMessage ///< no message, or a value that this version does not know
};

[[nodiscard]] std::string_view toString(wire_error error);

/** The longest payload of a frame, in bytes; a catalogue of a megabyte fits with room to spare. */
inline constexpr std::size_t maxFrameBytes = 4U << 20U;

/** Bytes before the payload: its length, little-endian. */
inline constexpr std::size_t framePrefixBytes = 4;

/** @return @p payload behind its length prefix. The library's own prefix would shift the alignment that its verifier
 *  counts from. */
[[nodiscard]] std::string frameOf(std::span<const std::uint8_t> payload);

/** Copies a payload to where its structs have the alignment that they need; in a stream's buffer it starts anywhere. */
[[nodiscard]] std::vector<std::uint64_t> alignedCopy(std::span<const std::uint8_t> payload);

/** @return a whole frame, prefix included. */
[[nodiscard]] std::string encodeFrame(vm_id from, const peer_message &message);

/** Checks and reads the payload of one frame. */
[[nodiscard]] tl::expected<peer_envelope, wire_error> decodePayload(std::span<const std::uint8_t> payload);

/** Cuts a byte stream into payloads. */
class frame_reader
{
public:
    /** Takes bytes as they come. */
    void append(std::span<const std::uint8_t> bytes);

    /** @return the next whole payload, nothing if more bytes are needed, or why the stream must be closed. The
     *  view holds until the next call. */
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
        constexpr std::uint64_t spread = 0x9e3779b97f4a7c15ULL;
        return static_cast<std::size_t>((key.sequence ^ key.incarnation) * spread + key.root.value);
    }
};
