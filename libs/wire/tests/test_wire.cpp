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
message passed(const message &sent)
{
    const std::string frame = encodeFrame({7}, sent);
    const auto envelope = decodePayload(bytesOf(frame).subspan(framePrefixBytes));
    BOOST_REQUIRE(envelope.has_value());
    BOOST_TEST(envelope->from.value == 7);
    return std::get<message>(envelope->message);
}

} // namespace

BOOST_AUTO_TEST_CASE(run_passes_unchanged)
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
    const run_shards got = passed(run);
    BOOST_TEST((got.key == run.key));
    BOOST_TEST((got.remaining == run.remaining));
    BOOST_TEST(*got.body == *run.body);
    BOOST_TEST((got.shards == run.shards));
    BOOST_TEST((got.priority == urgency::Ordinary));
}

BOOST_AUTO_TEST_CASE(answer_of_a_ticket_passes_unchanged)
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
    const ticket_answer got = passed(sent);
    BOOST_TEST((got.answer.missing == sent.answer.missing));
    BOOST_TEST((got.answer.rows == sent.answer.rows));
    BOOST_TEST((got.answer.reason == answer_reason::RingFull));
}

BOOST_AUTO_TEST_CASE(heartbeat_and_reply_pass_unchanged)
{
    heartbeat beat;
    beat.self = {{1}, 2, 3, member_state::Leaving};
    beat.rumours = {{{4}, 5, 6, member_state::Gone}};
    beat.leavingLeafs = {{{8}, 9}};
    const heartbeat got = passed(beat);
    BOOST_TEST((got.self == beat.self));
    BOOST_TEST((got.rumours == beat.rumours));
    BOOST_TEST((got.leavingLeafs == beat.leavingLeafs));
    shard_reply reply;
    reply.status = shard_status::Expired;
    reply.retryAfter = millis(7);
    BOOST_TEST((passed(reply).status == shard_status::Expired));
}

// Symptom: one peer's broken or hostile frame crashes the process or fills its memory.
// Sequence: bytes arrive that claim a huge length, or whose offsets point outside the frame.
// Cause: reading before checking.
BOOST_AUTO_TEST_CASE(broken_frames_are_refused)
{
    frame_reader reader;
    const std::vector<std::uint8_t> huge = {0xff, 0xff, 0xff, 0x7f};
    reader.append(huge);
    const auto cut = reader.next();
    BOOST_REQUIRE(!cut.has_value());
    BOOST_TEST((cut.error() == wire_error::TooLong));
    std::string frame = encodeFrame({1}, run_probe {});
    for (std::size_t index = framePrefixBytes; index < frame.size(); ++index) {
        std::string broken = frame;
        broken[index] = static_cast<char>(broken[index] ^ 0x7f);
        (void)decodePayload(bytesOf(broken).subspan(framePrefixBytes)); // Must not read outside; sanitizers watch.
    }
    BOOST_TEST(!decodePayload({}).has_value());
}

BOOST_AUTO_TEST_CASE(stream_is_cut_into_frames_wherever_it_breaks)
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
