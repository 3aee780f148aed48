#include <wire/wire.h>

#include <peer_generated.h>

#include <algorithm>

namespace chivelock {

namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

wire::RequestKey keyOf(const request_key &key)
{
    return {key.root.value, key.incarnation, key.sequence};
}

template<typename range>
Offset<flatbuffers::Vector<std::uint32_t>> numbersOf(FlatBufferBuilder &builder, const range &ids)
{
    std::vector<std::uint32_t> numbers;
    numbers.reserve(ids.size());
    std::ranges::transform(ids, std::back_inserter(numbers), [](const auto &id) { return id.value; });
    return builder.CreateVector(numbers);
}

Offset<flatbuffers::Vector<Offset<wire::Row>>> rowsOf(FlatBufferBuilder &builder, std::span<const result_row> rows)
{
    std::vector<Offset<wire::Row>> offsets;
    offsets.reserve(rows.size());
    for (const result_row &row : rows) {
        const auto id = builder.CreateString(row.id);
        const auto data = builder.CreateString(row.data);
        offsets.push_back(wire::CreateRow(builder, id, row.score, data));
    }
    return builder.CreateVector(offsets);
}

Offset<wire::Answer> answerOf(FlatBufferBuilder &builder, const lookup_answer &answer)
{
    std::vector<Offset<wire::MissingShard>> missing;
    for (const missing_shard &shard : answer.missing) {
        missing.push_back(
            wire::CreateMissingShard(builder, shard.shard.value, static_cast<std::uint8_t>(shard.reason)));
    }
    const auto requestId = builder.CreateString(answer.requestId);
    const auto kind = builder.CreateString(answer.kind.value);
    const auto covered = numbersOf(builder, answer.covered);
    const auto missingVector = builder.CreateVector(missing);
    const auto rows = rowsOf(builder, answer.rows);
    const auto ticket = builder.CreateString(answer.ticket);
    const auto detail = builder.CreateString(answer.detail);
    return wire::CreateAnswer(builder,
                              requestId,
                              kind,
                              static_cast<std::uint8_t>(answer.outcome),
                              static_cast<std::uint8_t>(answer.reason),
                              answer.snapshot.value,
                              answer.version.value,
                              answer.catalogueRevision,
                              covered,
                              missingVector,
                              rows,
                              answer.elapsed.micros(),
                              answer.retryAfter.micros(),
                              answer.attempts,
                              ticket,
                              detail);
}

/** Builds the FlatBuffers table of each message type. */
struct message_builder {
    FlatBufferBuilder &builder;

    Offset<void> operator()(const heartbeat &message) const
    {
        std::vector<Offset<wire::Rumour>> rumours;
        for (const member_rumour &rumour : message.rumours) {
            rumours.push_back(wire::CreateRumour(
                builder, rumour.vm.value, rumour.incarnation, rumour.version, static_cast<std::uint8_t>(rumour.state)));
        }
        std::vector<wire::LeafIncarnation> leaving;
        for (const leaving_leaf &leaf : message.leavingLeafs) {
            leaving.emplace_back(leaf.leaf.value, leaf.incarnation);
        }
        const auto rumourVector = builder.CreateVector(rumours);
        const auto leavingVector = builder.CreateVectorOfStructs(leaving);
        return wire::CreateHeartbeat(builder,
                                     message.self.vm.value,
                                     message.self.incarnation,
                                     message.self.version,
                                     static_cast<std::uint8_t>(message.self.state),
                                     message.isAck,
                                     message.nonce,
                                     message.catalogueRevision,
                                     message.topologyRevision,
                                     rumourVector,
                                     leavingVector)
            .Union();
    }

