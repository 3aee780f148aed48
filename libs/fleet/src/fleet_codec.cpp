#include <fleet/fleet.h>

#include "compression.h"

#include <fleet_generated.h>
#include <wire/wire.h>

#include <algorithm>
#include <limits>

namespace chivelock {

namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

Offset<flatbuffers::Vector<Offset<fleet_wire::Member>>> membersOf(FlatBufferBuilder &builder,
                                                                  std::span<const fleet_member> members)
{
    std::vector<Offset<fleet_wire::Member>> offsets;
    for (const fleet_member &one : members) {
        const auto address = builder.CreateString(one.address);
        const auto zone = builder.CreateSharedString(one.zone.value);
        offsets.push_back(fleet_wire::CreateMember(builder, address, zone));
    }
    return builder.CreateVector(offsets);
}

// Compressing smaller messages costs more than it saves; a heartbeat has 200 bytes.
constexpr std::size_t minCompressedMessageBytes = 512;

constexpr double hundredths = 100;

std::uint16_t saturatedUint16(double value)
{
    constexpr double most = std::numeric_limits<std::uint16_t>::max();
    return static_cast<std::uint16_t>(std::clamp(value, 0.0, most));
}

constexpr millis maxWireAge(4.0e9); // some weeks; just below the largest number of milliseconds in the wire format

constexpr std::uint32_t unknownAge = std::numeric_limits<std::uint32_t>::max(); // as in fleet.fbs

/** @param at time relative to now. */
std::uint32_t ageOf(millis at)
{
    return static_cast<std::uint32_t>(std::clamp(millis() - at, millis(), maxWireAge).count());
}

Offset<flatbuffers::Vector<std::uint8_t>> bytesOf(FlatBufferBuilder &builder, std::string_view bytes)
{
    return builder.CreateVector(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
}

/** Encodes one alternative of @ref fleet_message as the union member of the same meaning. */
struct message_writer {
    FlatBufferBuilder &builder;

    Offset<fleet_wire::Envelope> operator()(const follow_request &message) const
    {
        std::vector<Offset<fleet_wire::Known>> known;
        for (const known_revision &one : message.known) {
            const auto prefix = builder.CreateString(one.prefix);
            known.push_back(fleet_wire::CreateKnown(builder, prefix, one.revision));
        }
        const auto address = builder.CreateString(message.address);
        const auto all = builder.CreateVector(known);
        const auto members = membersOf(builder, message.members);
        return wrap(fleet_wire::Message::Follow,
                    fleet_wire::CreateFollow(builder,
                                             address,
                                             message.subtree,
                                             all,
                                             members,
                                             builder.CreateString(message.zone.value),
                                             message.readsStore,
                                             message.isUnconfirmed,
                                             message.acceptsParts)
                        .Union());
    }

    Offset<fleet_wire::Envelope> operator()(const follow_heartbeat &message) const
    {
        const auto joined = membersOf(builder, message.changes.joined);
        const auto left = membersOf(builder, message.changes.left);
        return wrap(fleet_wire::Message::Beat,
                    fleet_wire::CreateBeat(builder, message.subtree, 0, joined, left, message.isUnconfirmed).Union());
    }

    Offset<fleet_wire::Envelope> operator()(const upstream_state &message) const
    {
        const auto path = builder.CreateVectorOfStrings(message.path);
        const auto referrals = builder.CreateVectorOfStrings(message.referrals);
        const auto members = membersOf(builder, message.members);
        const auto joined = membersOf(builder, message.changes.joined);
        const auto left = membersOf(builder, message.changes.left);
        return wrap(fleet_wire::Message::State,
                    fleet_wire::CreateState(builder,
                                            message.accepted,
                                            message.storeOk,
                                            message.fleetSize,
                                            path,
                                            referrals,
                                            members,
                                            joined,
                                            left,
                                            message.starting,
                                            message.currentAsOf ? ageOf(*message.currentAsOf) : unknownAge,
                                            message.isUnconfirmed)
                        .Union());
    }

    Offset<fleet_wire::Envelope> operator()(const recent_deletions &message) const
    {
        const auto prefix = builder.CreateString(message.prefix);
        const auto all = itemsOf(message.items);
        return wrap(fleet_wire::Message::Deletions, fleet_wire::CreateDeletions(builder, prefix, all).Union());
    }

    Offset<fleet_wire::Envelope> operator()(const store_items &message) const
    {
        const auto prefix = builder.CreateString(message.prefix);
        const auto all = itemsOf(message.items);
        const auto patches = patchesOf(message.patches);
        return wrap(
            fleet_wire::Message::Items,
            fleet_wire::CreateItems(
                builder, prefix, message.whole, message.revision, all, patches, message.part, message.isUnfinished)
                .Union());
    }

    Offset<fleet_wire::Envelope> operator()(const leaf_reports_message &message) const
    {
        std::vector<fleet_wire::Report> reports;
        for (const leaf_report &one : message.reports) {
            reports.emplace_back(one.leaf,
                                 one.observer,
                                 saturatedUint16(one.slowness * hundredths),
                                 saturatedUint16((millis() - one.observedAt).count()),
                                 one.unreachable);
        }
        const auto all = builder.CreateVectorOfStructs(reports);
        return wrap(fleet_wire::Message::Reports, fleet_wire::CreateReports(builder, all).Union());
    }

    Offset<fleet_wire::Envelope> operator()(const request_evidence_message &message) const
    {
        std::vector<Offset<fleet_wire::Request>> requests;
        for (const request_evidence &one : message.requests) {
            std::vector<fleet_wire::LeafEnd> ends;
            for (const leaf_crash &end : one.ends) {
                ends.emplace_back(end.attempt, end.leaf, ageOf(end.at), end.alone);
            }
            const auto all = builder.CreateVectorOfStructs(ends);
            const bool answered = one.answeredAt > millis() - maxWireAge;
            const std::uint32_t age = answered ? ageOf(one.answeredAt) : 0;
            requests.push_back(fleet_wire::CreateRequest(
                builder, one.key.caller, one.key.content, one.route, all, answered, age, one.vouched));
        }
        const auto all = builder.CreateVector(requests);
        return wrap(fleet_wire::Message::Requests, fleet_wire::CreateRequests(builder, all).Union());
    }

private:
    [[nodiscard]] Offset<flatbuffers::Vector<Offset<fleet_wire::Item>>> itemsOf(std::span<const store_item> items) const
    {
        std::vector<Offset<fleet_wire::Item>> offsets;
        for (const store_item &item : items) {
            const auto key = builder.CreateString(item.key);
            const auto value = builder.CreateString(item.value);
            offsets.push_back(fleet_wire::CreateItem(builder, key, item.revision, item.deleted, value, item.created));
        }
        return builder.CreateVector(offsets);
    }

    [[nodiscard]] Offset<flatbuffers::Vector<Offset<fleet_wire::Patch>>>
    patchesOf(std::span<const item_patch> patches) const
    {
        std::vector<Offset<fleet_wire::Patch>> offsets;
        for (const item_patch &one : patches) {
            const auto key = builder.CreateString(one.key);
            const auto bytes = bytesOf(builder, one.bytes);
            offsets.push_back(
                fleet_wire::CreatePatch(builder, key, one.revision, one.baseRevision, one.digest, one.size, bytes));
        }
        return builder.CreateVector(offsets);
    }

    [[nodiscard]] Offset<fleet_wire::Envelope> wrap(fleet_wire::Message type, Offset<void> message) const
    {
        return fleet_wire::CreateEnvelope(builder, type, message);
    }
};

/** Copies the message out of a verified payload. */
struct message_reader {
    text_allowance texts;

    std::string textOf(const flatbuffers::Vector<std::uint8_t> *bytes)
    {
        return bytes == nullptr || !texts.take(bytes->size()) ? std::string()
                                                              : std::string(bytes->begin(), bytes->end());
    }

    std::string textOf(const flatbuffers::String *text)
    {
        return text == nullptr || !texts.take(text->size()) ? std::string() : text->str();
    }

    std::vector<std::string> textsOf(const flatbuffers::Vector<Offset<flatbuffers::String>> *list)
    {
        std::vector<std::string> result;
        if (list != nullptr) {
            std::ranges::transform(
                *list, std::back_inserter(result), [this](const auto *text) { return textOf(text); });
        }
        return result;
    }

    std::vector<fleet_member> readMembers(const flatbuffers::Vector<Offset<fleet_wire::Member>> *from)
    {
        std::vector<fleet_member> members;
        if (from != nullptr) {
            for (const auto *one : *from) {
                members.push_back({textOf(one->address()), {textOf(one->zone())}});
            }
        }
        return members;
    }

    follow_request readFollow(const fleet_wire::Follow &from)
    {
        follow_request message {textOf(from.address()),
                                {textOf(from.zone())},
                                from.reads_store(),
                                from.subtree(),
                                {},
                                readMembers(from.members()),
                                from.unconfirmed(),
                                from.accepts_parts()};
        if (from.known() != nullptr) {
            for (const auto *known : *from.known()) {
                message.known.push_back({textOf(known->prefix()), known->revision()});
            }
        }
        return message;
    }

    follow_heartbeat readHeartbeat(const fleet_wire::Beat &from)
    {
        return {from.subtree(), {readMembers(from.joined()), readMembers(from.left())}, from.unconfirmed()};
    }

    std::vector<store_item> readItemList(const flatbuffers::Vector<Offset<fleet_wire::Item>> *from)
    {
        std::vector<store_item> items;
        if (from != nullptr) {
            for (const auto *item : *from) {
                items.push_back(
                    {textOf(item->key()), item->revision(), item->deleted(), textOf(item->value()), item->created()});
            }
        }
        return items;
    }

    store_items readItems(const fleet_wire::Items &from)
    {
        store_items message {textOf(from.prefix()),
                             from.whole(),
                             from.revision(),
                             readItemList(from.items()),
                             {},
                             from.part(),
                             from.unfinished()};
        if (from.patches() != nullptr) {
            for (const auto *patch : *from.patches()) {
                message.patches.push_back({textOf(patch->key()),
                                           patch->revision(),
                                           patch->base_revision(),
                                           patch->digest(),
                                           patch->size(),
                                           textOf(patch->bytes())});
            }
        }
        return message;
    }

    leaf_reports_message readReports(const fleet_wire::Reports &from)
    {
        leaf_reports_message message;
        if (from.reports() != nullptr) {
            for (const auto *one : *from.reports()) {
                message.reports.push_back({one->leaf(),
                                           one->observer_zone(),
                                           one->slowness() / hundredths,
                                           one->unreachable(),
                                           millis() - millis(one->age())});
            }
        }
        return message;
    }

    request_evidence_message readRequests(const fleet_wire::Requests &from)
    {
        request_evidence_message message;
        if (from.requests() == nullptr) {
            return message;
        }
        for (const auto *one : *from.requests()) {
            request_evidence &read = message.requests.emplace_back();
            read.key = {one->caller(), one->content()};
            read.route = one->route();
            read.vouched = one->vouched();
            if (one->answered()) {
                read.answeredAt = millis() - millis(one->answered_age());
            }
            if (one->ends() != nullptr) {
                for (const auto *end : *one->ends()) {
                    read.ends.push_back({end->attempt(), end->leaf(), millis() - millis(end->age()), end->alone()});
                }
            }
        }
        return message;
    }

    upstream_state readState(const fleet_wire::State &from)
    {
        return {from.accepted(),
                from.store_ok(),
                from.starting(),
                from.fleet_size(),
                textsOf(from.path()),
                textsOf(from.elsewhere()),
                readMembers(from.members()),
                {readMembers(from.joined()), readMembers(from.left())},
                from.current_age() == unknownAge ? std::nullopt : std::optional(millis() - millis(from.current_age())),
                from.unconfirmed()};
    }
};

/** @return a frame with the compressed envelope, or nullopt if compression does not make it smaller. */
std::optional<std::string> compressedFrameOf(std::span<const std::uint8_t> envelope)
{
    const std::string_view text(reinterpret_cast<const char *>(envelope.data()), envelope.size());
    const std::string bytes = compressText(text, {});
    if (bytes.size() >= text.size()) {
        return std::nullopt;
    }
    FlatBufferBuilder builder;
    const auto all = bytesOf(builder, bytes);
    const auto wrapped = fleet_wire::CreatePacked(builder, static_cast<std::uint32_t>(text.size()), all).Union();
    builder.Finish(fleet_wire::CreateEnvelope(builder, fleet_wire::Message::Packed, wrapped));
    return frameOf({builder.GetBufferPointer(), builder.GetSize()});
}

tl::expected<fleet_message, fleet_wire_error> readEnvelope(std::span<const std::uint8_t> bytes, bool mayBeCompressed);

tl::expected<fleet_message, fleet_wire_error> readCompressed(const fleet_wire::Packed &from)
{
    if (from.bytes() == nullptr || from.size() > maxFrameBytes) {
        return tl::unexpected(fleet_wire_error::DecompressionFailed);
    }
    const std::string_view bytes(reinterpret_cast<const char *>(from.bytes()->data()), from.bytes()->size());
    const std::optional<std::string> text = decompressText(bytes, {}, from.size());
    if (!text) {
        return tl::unexpected(fleet_wire_error::DecompressionFailed);
    }
    return readEnvelope({reinterpret_cast<const std::uint8_t *>(text->data()), text->size()}, false);
}

} // namespace

std::string encodeFleetFrame(const fleet_message &message)
{
    FlatBufferBuilder builder;
    builder.Finish(std::visit(message_writer {builder}, message));
    const std::span<const std::uint8_t> envelope(builder.GetBufferPointer(), builder.GetSize());
    std::optional<std::string> shorter =
        envelope.size() >= minCompressedMessageBytes ? compressedFrameOf(envelope) : std::optional<std::string>();
    return shorter ? *std::move(shorter) : frameOf(envelope);
}

namespace {

tl::expected<fleet_message, fleet_wire_error>
readMessage(const fleet_wire::Envelope &envelope, message_reader &reader, bool mayBeCompressed)
{
    if (envelope.message() == nullptr) {
        return tl::unexpected(fleet_wire_error::UnknownMessage);
    }
    switch (envelope.message_type()) {
    case fleet_wire::Message::Follow:
        return reader.readFollow(*envelope.message_as_Follow());
    case fleet_wire::Message::Beat:
        return reader.readHeartbeat(*envelope.message_as_Beat());
    case fleet_wire::Message::State:
        return reader.readState(*envelope.message_as_State());
    case fleet_wire::Message::Items:
        return reader.readItems(*envelope.message_as_Items());
    case fleet_wire::Message::Reports:
        return reader.readReports(*envelope.message_as_Reports());
    case fleet_wire::Message::Requests:
        return reader.readRequests(*envelope.message_as_Requests());
    case fleet_wire::Message::Deletions: {
        const fleet_wire::Deletions &from = *envelope.message_as_Deletions();
        return recent_deletions {reader.textOf(from.prefix()), reader.readItemList(from.items())};
    }
    case fleet_wire::Message::Packed:
        return mayBeCompressed ? readCompressed(*envelope.message_as_Packed())
                               : tl::unexpected(fleet_wire_error::Malformed);
    default:
        return tl::unexpected(fleet_wire_error::UnknownMessage);
    }
}

tl::expected<fleet_message, fleet_wire_error> readEnvelope(std::span<const std::uint8_t> bytes, bool mayBeCompressed)
{
    const std::vector<std::uint64_t> aligned = alignedCopy(bytes);
    const auto *payload = reinterpret_cast<const std::uint8_t *>(aligned.data());
    constexpr flatbuffers::uoffset_t maxDepth = 64;
    const auto maxTables = static_cast<flatbuffers::uoffset_t>(maxTablesIn(bytes.size()));
    flatbuffers::Verifier verifier(payload, bytes.size(), maxDepth, maxTables);
    if (bytes.empty() || !fleet_wire::VerifyEnvelopeBuffer(verifier)) {
        return tl::unexpected(fleet_wire_error::Malformed);
    }
    const fleet_wire::Envelope &envelope = *fleet_wire::GetEnvelope(payload);
    message_reader reader;
    auto message = readMessage(envelope, reader, mayBeCompressed);
    if (reader.texts.isExceeded()) {
        return tl::unexpected(fleet_wire_error::Malformed);
    }
    return message;
}

} // namespace

tl::expected<fleet_message, fleet_wire_error> decodeFleetPayload(std::span<const std::uint8_t> bytes)
{
    return readEnvelope(bytes, true);
}

} // namespace chivelock
