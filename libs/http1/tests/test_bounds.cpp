#define BOOST_TEST_MODULE http1_bounds
#include <boost/test/included/unit_test.hpp>

#include <http1/http1.h>

using namespace chivelock;

namespace {

constexpr std::size_t bodyLimit = 1000;
const std::string answerHead = "HTTP/1.1 200 OK\r\n";

read_state readResponse(const std::string &bytes, std::size_t pieceBytes)
{
    response_reader reader;
    reader.expect(false, bodyLimit);
    std::string input;
    read_state state = read_state::NeedMore;
    for (std::size_t at = 0; at < bytes.size() && state == read_state::NeedMore; at += pieceBytes) {
        input += bytes.substr(at, pieceBytes);
        state = reader.feed(input);
    }
    return state;
}

} // namespace

// Guards against a process that ends because it takes the memory that a leaf announces.
BOOST_AUTO_TEST_CASE(an_announced_length_is_compared_with_the_limit_before_memory_is_taken)
{
    for (const std::string length : {"1001", "99999999999999", "9223372036854775807", "18446744073709551615"}) {
        const std::string head = answerHead + "Content-Length: " + length + "\r\n\r\n";
        for (const std::string &answer : {head, head + "a"}) {
            BOOST_TEST((readResponse(answer, answer.size()) == read_state::BodyTooLarge), length);
            BOOST_TEST((readResponse(answer, 1) == read_state::BodyTooLarge), length);
        }
    }
}

BOOST_AUTO_TEST_CASE(an_announced_length_at_the_limit_is_accepted)
{
    const std::string head = answerHead + "Content-Length: " + std::to_string(bodyLimit) + "\r\n\r\n";
    for (const std::size_t pieceBytes : {std::size_t {1}, 2 * bodyLimit}) {
        BOOST_TEST((readResponse(head + std::string(bodyLimit, 'a'), pieceBytes) == read_state::Complete));
    }
}
