#define BOOST_TEST_MODULE http1_bounds
#include <boost/test/included/unit_test.hpp>

#include <http1/http1.h>

using namespace chivelock;

namespace {

constexpr std::size_t bodyLimit = 1000;
constexpr std::size_t requestLimit = 2000; // of a request's head
constexpr std::size_t responseLimit = response_reader::maxHeadBytes;
constexpr std::size_t readBytes = 8192;
const std::string answerHead = "HTTP/1.1 200 OK\r\n";
const std::string chunkedAnswer = answerHead + "Transfer-Encoding: chunked\r\n\r\n";
const std::string chunkedRequest = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

/** Feeds @p bytes in pieces until the message is complete or rejected. */
template<typename message_reader>
read_state feedPieces(message_reader &reader, std::string_view bytes, std::size_t pieceBytes)
{
    std::string input;
    read_state state = read_state::NeedMore;
    for (std::size_t at = 0; at < bytes.size(); at += pieceBytes) {
        input += bytes.substr(at, pieceBytes);
        state = reader.feed(input);
        if (state != read_state::NeedMore && state != read_state::HeadComplete) {
            return state;
        }
    }
    return state;
}

read_state readResponse(std::string_view bytes, std::size_t pieceBytes)
{
    response_reader reader;
    reader.expect(false, bodyLimit);
    return feedPieces(reader, bytes, pieceBytes);
}

read_state readRequest(std::string_view bytes, std::size_t pieceBytes)
{
    request_reader reader;
    reader.setLimits(requestLimit, bodyLimit);
    return feedPieces(reader, bytes, pieceBytes);
}

using read_function = read_state (*)(std::string_view bytes, std::size_t pieceBytes);

/** A message whose size varies, and the size up to which it is accepted. */
struct bounded_form {
    std::string_view name;
    read_function read;
    std::size_t limit;
    read_state past;
    std::string (*write)(std::size_t bytes); ///< a complete message of which @p bytes count
};

std::string fill(std::size_t bytes)
{
    return std::string(bytes, 'x');
}

/** Trailer lines of @p bytes together. */
std::string trailerLines(std::size_t bytes)
{
    const std::string line = "X: aaaa\r\n";
    std::string lines;
    while (lines.size() + 2 * line.size() <= bytes) {
        lines += line;
    }
    return lines + "X: " + fill(bytes - lines.size() - 5) + "\r\n";
}

std::string interimResponses(std::size_t bytes)
{
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    std::string all;
    while (all.size() + 2 * interim.size() <= bytes) {
        all += interim;
    }
    const std::string start = "HTTP/1.1 100 ";
    return all + start + fill(bytes - all.size() - start.size() - 4) + "\r\n\r\n";
}

std::string manyExtensions(std::size_t bytes)
{
    constexpr std::size_t chunks = 100;
    std::string body;
    for (std::size_t chunk = 1; chunk < chunks; ++chunk) {
        body += "1;ext\r\na\r\n";
    }
    const std::size_t rest = bytes - 4 * (chunks - 1);
    return body + "1;" + fill(rest - 1) + "\r\na\r\n0\r\n\r\n";
}

std::string blankLines(std::size_t bytes)
{
    std::string lines;
    while (lines.size() < bytes) {
        lines += "\r\n";
    }
    return lines;
}

const bounded_form forms[] = {
    {"head of a response",
     readResponse,
     responseLimit,
     read_state::HeadTooLarge,
     [](std::size_t bytes) {
         const std::string start = answerHead + "Content-Length: 1\r\nX: ";
         return start + fill(bytes - start.size() - 4) + "\r\n\r\na";
     }},
    {"status line",
     readResponse,
     responseLimit,
     read_state::HeadTooLarge,
     [](std::size_t bytes) {
         const std::string end = "\r\nContent-Length: 0\r\n\r\n";
         return "HTTP/1.1 200 " + fill(bytes - 13 - end.size()) + end;
     }},
    {"interim responses",
     readResponse,
     responseLimit,
     read_state::InterimTooLarge,
     [](std::size_t bytes) { return interimResponses(bytes) + answerHead + "Content-Length: 0\r\n\r\n"; }},
    {"extension",
     readResponse,
     responseLimit,
     read_state::FramingTooLarge,
     [](std::size_t bytes) { return chunkedAnswer + "1;" + fill(bytes - 1) + "\r\na\r\n0\r\n\r\n"; }},
    {"extension of the last chunk",
     readResponse,
     responseLimit,
     read_state::FramingTooLarge,
     [](std::size_t bytes) { return chunkedAnswer + "1\r\na\r\n0;" + fill(bytes - 1) + "\r\n\r\n"; }},
    {"many extensions",
     readResponse,
     responseLimit,
     read_state::FramingTooLarge,
     [](std::size_t bytes) { return chunkedAnswer + manyExtensions(bytes); }},
    {"leading zeros",
     readResponse,
     responseLimit,
     read_state::FramingTooLarge,
     [](std::size_t bytes) { return chunkedAnswer + std::string(bytes, '0') + "1\r\na\r\n0\r\n\r\n"; }},
    {"trailer",
     readResponse,
     responseLimit,
     read_state::FramingTooLarge,
     [](std::size_t bytes) { return chunkedAnswer + "1\r\na\r\n0\r\n" + trailerLines(bytes) + "\r\n"; }},
    {"extensions and trailer",
     readResponse,
     responseLimit,
     read_state::FramingTooLarge,
     [](std::size_t bytes) {
         return chunkedAnswer + "1;" + fill(999) + "\r\na\r\n0\r\n" + trailerLines(bytes - 1000) + "\r\n";
     }},
    {"chunked body",
     readResponse,
     bodyLimit,
     read_state::BodyTooLarge,
     [](std::size_t bytes) {
         std::string chunks;
         for (std::size_t chunk = 0; chunk < bytes; ++chunk) {
             chunks += "1\r\na\r\n";
         }
         return chunkedAnswer + chunks + "0\r\n\r\n";
     }},
    {"head of a request",
     readRequest,
     requestLimit,
     read_state::HeadTooLarge,
     [](std::size_t bytes) {
         const std::string start = "GET / HTTP/1.1\r\nHost: h\r\nX: ";
         return start + fill(bytes - start.size() - 4) + "\r\n\r\n";
     }},
    {"blank lines and a request",
     readRequest,
     requestLimit,
     read_state::HeadTooLarge,
     [](std::size_t bytes) {
         const std::string start = blankLines(1000) + "GET / HTTP/1.1\r\nHost: h\r\nX: ";
         return start + fill(bytes - start.size() - 4) + "\r\n\r\n";
     }},
    {"extension of a request",
     readRequest,
     requestLimit,
     read_state::FramingTooLarge,
     [](std::size_t bytes) { return chunkedRequest + "1;" + fill(bytes - 1) + "\r\na\r\n0\r\n\r\n"; }},
    {"many extensions of a request",
     readRequest,
     requestLimit,
     read_state::FramingTooLarge,
     [](std::size_t bytes) { return chunkedRequest + manyExtensions(bytes); }},
    {"trailer of a request",
     readRequest,
     requestLimit,
     read_state::FramingTooLarge,
     [](std::size_t bytes) { return chunkedRequest + "1\r\na\r\n0\r\n" + trailerLines(bytes) + "\r\n"; }},
};

} // namespace

