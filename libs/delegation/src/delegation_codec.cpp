#include <delegation/delegation.h>

#include <wire/wire.h>

#include <delegation_generated.h>

#include <algorithm>
#include <cmath>
#include <ranges>

namespace chivelock {

namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

constexpr double millicoresPerCore = 1000;

/** @return the texts of string identifiers. */
template<std::ranges::input_range ids>
std::vector<std::string> valuesOf(const ids &from)
{
    std::vector<std::string> values;
    std::ranges::transform(from, std::back_inserter(values), [](const auto &one) { return one.value; });
    return values;
}

struct table_writer {
    FlatBufferBuilder &builder;

    Offset<delegation_wire::Envelope> operator()(const delegate_request &message) const
    {
        const std::vector<std::string> shards = valuesOf(message.work.shards);
        const auto requestId = builder.CreateString(message.requestId);
        const auto before = builder.CreateString(message.beforeTime);
        const auto after = builder.CreateString(message.afterTime);
        const auto route = builder.CreateString(message.work.route);
        const auto shardNames = builder.CreateVectorOfStrings(shards);
        const auto regions = builder.CreateVectorOfStrings(valuesOf(message.work.homeRegions));
        const auto tried = builder.CreateVectorOfStrings(message.work.triedLeafs);
        const auto table = delegation_wire::CreateRequest(builder,
                                                          message.id,
                                                          requestId,
                                                          before,
                                                          after,
                                                          message.toHead,
                                                          route,
                                                          shardNames,
                                                          static_cast<std::uint32_t>(message.work.topRecords),
                                                          message.work.objective.micros(),
                                                          message.work.firstReportIn.micros(),
                                                          message.work.cutoffIn.micros(),
                                                          message.work.limitIn.micros(),
                                                          tried,
                                                          message.work.alone,
                                                          message.work.key.caller,
                                                          message.work.key.content,
                                                          message.work.attempt,
                                                          message.work.rank,
                                                          regions);
        return wrapInEnvelope(delegation_wire::Message::Request, table.Union());
    }

    Offset<delegation_wire::Envelope> operator()(const delegate_progress &message) const
    {
        std::vector<Offset<delegation_wire::Part>> parts;
        for (const delegated_part &part : message.progress.parts) {
            const auto digest = builder.CreateString(part.stamp);
            parts.push_back(delegation_wire::CreatePart(builder, part.shard, digest));
        }
        std::vector<Offset<delegation_wire::Lost>> lost;
        for (const lost_shard &shard : message.progress.lost) {
            const auto leafId = builder.CreateString(shard.leafId);
            lost.push_back(delegation_wire::CreateLost(
                builder, shard.shard, shard.mayHaveRun, shard.reachedLeaf, leafId, shard.leafCrashed));
        }
        std::vector<Offset<delegation_wire::Pending>> pending;
        for (const pending_shard &shard : message.progress.pending) {
            const auto leafId = builder.CreateString(shard.leafId);
            pending.push_back(delegation_wire::CreatePending(builder, shard.shard, leafId));
        }
        const auto &bytes = message.progress.records;
        const auto allParts = builder.CreateVector(parts);
        const auto records = builder.CreateVector(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
        const auto allLost = builder.CreateVector(lost);
        const auto allPending = builder.CreateVector(pending);
        const auto load = writeLoad(message.progress.load);
        const auto table = delegation_wire::CreateProgress(
            builder, message.id, allParts, records, allLost, allPending, message.progress.last, load);
        return wrapInEnvelope(delegation_wire::Message::Progress, table.Union());
    }

    Offset<delegation_wire::Envelope> operator()(const delegate_cancel &message) const
    {
        return wrapInEnvelope(
            delegation_wire::Message::Cancel,
            delegation_wire::CreateCancel(builder, message.id, message.callerLeft, message.survived).Union());
    }

private:
    [[nodiscard]] Offset<delegation_wire::Load> writeLoad(const std::optional<vm_load> &load) const
    {
        if (!load) {
            return 0;
        }
        const auto capacity = static_cast<std::uint32_t>(std::lround(load->capacity * millicoresPerCore));
        return delegation_wire::CreateLoad(builder, capacity, load->lag.micros(), load->queuedBytes);
    }

    [[nodiscard]] Offset<delegation_wire::Envelope> wrapInEnvelope(delegation_wire::Message type,
                                                                   Offset<void> message) const
    {
        return delegation_wire::CreateEnvelope(builder, type, message);
    }
};

/** Copies the message out of a verified payload. */
struct message_reader {
    text_allowance texts;

    std::string textOrEmpty(const flatbuffers::String *text)
    {
        return text == nullptr || !texts.take(text->size()) ? std::string() : text->str();
    }

