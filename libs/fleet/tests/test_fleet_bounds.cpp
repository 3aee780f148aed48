#define BOOST_TEST_MODULE fleet_bounds
#include <boost/test/included/unit_test.hpp>

#include <fleet/fleet.h>
#include <wire/wire.h>

#include <fleet_generated.h>

using namespace chivelock;

namespace {

constexpr std::size_t textBytes = 65536;
constexpr std::size_t mostReferences = 4 * maxFrameBytes / textBytes;

/** Whether a payload that refers to one text again and again is decoded. */
bool isDecoded(std::size_t references)
{
    flatbuffers::FlatBufferBuilder builder;
    const auto text = builder.CreateString(std::string(textBytes, 'x'));
    std::vector<flatbuffers::Offset<fleet_wire::Item>> items;
    const auto item = fleet_wire::CreateItem(builder, builder.CreateString("k"), 1, false, text);
    items.assign(references, item);
    const auto message =
        fleet_wire::CreateItems(builder, builder.CreateString("p"), true, 1, builder.CreateVector(items));
    builder.Finish(fleet_wire::CreateEnvelope(builder, fleet_wire::Message::Items, message.Union()));
    return decodeFleetPayload({builder.GetBufferPointer(), builder.GetSize()}).has_value();
}

} // namespace

// Guards against a process that ends by a frame which names the type of a message and has none.
BOOST_AUTO_TEST_CASE(a_type_without_a_message_is_rejected)
{
    for (const fleet_wire::Message type : fleet_wire::EnumValuesMessage()) {
        flatbuffers::FlatBufferBuilder builder;
        builder.Finish(fleet_wire::CreateEnvelope(builder, type));
        const auto decoded = decodeFleetPayload({builder.GetBufferPointer(), builder.GetSize()});
        BOOST_REQUIRE(!decoded.has_value());
    }
}

// Guards against a frame of some kilobytes that takes all memory, because its tables share one long text.
BOOST_AUTO_TEST_CASE(text_that_is_referred_to_many_times_is_bounded)
{
    BOOST_TEST(isDecoded(mostReferences - 1));
    BOOST_TEST(!isDecoded(mostReferences + 1));
    BOOST_TEST(!isDecoded(10 * mostReferences));
}