// Guards against a process that ends because it takes the memory that a leaf announces.
BOOST_AUTO_TEST_CASE(an_announced_length_is_compared_with_the_limit_before_memory_is_taken)
{
    for (const std::string length : {"1001", "99999999999999", "9223372036854775807", "18446744073709551615"}) {
        const std::string head = std::string(answerHead).append("Content-Length: ").append(length).append("\r\n\r\n");
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

// Guards against a message that is read or kept without end. The bound is the same however the bytes are split.
BOOST_AUTO_TEST_CASE(a_message_is_accepted_at_its_bound_and_rejected_past_it)
{
    for (const bounded_form &form : forms) {
        const std::string atBound = form.write(form.limit);
        const std::string pastBound = form.write(form.limit + 1);
        for (const std::size_t pieceBytes : {std::size_t {1}, std::size_t {7}, readBytes, pastBound.size()}) {
            BOOST_TEST((form.read(atBound, pieceBytes) == read_state::Complete), form.name << " " << pieceBytes);
            BOOST_TEST((form.read(pastBound, pieceBytes) == form.past), form.name << " past " << pieceBytes);
        }
    }
}

/** A start, and what follows it again and again. */
struct endless_form {
    std::string_view name;
    read_function read;
    std::size_t limit;
    read_state past;
    std::string start;
    std::string unit;
};

// Guards against memory and time for what never ends: a peer is rejected within one read of the bound.
BOOST_AUTO_TEST_CASE(what_never_ends_is_rejected_at_the_bound)
{
    const endless_form endless[] = {
        {"status line", readResponse, responseLimit, read_state::HeadTooLarge, "HTTP/1.1 200 ", "x"},
        {"headers", readResponse, responseLimit, read_state::HeadTooLarge, answerHead, "X: a\r\n"},
        {"interim", readResponse, responseLimit, read_state::InterimTooLarge, "", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"extension", readResponse, responseLimit, read_state::FramingTooLarge, chunkedAnswer + "1;", "x"},
        {"last extension", readResponse, responseLimit, read_state::FramingTooLarge, chunkedAnswer + "0;", "x"},
        {"zeros", readResponse, responseLimit, read_state::FramingTooLarge, chunkedAnswer, "0"},
        {"trailer", readResponse, responseLimit, read_state::FramingTooLarge, chunkedAnswer + "0\r\n", "X: a\r\n"},
        {"trailer line", readResponse, responseLimit, read_state::FramingTooLarge, chunkedAnswer + "0\r\nX: ", "x"},
        {"blank lines", readRequest, requestLimit, read_state::HeadTooLarge, "", "\r\n"},
        {"request line", readRequest, requestLimit, read_state::HeadTooLarge, "GET /", "x"},
        {"request extension", readRequest, requestLimit, read_state::FramingTooLarge, chunkedRequest + "1;", "x"},
        {"request zeros", readRequest, requestLimit, read_state::FramingTooLarge, chunkedRequest, "0"},
        {"request trailer",
         readRequest,
         requestLimit,
         read_state::FramingTooLarge,
         chunkedRequest + "0\r\n",
         "X: a\r\n"},
    };
    for (const endless_form &form : endless) {
        constexpr std::size_t longestLine = 64; // of a chunk that is not counted, or of one interim response
        std::string bytes = form.start;
        while (bytes.size() < form.start.size() + form.limit + longestLine) {
            bytes += form.unit;
        }
        const std::string below = bytes.substr(0, form.limit);
        for (const std::size_t pieceBytes : {std::size_t {1}, readBytes}) {
            const read_state state = form.read(below, pieceBytes);
            BOOST_TEST((state == read_state::NeedMore || state == read_state::HeadComplete), form.name);
            BOOST_TEST((form.read(bytes, pieceBytes) == form.past), form.name << " past " << pieceBytes);
        }
    }
}

BOOST_AUTO_TEST_CASE(the_bounds_hold_for_each_message)
{
    response_reader reader;
    for (unsigned message = 0; message < 3; ++message) {
        reader.expect(false, bodyLimit);
        const std::string answer =
            interimResponses(responseLimit) + chunkedAnswer + "1\r\na\r\n0\r\n" + trailerLines(responseLimit) + "\r\n";
        BOOST_CHECK(feedPieces(reader, answer, readBytes) == read_state::Complete);
        BOOST_TEST(reader.take().body == "a");
    }
    request_reader requests;
    requests.setLimits(requestLimit, bodyLimit);
    for (unsigned message = 0; message < 3; ++message) {
        const std::string request =
            blankLines(requestLimit / 2) + chunkedRequest + "1\r\na\r\n0\r\n" + trailerLines(requestLimit) + "\r\n";
        BOOST_CHECK(feedPieces(requests, request, readBytes) == read_state::Complete);
        BOOST_TEST(requests.take().body == "a");
    }
}

BOOST_AUTO_TEST_CASE(only_bounds_and_failures_cut_input_off)
{
    for (const read_state state : {read_state::HeadTooLarge,
                                   read_state::InterimTooLarge,
                                   read_state::FramingTooLarge,
                                   read_state::BodyTooLarge,
                                   read_state::ReadFailed}) {
        BOOST_TEST(isCutOff(state), toString(state));
    }
    for (const read_state state : {read_state::NeedMore, read_state::Complete, read_state::BadMessage}) {
        BOOST_TEST(!isCutOff(state), toString(state));
    }
}