    delegate_request readRequest(const delegation_wire::Request &from)
    {
        delegate_request message;
        message.id = from.id();
        message.requestId = textOrEmpty(from.request_id());
        message.beforeTime = textOrEmpty(from.before_time());
        message.afterTime = textOrEmpty(from.after_time());
        message.toHead = from.to_head();
        message.work.route = textOrEmpty(from.route());
        message.work.topRecords = from.top_records();
        message.work.objective = millis::fromMicros(from.objective_micros());
        message.work.firstReportIn = millis::fromMicros(from.speak_micros());
        message.work.cutoffIn = millis::fromMicros(from.cutoff_micros());
        message.work.limitIn = millis::fromMicros(from.limit_micros());
        if (from.shards() != nullptr) {
            for (const auto *shard : *from.shards()) {
                message.work.shards.push_back({textOrEmpty(shard)});
            }
        }
        if (from.regions() != nullptr) {
            for (const auto *region : *from.regions()) {
                message.work.homeRegions.push_back({textOrEmpty(region)});
            }
        }
        message.work.alone = from.alone();
        message.work.key = {from.key_caller(), from.key_content()};
        message.work.attempt = from.attempt();
        message.work.rank = from.rank();
        if (from.tried() != nullptr) {
            std::ranges::transform(*from.tried(),
                                   std::back_inserter(message.work.triedLeafs),
                                   [this](const auto *text) { return textOrEmpty(text); });
        }
        return message;
    }

    delegate_progress readProgress(const delegation_wire::Progress &from)
    {
        delegate_progress message;
        message.id = from.id();
        message.progress.last = from.last();
        if (const delegation_wire::Load *load = from.load()) {
            message.progress.load = vm_load {load->capacity_millicores() / millicoresPerCore,
                                             millis::fromMicros(load->lag_micros()),
                                             load->queued_bytes()};
        }
        if (from.parts() != nullptr) {
            for (const auto *part : *from.parts()) {
                message.progress.parts.push_back({part->shard(), textOrEmpty(part->digest())});
            }
        }
        if (from.records() != nullptr) {
            message.progress.records.assign(from.records()->begin(), from.records()->end());
        }
        if (from.lost() != nullptr) {
            for (const auto *lost : *from.lost()) {
                message.progress.lost.push_back({lost->shard(),
                                                 lost->may_have_run(),
                                                 lost->reached_leaf(),
                                                 lost->leaf_ended(),
                                                 textOrEmpty(lost->leaf())});
            }
        }
        if (from.pending() != nullptr) {
            for (const auto *pending : *from.pending()) {
                message.progress.pending.push_back({pending->shard(), textOrEmpty(pending->leaf())});
            }
        }
        return message;
    }
};

tl::expected<delegation_message, delegation_wire_error> readMessage(const delegation_wire::Envelope &envelope,
                                                                    message_reader &reader)
{
    if (envelope.message() == nullptr) {
        return tl::unexpected(delegation_wire_error::UnknownMessage);
    }
    switch (envelope.message_type()) {
    case delegation_wire::Message::Request:
        return reader.readRequest(*envelope.message_as_Request());
    case delegation_wire::Message::Progress:
        return reader.readProgress(*envelope.message_as_Progress());
    case delegation_wire::Message::Cancel:
        return delegate_cancel {envelope.message_as_Cancel()->id(),
                                envelope.message_as_Cancel()->caller_left(),
                                envelope.message_as_Cancel()->survived()};
    default:
        return tl::unexpected(delegation_wire_error::UnknownMessage);
    }
}

} // namespace

std::string encodeDelegationFrame(const delegation_message &message)
{
    FlatBufferBuilder builder;
    builder.Finish(std::visit(table_writer {builder}, message));
    return frameOf({builder.GetBufferPointer(), builder.GetSize()});
}

tl::expected<delegation_message, delegation_wire_error> decodeDelegationPayload(std::span<const std::uint8_t> payload)
{
    const std::vector<std::uint64_t> aligned = alignedCopy(payload);
    const auto *data = reinterpret_cast<const std::uint8_t *>(aligned.data());
    constexpr flatbuffers::uoffset_t maxDepth = 64;
    const auto maxTables = static_cast<flatbuffers::uoffset_t>(maxTablesIn(payload.size()));
    flatbuffers::Verifier verifier(data, payload.size(), maxDepth, maxTables);
    if (payload.empty() || !delegation_wire::VerifyEnvelopeBuffer(verifier)) {
        return tl::unexpected(delegation_wire_error::Malformed);
    }
    const delegation_wire::Envelope &envelope = *delegation_wire::GetEnvelope(data);
    message_reader reader;
    auto message = readMessage(envelope, reader);
    if (reader.texts.isExceeded()) {
        return tl::unexpected(delegation_wire_error::Malformed);
    }
    return message;
}

} // namespace chivelock
