#define BOOST_TEST_MODULE http1
#include <boost/test/included/unit_test.hpp>

#include <http1/http1.h>

using namespace chivelock;

namespace {

read_state readRequest(const std::string &bytes)
{
    request_reader reader;
    std::string input = bytes;
    read_state state = reader.feed(input);
    return state == read_state::HeadComplete ? reader.feed(input) : state;
}

/** Reads a response whose connection the leaf closes behind @p bytes. */
read_state readResponse(const std::string &bytes)
{
    response_reader reader;
    reader.expect(false, 1000);
    std::string input = bytes;
    const read_state state = reader.feed(input);
    return state == read_state::NeedMore ? reader.finish() : state;
}

} // namespace

BOOST_AUTO_TEST_CASE(request_keeps_target_and_headers_byte_for_byte)
{
    request_reader reader;
    std::string input = "GET /a/?z=1&a=2&a=3&&x=%2F&q HTTP/1.1\r\nHost: h\r\nX-Two: 1\r\nx-two: 2\r\n\r\nGET ";
    BOOST_CHECK(reader.feed(input) == read_state::Complete);
    const http_request request = reader.take();
    BOOST_TEST(request.target == "/a/?z=1&a=2&a=3&&x=%2F&q");
    BOOST_REQUIRE(request.headers.size() == 3);
    BOOST_TEST(request.headers[1].name == "X-Two");
    BOOST_TEST(request.headers[2].name == "x-two");
    BOOST_TEST(input == "GET ");
}

BOOST_AUTO_TEST_CASE(bodies_with_length_and_chunked_bodies_are_read)
{
    request_reader reader;
    std::string input =
        "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n"
        "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nfg";
    BOOST_CHECK(reader.feed(input) == read_state::Complete);
    BOOST_TEST(reader.take().body == "abcde");
    BOOST_CHECK(reader.feed(input) == read_state::Complete);
    BOOST_TEST(reader.take().body == "fg");
}

BOOST_AUTO_TEST_CASE(request_fed_byte_by_byte_is_parsed_unchanged)
{
    request_reader reader;
    const std::string request = "POST /b HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nfg";
    std::string input;
    read_state last = read_state::NeedMore;
    unsigned heads = 0;
    for (const char c : request) {
        input += c;
        last = reader.feed(input);
        heads += last == read_state::HeadComplete ? 1 : 0;
    }
    BOOST_CHECK(last == read_state::Complete);
    BOOST_TEST(heads == 1);
    BOOST_TEST(reader.take().body == "fg");
}

// Guards against request smuggling: a leaf runs a request that no caller sent. A message with ambiguous framing is
// accepted and read as one request here, but as two by the leaf.
// Guards against a trailer that replaces or adds a checked header, which a leaf then reads in another way.
BOOST_AUTO_TEST_CASE(trailers_are_not_headers)
{
    const std::string head = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string body = "2\r\nab\r\n0\r\nHost: other\r\nConnection: close\r\nX-Late: 1\r\n\r\n";
    for (const bool inPieces : {false, true}) {
        request_reader reader;
        std::string input = inPieces ? head : head + body;
        if (inPieces) {
            BOOST_CHECK(reader.feed(input) == read_state::HeadComplete);
            input += body;
        }
        BOOST_CHECK(reader.feed(input) == read_state::Complete);
        const http_request request = reader.take();
        BOOST_TEST(request.headers.size() == 2, inPieces);
        BOOST_TEST(findHeader(request.headers, "Host") == "h");
        BOOST_TEST(request.body == "ab");
        BOOST_TEST(request.keepAlive);
    }
}

// Guards against a rejection that depends on where the network splits the bytes of a request.
BOOST_AUTO_TEST_CASE(a_blank_line_before_a_request_is_ignored_even_in_pieces)
{
    request_reader reader;
    std::string input = "\r";
    BOOST_CHECK(reader.feed(input) == read_state::NeedMore);
    BOOST_TEST(!reader.begun());
    input += "\nGET /a HTTP/1.1\r\nHost: h\r\n\r\n";
    BOOST_CHECK(reader.feed(input) == read_state::Complete);
    BOOST_TEST(reader.take().target == "/a");
}

