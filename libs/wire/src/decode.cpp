#include <wire/wire.h>

#include <peer_generated.h>

#include <algorithm>

namespace chivelock {

namespace {

/** Decodes an absent string as empty: a sender of another version may omit a field. */
std::string textOf(const flatbuffers::String *text)
{
    return text != nullptr ? text->str() : std::string();
}

request_key keyOf(const wire::RequestKey *key)
{
    return key != nullptr ? request_key {{key->root()}, key->incarnation(), key->sequence()} : request_key();
}

template<typename id>
std::vector<id> idsOf(const flatbuffers::Vector<std::uint32_t> *numbers)
{
    std::vector<id> ids;
    if (numbers != nullptr) {
        std::ranges::transform(*numbers, std::back_inserter(ids), [](std::uint32_t number) { return id {number}; });
    }
    return ids;
}

std::vector<result_row> rowsOf(const flatbuffers::Vector<flatbuffers::Offset<wire::Row>> *rows)
{
    std::vector<result_row> result;
    if (rows != nullptr) {
        result.reserve(rows->size());
        for (const wire::Row *row : *rows) {
            result.push_back({textOf(row->id()), row->score(), textOf(row->data())});
        }
    }
    return result;
}

/** Values above the last known one must be rejected: they would index past the end of lookup tables. */
template<typename enumeration>
bool isKnown(std::uint8_t value, enumeration last)
{
    return value <= static_cast<std::uint8_t>(last);
}

using decode_result = tl::expected<peer_message, wire_error>;

decode_result decodeHeartbeat(const wire::Heartbeat &from)
{
    if (!isKnown(from.state(), member_state::Gone)) {
        return tl::unexpected(wire_error::UnknownMessage);
    }
    heartbeat message;
    message.self = {{from.vm()}, from.incarnation(), from.version(), static_cast<member_state>(from.state())};
    message.isAck = from.is_ack();
    message.nonce = from.nonce();
    message.catalogueRevision = from.catalogue_revision();
    message.topologyRevision = from.topology_revision();
    if (from.rumours() != nullptr) {
        for (const wire::Rumour *rumour : *from.rumours()) {
            if (!isKnown(rumour->state(), member_state::Gone)) {
                return tl::unexpected(wire_error::UnknownMessage);
            }
            message.rumours.push_back(
                {{rumour->vm()}, rumour->incarnation(), rumour->version(), static_cast<member_state>(rumour->state())});
        }
    }
    if (from.leaving_leafs() != nullptr) {
        for (const wire::LeafIncarnation *leaf : *from.leaving_leafs()) {
            message.leavingLeafs.push_back({{leaf->leaf()}, leaf->incarnation()});
        }
    }
    return message;
}

decode_result decodeRunShards(const wire::RunShards &from)
{
    if (!isKnown(from.priority(), urgency::Ordinary)) {
        return tl::unexpected(wire_error::UnknownMessage);
    }
    run_shards message;
    message.key = keyOf(from.key());
    message.attempt = from.attempt();
    message.requestId = textOf(from.request_id());
    message.service = {textOf(from.service())};
    message.priority = static_cast<urgency>(from.priority());
    message.snapshot = {from.snapshot()};
    message.version = {from.map_version()};
    message.remaining = millis::fromMicros(from.remaining_micros());
    message.maxRows = from.max_rows();
    message.body = std::make_shared<std::string>(textOf(from.body()));
    message.shards = idsOf<shard_id>(from.shards());
    message.honouredRetryAfter = from.came_back();
    return message;
}

decode_result decodeShardReply(const wire::ShardReply &from)
{
    if (!isKnown(from.status(), shard_status::Expired)) {
        return tl::unexpected(wire_error::UnknownMessage);
    }
    shard_reply message;
    message.key = keyOf(from.key());
    message.attempt = from.attempt();
    message.shard = {from.shard()};
    message.status = static_cast<shard_status>(from.status());
    message.snapshot = {from.snapshot()};
    message.version = {from.map_version()};
    message.heldSnapshot = {from.held_snapshot()};
    message.retryAfter = millis::fromMicros(from.retry_after_micros());
    message.attempts = from.attempts();
    message.queued = millis::fromMicros(from.queued_micros());
    message.service = millis::fromMicros(from.service_micros());
    message.rows = rowsOf(from.rows());
    return message;
}

tl::expected<lookup_answer, wire_error> answerOf(const wire::Answer &from)
{
    if (!isKnown(from.outcome(), lookup_outcome::Unknown) || !isKnown(from.reason(), answer_reason::RingFull)) {
        return tl::unexpected(wire_error::UnknownMessage);
    }
    lookup_answer answer;
    answer.requestId = textOf(from.request_id());
    answer.kind = {textOf(from.kind())};
    answer.outcome = static_cast<lookup_outcome>(from.outcome());
    answer.reason = static_cast<answer_reason>(from.reason());
    answer.snapshot = {from.snapshot()};
    answer.version = {from.map_version()};
    answer.catalogueRevision = from.catalogue_revision();
    answer.covered = idsOf<shard_id>(from.covered());
    if (from.missing() != nullptr) {
        for (const wire::MissingShard *shard : *from.missing()) {
            if (!isKnown(shard->reason(), answer_reason::RingFull)) {
                return tl::unexpected(wire_error::UnknownMessage);
            }
            answer.missing.push_back({{shard->shard()}, static_cast<answer_reason>(shard->reason())});
        }
    }
    answer.rows = rowsOf(from.rows());
    answer.elapsed = millis::fromMicros(from.elapsed_micros());
    answer.retryAfter = millis::fromMicros(from.retry_after_micros());
    answer.attempts = from.attempts();
    answer.ticket = textOf(from.ticket());
    answer.detail = textOf(from.detail());
    return answer;
}

decode_result decodeTicketUse(const wire::TicketUse &from)
{
    return ticket_use {from.nonce(),
                       textOf(from.ticket()),
                       {textOf(from.kind())},
                       textOf(from.request_id()),
                       textOf(from.shard_key()),
                       textOf(from.body()),
                       millis::fromMicros(from.remaining_micros())};
}

decode_result decodeTicketAnswer(const wire::TicketAnswer &from)
{
    if (from.answer() == nullptr) {
        return tl::unexpected(wire_error::Malformed);
    }
    return answerOf(*from.answer()).map([&from](lookup_answer answer) -> peer_message {
        return ticket_answer {from.nonce(), std::move(answer)};
    });
}

decode_result decodeMessage(const wire::Envelope &envelope)
{
    switch (envelope.message_type()) {
    case wire::Message::Heartbeat:
        return decodeHeartbeat(*envelope.message_as_Heartbeat());
    case wire::Message::RunShards:
        return decodeRunShards(*envelope.message_as_RunShards());
    case wire::Message::RunAccepted:
        return run_accepted {keyOf(envelope.message_as_RunAccepted()->key()),
                             envelope.message_as_RunAccepted()->attempt()};
    case wire::Message::RunProbe:
        return run_probe {keyOf(envelope.message_as_RunProbe()->key()), envelope.message_as_RunProbe()->attempt()};
    case wire::Message::RunCancel:
        return run_cancel {keyOf(envelope.message_as_RunCancel()->key()), envelope.message_as_RunCancel()->attempt()};
    case wire::Message::ShardReply:
        return decodeShardReply(*envelope.message_as_ShardReply());
    case wire::Message::TicketUse:
        return decodeTicketUse(*envelope.message_as_TicketUse());
    case wire::Message::TicketAnswer:
        return decodeTicketAnswer(*envelope.message_as_TicketAnswer());
    case wire::Message::CataloguePull:
        return catalogue_pull {envelope.message_as_CataloguePull()->have_revision()};
    case wire::Message::CataloguePush:
        return catalogue_push {textOf(envelope.message_as_CataloguePush()->document()),
                               envelope.message_as_CataloguePush()->is_delta()};
    default:
        return tl::unexpected(wire_error::UnknownMessage);
    }
}

std::size_t readLength(std::span<const std::uint8_t> prefix)
{
    return static_cast<std::size_t>(prefix[0]) | static_cast<std::size_t>(prefix[1]) << 8U
        | static_cast<std::size_t>(prefix[2]) << 16U | static_cast<std::size_t>(prefix[3]) << 24U;
}

} // namespace

std::vector<std::uint64_t> alignedCopy(std::span<const std::uint8_t> payload)
{
    std::vector<std::uint64_t> aligned((payload.size() + sizeof(std::uint64_t) - 1) / sizeof(std::uint64_t));
    std::ranges::copy(payload, reinterpret_cast<std::uint8_t *>(aligned.data()));
    return aligned;
}

tl::expected<peer_envelope, wire_error> decodePayload(std::span<const std::uint8_t> bytes)
{
    const std::vector<std::uint64_t> aligned = alignedCopy(bytes);
    const std::span<const std::uint8_t> payload(reinterpret_cast<const std::uint8_t *>(aligned.data()), bytes.size());
    // Without the verifier, a forged offset would read memory outside the frame: the process crashes, or unrelated
    // bytes end up in an answer.
    flatbuffers::Verifier verifier(payload.data(), payload.size());
    if (payload.empty() || !wire::VerifyEnvelopeBuffer(verifier)) {
        return tl::unexpected(wire_error::Malformed);
    }
    const wire::Envelope &envelope = *wire::GetEnvelope(payload.data());
    if (envelope.message() == nullptr) {
        return tl::unexpected(wire_error::UnknownMessage);
    }
    return decodeMessage(envelope).map([&envelope](peer_message message) {
        return peer_envelope {{envelope.from()}, std::move(message)};
    });
}

void frame_reader::append(std::span<const std::uint8_t> bytes)
{
    if (m_begin > 0) {
        m_buffer.erase(m_buffer.begin(), m_buffer.begin() + static_cast<std::ptrdiff_t>(m_begin));
        m_begin = 0;
    }
    m_buffer.insert(m_buffer.end(), bytes.begin(), bytes.end());
}

tl::expected<std::optional<std::span<const std::uint8_t>>, wire_error> frame_reader::next()
{
    const std::span<const std::uint8_t> unread = std::span<const std::uint8_t>(m_buffer).subspan(m_begin);
    if (unread.size() < framePrefixBytes) {
        return std::nullopt;
    }
    const std::size_t length = readLength(unread);
    if (length > maxFrameBytes) {
        return tl::unexpected(wire_error::TooLong);
    }
    if (unread.size() < framePrefixBytes + length) {
        return std::nullopt;
    }
    m_begin += framePrefixBytes + length;
    return unread.subspan(framePrefixBytes, length);
}

} // namespace chivelock
