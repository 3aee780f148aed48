#define BOOST_TEST_MODULE delegation
#include <boost/test/included/unit_test.hpp>

#include <delegation/delegation.h>

using namespace chivelock;

namespace {

template<typename message_type>
message_type encodeAndDecode(const message_type &message)
{
    constexpr std::ptrdiff_t lengthBytes = 4;
    const std::string frame = encodeDelegationFrame(message);
    const std::vector<std::uint8_t> payload(frame.begin() + lengthBytes, frame.end());
    return std::get<message_type>(decodeDelegationPayload(payload).value());
}

} // namespace

BOOST_AUTO_TEST_CASE(request_survives_encoding_and_decoding)
{
    delegate_request request;
    request.id = 7;
    request.requestId = "q";
    request.beforeTime = "GET / HTTP/1.1\r\n";
    request.afterTime = std::string("\r\n\0x", 4);
    request.work.route = "r";
    request.work.shards = {{"a"}, {"b"}};
    request.work.topRecords = 10;
    request.work.cutoffIn = millis(80.5);
    request.work.triedLeafs = {"tried", "too"};
    request.work.alone = true;
    request.work.key = {8, 9};
    request.work.attempt = 10;
    request.work.rank = 3;
    request.work.homeRegions = {{"north"}};
    const delegate_request read = encodeAndDecode(request);
    BOOST_TEST(read.afterTime == request.afterTime);
    BOOST_TEST(read.work.shards[1].value == "b");
    BOOST_TEST((read.work.cutoffIn == millis(80.5)));
    BOOST_TEST(read.work.topRecords == 10U);
    BOOST_TEST(read.work.triedLeafs == request.work.triedLeafs);
    BOOST_TEST(read.work.alone);
    BOOST_TEST((read.work.key == request.work.key));
    BOOST_TEST(read.work.attempt == request.work.attempt);
    BOOST_TEST(read.work.rank == request.work.rank);
    BOOST_TEST((read.work.homeRegions == request.work.homeRegions));
}

BOOST_AUTO_TEST_CASE(progress_and_cancel_survive_encoding_and_decoding)
{
    delegate_progress progress;
    progress.id = 8;
    progress.progress.parts = {{1, "digest"}};
    progress.progress.records = std::string("\0\xff", 2);
    progress.progress.lost = {{2, true, false, true, "lost"}};
    progress.progress.pending = {{3, "leaf"}};
    progress.progress.load = vm_load {0.12, millis(7.5), 4096};
    progress.progress.last = true;
    const delegate_progress read = encodeAndDecode(progress);
    BOOST_TEST(read.progress.parts[0].stamp == "digest");
    BOOST_TEST(read.progress.lost[0].leafId == "lost");
    BOOST_TEST(read.progress.records == progress.progress.records);
    BOOST_TEST((read.progress.load == progress.progress.load));
    BOOST_TEST(read.progress.lost[0].mayHaveRun);
    BOOST_TEST(!read.progress.lost[0].reachedLeaf);
    BOOST_TEST(read.progress.lost[0].leafCrashed);
    BOOST_TEST(read.progress.pending[0].leafId == "leaf");
    BOOST_TEST(read.progress.last);
    BOOST_TEST(encodeAndDecode(delegate_cancel {9, true, false}).callerLeft);
    BOOST_TEST(encodeAndDecode(delegate_cancel {9, false, true}).survived);
}

BOOST_AUTO_TEST_CASE(payload_that_is_not_a_message_is_rejected)
{
    BOOST_TEST(!decodeDelegationPayload(std::vector<std::uint8_t>(40, 0x5A)).has_value());
}