BOOST_AUTO_TEST_CASE(ambiguous_framing_is_rejected)
{
    const std::string start = "POST /a HTTP/1.1\r\nHost: h\r\n";
    BOOST_CHECK(readRequest(start + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
                == read_state::BadMessage);
    BOOST_CHECK(readRequest(start + "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n0\r\n\r\n")
                == read_state::BadMessage);
    BOOST_CHECK(readRequest(start + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab") == read_state::BadMessage);
    BOOST_CHECK(readRequest(start + "Content-Length: +1\r\n\r\na") == read_state::BadMessage);
    BOOST_CHECK(readRequest(start + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n") == read_state::BadMessage);
    BOOST_CHECK(readRequest(start + "Transfer-Encoding: chunked\r\n\r\nzz\r\n\r\n") == read_state::BadMessage);
    BOOST_CHECK(readRequest(start + "X: a\r\n b\r\n\r\n") == read_state::BadMessage);
    BOOST_CHECK(readRequest("GET /a HTTP/1.1\nHost: h\n\n") == read_state::BadMessage);
    BOOST_CHECK(readRequest(start + "X : a\r\n\r\n") == read_state::BadMessage);
    BOOST_CHECK(readRequest("GET /a HTTP/1.1\r\n\r\n") == read_state::BadMessage);
    BOOST_CHECK(readRequest("GET /a HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n") == read_state::BadMessage);
    BOOST_CHECK(readRequest("GET http://x/a HTTP/1.1\r\nHost: a\r\n\r\n") == read_state::BadMessage);
}

BOOST_AUTO_TEST_CASE(head_and_body_limits_give_different_states)
{
    request_reader reader;
    reader.setLimits(64, 4);
    std::string head = "GET /a HTTP/1.1\r\nHost: h\r\nX: " + std::string(100, 'x');
    BOOST_CHECK(reader.feed(head) == read_state::HeadTooLarge);
    request_reader second;
    second.setLimits(64, 4);
    std::string body = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n";
    BOOST_CHECK(second.feed(body) == read_state::BodyTooLarge);
}

BOOST_AUTO_TEST_CASE(response_without_length_ends_at_connection_close)
{
    response_reader reader;
    reader.expect(false, 100);
    std::string input = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX: 1\r\n\r\nabc";
    BOOST_CHECK(reader.feed(input) == read_state::NeedMore);
    BOOST_CHECK(reader.finish() == read_state::Complete);
    const http_response response = reader.take();
    BOOST_TEST(response.status == 200U);
    BOOST_TEST(response.body == "abc");
}

BOOST_AUTO_TEST_CASE(truncated_response_is_rejected)
{
    response_reader reader;
    reader.expect(false, 100);
    std::string input = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc";
    BOOST_CHECK(reader.feed(input) == read_state::NeedMore);
    BOOST_CHECK(reader.finish() == read_state::BadMessage);
}

// Guards against bytes ahead of the response that a client of the older protocol version takes for the response.
BOOST_AUTO_TEST_CASE(only_http_1_1_clients_wait_for_an_interim_response)
{
    for (const char version : {'0', '1'}) {
        request_reader reader;
        std::string input = std::string("POST /a HTTP/1.") + version
            + "\r\nHost: h\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n";
        BOOST_CHECK(reader.feed(input) == read_state::HeadComplete);
        BOOST_TEST(reader.expectsContinue() == (version == '1'));
    }
}

BOOST_AUTO_TEST_CASE(bytes_after_a_response_stay_in_the_input)
{
    response_reader reader;
    reader.expect(false, 100);
    std::string input = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK\r\n";
    BOOST_CHECK(reader.feed(input) == read_state::Complete);
    BOOST_TEST(input == "HTTP/1.1 200 OK\r\n");
}

BOOST_AUTO_TEST_CASE(standard_and_connection_listed_headers_are_hop_by_hop)
{
    const http_headers headers = {{"Connection", "close, X-Mine"}, {"X-Mine", "1"}, {"X-Other", "2"}};
    BOOST_TEST(isHopByHopHeader("x-mine", headers));
    BOOST_TEST(isHopByHopHeader("Keep-Alive", headers));
    BOOST_TEST(!isHopByHopHeader("X-Other", headers));
}

// Guards against a body that holds a further answer: without a length, all bytes until the close belong to the body.
BOOST_AUTO_TEST_CASE(a_body_that_ends_with_the_connection_holds_no_further_response)
{
    const std::string first = "HTTP/1.1 200 OK\r\nX: 1\r\n\r\nabc";
    const std::string second = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na";
    constexpr std::size_t recognizable = std::string_view("HTTP/1.").size();
    for (std::size_t count = recognizable; count <= second.size(); ++count) {
        BOOST_CHECK(readResponse(first + second.substr(0, count)) == read_state::BadMessage);
    }
    BOOST_CHECK(readResponse(first + "HTTP/1.0 503 Full\r\n\r\n") == read_state::BadMessage);
    BOOST_CHECK(readResponse(first + "HTTP/1.1 200 OK\nA: b\n\n") == read_state::BadMessage);
    BOOST_CHECK(readResponse(first + "HTTP/1.1 is spoken here") == read_state::Complete);
    BOOST_CHECK(readResponse(first + "HTTP/1.1 200 OK\r\nis a status line") == read_state::Complete);
    BOOST_CHECK(readResponse(first + "HTTP/1.1 200 OK\r\nHTTP/1.1 404 Gone\r\n: ") == read_state::Complete);
}

// Guards against two answers read as one: where the head of the first one is cut, the second one continues it.
BOOST_AUTO_TEST_CASE(a_head_that_continues_with_a_further_response_is_rejected)
{
    const std::string first = "HTTP/1.1 200 OK\r\nDigest: a\r\nX: y\r\nContent-Length: 1\r\n\r\na";
    const std::string second = "HTTP/1.1 500 Failed\r\nDigest: b\r\nContent-Length: 1\r\n\r\nb";
    for (std::size_t count = 1; count < first.find("\r\n\r\n"); ++count) {
        BOOST_TEST((readResponse(first.substr(0, count) + second) != read_state::Complete), count);
    }
}

// Guards against a body whose last bytes are the start of the next answer.
BOOST_AUTO_TEST_CASE(a_body_that_ends_in_the_head_of_a_further_response_is_rejected)
{
    const std::string second = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb";
    for (std::size_t missing = 0; missing < second.size(); ++missing) {
        std::string input =
            "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(missing + 3) + "\r\n\r\nabc" + second;
        response_reader reader;
        reader.expect(false, 1000);
        BOOST_TEST((reader.feed(input) == read_state::Complete) == (missing == 0), missing);
    }
}

// Guards against a body that is still encoded, or that has another end for the leaf.
BOOST_AUTO_TEST_CASE(a_response_with_ambiguous_framing_is_rejected)
{
    const std::string start = "HTTP/1.1 200 OK\r\n";
    const std::string chunks = "\r\n1\r\na\r\n0\r\n\r\n";
    const auto withCoding = [&](std::string_view coding) {
        std::string response = start;
        return response.append("Transfer-Encoding: ").append(coding).append("\r\n").append(chunks);
    };
    for (const std::string_view coding :
         {"gzip", "gzip, chunked", "chunked, gzip", "chunked, chunked", "identity", ""}) {
        BOOST_CHECK(readResponse(withCoding(coding)) == read_state::BadMessage);
    }
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    BOOST_CHECK(readResponse(start + chunked + chunked + chunks) == read_state::BadMessage);
    BOOST_CHECK(readResponse("HTTP/1.0 200 OK\r\n" + chunked + chunks) == read_state::BadMessage);
    BOOST_CHECK(readResponse(start + chunked + "Content-Length: 1\r\n" + chunks) == read_state::BadMessage);
    BOOST_CHECK(readResponse(start + "Content-Length: 1\r\n" + chunked + chunks) == read_state::BadMessage);
    BOOST_CHECK(readResponse(start + "Transfer-Encoding: gzip\r\nContent-Length: 1\r\n\r\na")
                == read_state::BadMessage);
    BOOST_CHECK(readResponse(start + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab") == read_state::BadMessage);
    BOOST_CHECK(readResponse(start + chunked + chunks) == read_state::Complete);
    BOOST_CHECK(readResponse("HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\na") == read_state::Complete);
    BOOST_CHECK(readResponse("HTTP/1.0 200 OK\r\n\r\na") == read_state::Complete);
}

BOOST_AUTO_TEST_CASE(a_response_that_ends_early_is_rejected)
{
    const std::string start = "HTTP/1.1 200 OK\r\n";
    for (const std::string &whole :
         {start + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", start + "Content-Length: 2\r\n\r\nab"}) {
        BOOST_CHECK(readResponse(whole) == read_state::Complete);
        for (std::size_t count = 0; count < whole.size(); ++count) {
            BOOST_CHECK(readResponse(whole.substr(0, count)) == read_state::BadMessage);
        }
    }
}

// Guards against a caller that waits until its timeout for a body that would be rejected anyway.
BOOST_AUTO_TEST_CASE(a_response_is_rejected_as_soon_as_its_head_is_unsound)
{
    for (const std::string head : {"HTTP/1.1 099 X\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n"}) {
        response_reader reader;
        reader.expect(false, 1000);
        std::string input = head;
        BOOST_CHECK(reader.feed(input) == read_state::BadMessage);
    }
}

// Guards against an interim status that reaches the caller in place of the final answer.
BOOST_AUTO_TEST_CASE(a_response_with_neither_a_final_nor_an_interim_status_is_rejected)
{
    const auto beforeFinal = [](std::string_view status) {
        std::string responses = "HTTP/1.1 ";
        return responses.append(status).append(" X\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na");
    };
    for (const std::string_view status : {"000", "099", "101", "600", "999"}) {
        BOOST_CHECK(readResponse(beforeFinal(status)) == read_state::BadMessage);
    }
    for (const std::string_view status : {"100", "102", "103", "199"}) {
        BOOST_CHECK(readResponse(beforeFinal(status)) == read_state::Complete);
    }
}

// Guards against a success with the digest of a body that was dropped: a response without content announces one.
BOOST_AUTO_TEST_CASE(a_response_without_content_that_announces_a_body_is_rejected)
{
    const std::string start = "HTTP/1.1 204 X\r\n";
    for (const std::string head :
         {"Content-Length: 16\r\n", "Content-Length: 016\r\n", "Transfer-Encoding: chunked\r\n"}) {
        BOOST_CHECK(readResponse(start + head + "\r\n") == read_state::BadMessage);
    }
    for (const std::string head : {"", "Content-Length: 0\r\n"}) {
        BOOST_CHECK(readResponse(start + head + "\r\n") == read_state::Complete);
    }
    BOOST_CHECK(readResponse("HTTP/1.1 304 X\r\nContent-Length: 16\r\n\r\n") == read_state::Complete);
}