    Offset<void> operator()(const run_shards &message) const
    {
        const auto key = keyOf(message.key);
        const auto requestId = builder.CreateString(message.requestId);
        const auto service = builder.CreateString(message.service.value);
        const auto body = builder.CreateString(message.body ? *message.body : std::string());
        const auto shards = numbersOf(builder, message.shards);
        return wire::CreateRunShards(builder,
                                     &key,
                                     message.attempt,
                                     requestId,
                                     service,
                                     static_cast<std::uint8_t>(message.priority),
                                     message.snapshot.value,
                                     message.version.value,
                                     message.remaining.micros(),
                                     message.maxRows,
                                     body,
                                     shards,
                                     message.honouredRetryAfter)
            .Union();
    }

    Offset<void> operator()(const run_accepted &message) const
    {
        const auto key = keyOf(message.key);
        return wire::CreateRunAccepted(builder, &key, message.attempt).Union();
    }

    Offset<void> operator()(const run_probe &message) const
    {
        const auto key = keyOf(message.key);
        return wire::CreateRunProbe(builder, &key, message.attempt).Union();
    }

    Offset<void> operator()(const run_cancel &message) const
    {
        const auto key = keyOf(message.key);
        return wire::CreateRunCancel(builder, &key, message.attempt).Union();
    }

    Offset<void> operator()(const shard_reply &message) const
    {
        const auto key = keyOf(message.key);
        const auto rows = rowsOf(builder, message.rows);
        return wire::CreateShardReply(builder,
                                      &key,
                                      message.attempt,
                                      message.shard.value,
                                      static_cast<std::uint8_t>(message.status),
                                      message.snapshot.value,
                                      message.version.value,
                                      message.heldSnapshot.value,
                                      message.retryAfter.micros(),
                                      message.attempts,
                                      message.queued.micros(),
                                      message.service.micros(),
                                      rows)
            .Union();
    }

    Offset<void> operator()(const ticket_use &message) const
    {
        const auto ticket = builder.CreateString(message.ticket);
        const auto kind = builder.CreateString(message.kind.value);
        const auto requestId = builder.CreateString(message.requestId);
        const auto shardKey = builder.CreateString(message.shardKey);
        const auto body = builder.CreateString(message.body);
        return wire::CreateTicketUse(
                   builder, message.nonce, ticket, kind, requestId, shardKey, body, message.remaining.micros())
            .Union();
    }

    Offset<void> operator()(const ticket_answer &message) const
    {
        const auto answer = answerOf(builder, message.answer);
        return wire::CreateTicketAnswer(builder, message.nonce, answer).Union();
    }

    Offset<void> operator()(const catalogue_pull &message) const
    {
        return wire::CreateCataloguePull(builder, message.haveRevision).Union();
    }

    Offset<void> operator()(const catalogue_push &message) const
    {
        const auto document = builder.CreateString(message.document);
        return wire::CreateCataloguePush(builder, document, message.isDelta).Union();
    }
};

/** The type numbers of the union in peer.fbs follow the order of @ref peer_message and start at 1. */
wire::Message typeOf(const peer_message &message)
{
    return static_cast<wire::Message>(message.index() + 1);
}

static_assert(std::variant_size_v<peer_message> == static_cast<std::size_t>(wire::Message::MAX));

} // namespace

std::string frameOf(std::span<const std::uint8_t> payload)
{
    constexpr unsigned byteBits = 8;
    constexpr std::uint32_t byteMask = 0xff;
    std::string frame;
    frame.reserve(framePrefixBytes + payload.size());
    for (unsigned index = 0; index < framePrefixBytes; ++index) {
        frame.push_back(static_cast<char>((payload.size() >> (index * byteBits)) & byteMask));
    }
    frame.append(reinterpret_cast<const char *>(payload.data()), payload.size());
    return frame;
}

std::string encodeFrame(vm_id from, const peer_message &message)
{
    FlatBufferBuilder builder;
    const Offset<void> body = std::visit(message_builder {builder}, message);
    const auto envelope = wire::CreateEnvelope(builder, from.value, typeOf(message), body);
    builder.Finish(envelope);
    return frameOf({builder.GetBufferPointer(), builder.GetSize()});
}

} // namespace chivelock
