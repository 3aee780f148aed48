#define BOOST_TEST_MODULE wire
#include <boost/test/included/unit_test.hpp>

#include <wire/wire.h>

using namespace chivelock;

namespace {

std::span<const std::uint8_t> bytesOf(const std::string &text)
{
    return {reinterpret_cast<const std::uint8_t *>(text.data()), text.size()};
}

template<typename message>
message roundTrip(const message &sent)
{
    const std::string frame = encodeFrame({7}, sent);
    const auto envelope = decodePayload(bytesOf(frame).subspan(framePrefixBytes));
    BOOST_REQUIRE(envelope.has_value());
    BOOST_TEST(envelope->from.value == 7);
    return std::get<message>(envelope->message);
}

} // namespace

BOOST_AUTO_TEST_CASE(run_shards_round_trips_unchanged)
{
    run_shards run;
    run.key = {{3}, 1700000000000, 42};
    run.attempt = 2;
    run.requestId = "r-1";
    run.service = {"search"};
    run.priority = urgency::Ordinary;
    run.snapshot = {9};
    run.version = {4};
    run.remaining = millis(123.5);
    run.maxRows = 10;
    run.body = std::make_shared<std::string>("{\"q\":1}");
    run.shards = {{0}, {5}};
    const run_shards received = roundTrip(run);
    BOOST_TEST((received.key == run.key));
    BOOST_TEST((received.remaining == run.remaining));
    BOOST_TEST(*received.body == *run.body);
    BOOST_TEST((received.shards == run.shards));
    BOOST_TEST((received.priority == urgency::Ordinary));
}

BOOST_AUTO_TEST_CASE(ticket_answer_round_trips_unchanged)
{
    ticket_answer sent;
    sent.nonce = 5;
    sent.answer.requestId = "r";
    sent.answer.outcome = lookup_outcome::Unknown;
    sent.answer.reason = answer_reason::RingFull;
    sent.answer.covered = {{1}};
    sent.answer.missing = {{{2}, answer_reason::Expired}};
    sent.answer.rows = {{"id", 0.5, "{}"}};
    sent.answer.ticket = "t";
    const ticket_answer received = roundTrip(sent);
    BOOST_TEST((received.answer.missing == sent.answer.missing));
    BOOST_TEST((received.answer.rows == sent.answer.rows));
    BOOST_TEST((received.answer.reason == answer_reason::RingFull));
}

BOOST_AUTO_TEST_CASE(heartbeat_and_shard_reply_round_trip_unchanged)
{
    heartbeat sent;
    sent.self = {{1}, 2, 3, member_state::Leaving};
    sent.rumours = {{{4}, 5, 6, member_state::Gone}};
    sent.leavingLeafs = {{{8}, 9}};
    const heartbeat received = roundTrip(sent);
    BOOST_TEST((received.self == sent.self));
    BOOST_TEST((received.rumours == sent.rumours));
    BOOST_TEST((received.leavingLeafs == sent.leavingLeafs));
    shard_reply reply;
    reply.status = shard_status::Expired;
    reply.retryAfter = millis(7);
    BOOST_TEST((roundTrip(reply).status == shard_status::Expired));
}

// Guards against a corrupt or hostile frame from a peer that crashes the process or exhausts its memory. The frame
// announces a huge length, or its offsets point outside the frame, and it is read before it is verified.
BOOST_AUTO_TEST_CASE(corrupt_frames_are_rejected)
{
    frame_reader reader;
    const std::vector<std::uint8_t> huge = {0xff, 0xff, 0xff, 0x7f};
    reader.append(huge);
    const auto oversized = reader.next();
    BOOST_REQUIRE(!oversized.has_value());
    BOOST_TEST((oversized.error() == wire_error::TooLong));
    std::string frame = encodeFrame({1}, run_probe {});
    for (std::size_t index = framePrefixBytes; index < frame.size(); ++index) {
        std::string broken = frame;
        broken[index] = static_cast<char>(broken[index] ^ 0x7f);
        // Must not read outside the frame, which the sanitizers check.
        (void)decodePayload(bytesOf(broken).subspan(framePrefixBytes));
    }
    BOOST_TEST(!decodePayload({}).has_value());
}

BOOST_AUTO_TEST_CASE(stream_is_split_into_frames_at_any_chunk_boundary)
{
    const std::string stream = encodeFrame({1}, run_probe {{{1}, 2, 3}, 4}) + encodeFrame({2}, catalogue_pull {9});
    frame_reader reader;
    std::size_t frames = 0;
    for (const char byte : stream) {
        reader.append(bytesOf(std::string(1, byte)));
        const auto payload = reader.next();
        BOOST_REQUIRE(payload.has_value());
        if (*payload) {
            BOOST_TEST(decodePayload(**payload).has_value());
            ++frames;
        }
    }
    BOOST_TEST(frames == 2);
}
