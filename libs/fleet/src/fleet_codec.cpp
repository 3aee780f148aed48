#include <fleet/fleet.h>

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

constexpr double hundredths = 100;

std::uint16_t shortened(double value)
{
    constexpr double most = std::numeric_limits<std::uint16_t>::max();
    return static_cast<std::uint16_t>(std::clamp(value, 0.0, most));
}

/** Writes one alternative; the union's type follows from it. */
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
                    fleet_wire::CreateFollow(builder, address, message.subtree, all, members).Union());
    }

    Offset<fleet_wire::Envelope> operator()(const follow_beat &message) const
    {
        const auto members = membersOf(builder, message.members);
        return wrap(fleet_wire::Message::Beat, fleet_wire::CreateBeat(builder, message.subtree, members).Union());
    }

    Offset<fleet_wire::Envelope> operator()(const upstream_state &message) const
    {
        const auto path = builder.CreateVectorOfStrings(message.path);
        const auto elsewhere = builder.CreateVectorOfStrings(message.elsewhere);
        const auto members = membersOf(builder, message.members);
        return wrap(fleet_wire::Message::State,
                    fleet_wire::CreateState(
                        builder, message.accepted, message.storeOk, message.fleetSize, path, elsewhere, members)
                        .Union());
    }

    Offset<fleet_wire::Envelope> operator()(const store_items &message) const
    {
        std::vector<Offset<fleet_wire::Item>> items;
        for (const store_item &item : message.items) {
            const auto key = builder.CreateString(item.key);
            const auto value = builder.CreateString(item.value);
            items.push_back(fleet_wire::CreateItem(builder, key, item.revision, item.deleted, value));
        }
        const auto prefix = builder.CreateString(message.prefix);
        const auto all = builder.CreateVector(items);
        return wrap(fleet_wire::Message::Items,
                    fleet_wire::CreateItems(builder, prefix, message.whole, message.revision, all).Union());
    }

    Offset<fleet_wire::Envelope> operator()(const leaf_news &message) const
    {
        std::vector<fleet_wire::Report> reports;
        for (const leaf_report &one : message.reports) {
            reports.emplace_back(one.leaf,
                                 one.observer,
                                 shortened(one.slowness * hundredths),
                                 shortened((millis() - one.observedAt).count()),
                                 one.unreachable);
        }
        const auto all = builder.CreateVectorOfStructs(reports);
        return wrap(fleet_wire::Message::Reports, fleet_wire::CreateReports(builder, all).Union());
    }

private:
    [[nodiscard]] Offset<fleet_wire::Envelope> wrap(fleet_wire::Message type, Offset<void> message) const
    {
        return fleet_wire::CreateEnvelope(builder, type, message);
    }
};

std::string textOf(const flatbuffers::String *text)
{
    return text == nullptr ? std::string() : text->str();
}

std::vector<std::string> textsOf(const flatbuffers::Vector<Offset<flatbuffers::String>> *texts)
{
    std::vector<std::string> result;
    if (texts != nullptr) {
        std::ranges::transform(*texts, std::back_inserter(result), [](const auto *text) { return textOf(text); });
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
    follow_request message {textOf(from.address()), from.subtree(), {}, readMembers(from.members())};
    if (from.known() != nullptr) {
        for (const auto *known : *from.known()) {
            message.known.push_back({textOf(known->prefix()), known->revision()});
        }
    }
    return message;
}

store_items readItems(const fleet_wire::Items &from)
{
    store_items message {textOf(from.prefix()), from.whole(), from.revision(), {}};
    if (from.items() != nullptr) {
        for (const auto *item : *from.items()) {
            message.items.push_back({textOf(item->key()), item->revision(), item->deleted(), textOf(item->value())});
        }
    }
    return message;
}

leaf_news readReports(const fleet_wire::Reports &from)
{
    leaf_news message;
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

upstream_state readState(const fleet_wire::State &from)
{
    return {from.accepted(),
            from.store_ok(),
            from.fleet_size(),
            textsOf(from.path()),
            textsOf(from.elsewhere()),
            readMembers(from.members())};
}

} // namespace

std::string encodeFleetFrame(const fleet_message &message)
{
    FlatBufferBuilder builder;
    builder.Finish(std::visit(message_writer {builder}, message));
    return frameOf({builder.GetBufferPointer(), builder.GetSize()});
}

tl::expected<fleet_message, fleet_wire_error> decodeFleetPayload(std::span<const std::uint8_t> bytes)
{
    const std::vector<std::uint64_t> aligned = alignedCopy(bytes);
    const auto *payload = reinterpret_cast<const std::uint8_t *>(aligned.data());
    flatbuffers::Verifier verifier(payload, bytes.size());
    if (bytes.empty() || !fleet_wire::VerifyEnvelopeBuffer(verifier)) {
        return tl::unexpected(fleet_wire_error::Malformed);
    }
    const fleet_wire::Envelope &envelope = *fleet_wire::GetEnvelope(payload);
    switch (envelope.message_type()) {
    case fleet_wire::Message::Follow:
        return readFollow(*envelope.message_as_Follow());
    case fleet_wire::Message::Beat:
        return follow_beat {envelope.message_as_Beat()->subtree(), readMembers(envelope.message_as_Beat()->members())};
    case fleet_wire::Message::State:
        return readState(*envelope.message_as_State());
    case fleet_wire::Message::Items:
        return readItems(*envelope.message_as_Items());
    case fleet_wire::Message::Reports:
        return readReports(*envelope.message_as_Reports());
    default:
        return tl::unexpected(fleet_wire_error::UnknownMessage);
    }
}

} // namespace chivelock
