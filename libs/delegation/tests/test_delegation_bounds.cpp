#define BOOST_TEST_MODULE delegation_bounds
#include <boost/test/included/unit_test.hpp>

#include <delegation/delegation.h>
#include <wire/wire.h>

#include <delegation_generated.h>

using namespace chivelock;

namespace {

constexpr std::size_t textBytes = 65536;
constexpr std::size_t mostReferences = 4 * maxFrameBytes / textBytes;

/** Whether a payload that refers to one text again and again is decoded. */
bool isDecoded(std::size_t references)
{
    flatbuffers::FlatBufferBuilder builder;
    const auto text = builder.CreateString(std::string(textBytes, 'x'));
    const std::vector<flatbuffers::Offset<flatbuffers::String>> shards(references, text);
    const auto list = builder.CreateVector(shards);
    delegation_wire::RequestBuilder request(builder);
    request.add_shards(list);
    const auto message = request.Finish();
    builder.Finish(delegation_wire::CreateEnvelope(builder, delegation_wire::Message::Request, message.Union()));
    return decodeDelegationPayload({builder.GetBufferPointer(), builder.GetSize()}).has_value();
}

} // namespace

// Guards against a process that ends by a frame which names the type of a message and has none.
BOOST_AUTO_TEST_CASE(a_type_without_a_message_is_rejected)
{
    for (const delegation_wire::Message type : delegation_wire::EnumValuesMessage()) {
        flatbuffers::FlatBufferBuilder builder;
        builder.Finish(delegation_wire::CreateEnvelope(builder, type));
        const auto decoded = decodeDelegationPayload({builder.GetBufferPointer(), builder.GetSize()});
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
