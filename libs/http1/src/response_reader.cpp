#include "chunk_framing.h"
#include "message_parts.h"

#include <http1/http1.h>

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <optional>
#include <string_view>

namespace chivelock {

namespace http = boost::beast::http;

namespace {

using beast_parser = http::response_parser<http::string_body>;
constexpr std::size_t maxHeadBytes = response_reader::maxHeadBytes;
constexpr std::size_t maxInterimBytes = maxHeadBytes;
constexpr std::size_t maxFramingBytes = maxHeadBytes;

bool isInterim(unsigned status)
{
    constexpr unsigned firstFinalStatus = 200;
    return status < firstFinalStatus;
}

/** Whether a response may have the status. No request asks for a switch of protocols. */
bool isExpectedStatus(unsigned status)
{
    constexpr unsigned firstInterimStatus = 100;
    constexpr unsigned switchingProtocols = 101;
    constexpr unsigned lastStatus = 599;
    return status >= firstInterimStatus && status <= lastStatus && status != switchingProtocols;
}

/** Whether the head announces a body that a response with its status cannot have: the body would be dropped, and the
 *  digest beside it belongs to the whole. */
bool contradictsItself(const http::response<http::string_body> &message)
{
    const auto length = message.find(http::field::content_length);
    const bool hasLength = length != message.end() && length->value().find_first_not_of('0') != std::string_view::npos;
    const bool hasCoding = message.count(http::field::transfer_encoding) > 0;
    return message.result() == http::status::no_content && (hasLength || hasCoding);
}

bool isSound(const http::response<http::string_body> &message)
{
    return isExpectedStatus(message.result_int()) && hasUnambiguousFraming(message) && !contradictsItself(message);
}

constexpr std::string_view protocolName = "HTTP/1.";

bool isDigit(char c)
{
    return c >= '0' && c <= '9';
}

/** Whether @p text starts with a status line, or is the start of one. */
bool startsWithStatusLine(std::string_view text)
{
    constexpr std::string_view pattern = "HTTP/1.0 000"; // a 0 stands for any digit
    const auto matches = [](char c, char expected) { return expected == '0' ? isDigit(c) : c == expected; };
    const auto [end, patternEnd] = std::ranges::mismatch(text, pattern, matches);
    return end == text.end() || patternEnd == pattern.end();
}

/** Whether @p text starts with a response head, or is the start of one. */
bool startsWithHead(std::string_view text)
{
    constexpr std::string_view tokenCharacters =
        "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz";
    if (!startsWithStatusLine(text)) {
        return false;
    }
    const std::size_t lineEnd = text.find('\n');
    if (lineEnd == std::string_view::npos) {
        return true;
    }
    const std::string_view next = text.substr(lineEnd + 1);
    const std::size_t nameEnd = next.find_first_not_of(tokenCharacters);
    const bool isCut = nameEnd == std::string_view::npos;
    const bool hasNoHeaders = next.starts_with('\r') || next.starts_with('\n');
    return isCut || hasNoHeaders || (nameEnd > 0 && next[nameEnd] == ':');
}

/**
 * Whether a body that the close of the connection delimits holds the head of a further response. A leaf may send one
 * too many, and nothing else shows where the body ended. The head may be cut off by the close.
 */
bool holdsFurtherHead(std::string_view body)
{
    for (std::size_t at = body.find(protocolName); at != std::string_view::npos; at = body.find(protocolName, at + 1)) {
        if (startsWithHead(body.substr(at, maxHeadBytes))) {
            return true;
        }
    }
    return false;
}

bool holdsStatusLine(std::string_view text)
{
    for (std::size_t at = text.find(protocolName); at != std::string_view::npos; at = text.find(protocolName, at + 1)) {
        if (startsWithStatusLine(text.substr(at))) {
            return true;
        }
    }
    return false;
}

std::string_view viewOf(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

/** Whether the head was cut and goes on with the head of a further response, which then stands in one of its lines. */
bool joinsTwoHeads(const http::response<http::string_body> &message)
{
    return holdsStatusLine(viewOf(message.reason()))
        || std::any_of(
               message.begin(), message.end(), [](const auto &line) { return holdsStatusLine(viewOf(line.value())); });
}

/** Whether the body was cut and holds the start of a further response, the rest of which is in @p input. */
bool runsIntoFurtherHead(std::string_view body, std::string_view input)
{
    const std::string joined = std::string(body).append(input.substr(0, maxHeadBytes));
    for (std::size_t at = joined.find(protocolName); at < body.size(); at = joined.find(protocolName, at + 1)) {
        if (startsWithHead(std::string_view(joined).substr(at, maxHeadBytes))) {
            return true;
        }
    }
    return false;
}

} // namespace

struct response_reader::state {
    std::optional<beast_parser> parser;
    chunk_framing framing {maxFramingBytes};
    bool isHeadResponse = false;
    bool begun = false;
    std::size_t maxBodyBytes = 0;
    std::size_t headBytes = 0; ///< consumed by the parser
    std::size_t interimBytes = 0; ///< of the interim responses ahead of this one

    void startResponse()
    {
        parser.emplace();
        framing = chunk_framing(maxFramingBytes);
        headBytes = 0;
        parser->header_limit(maxHeadBytes + 1); // a head of one byte more is rejected here
        parser->body_limit(maxBodyBytes);
        // An eager parser goes on to the body behind a head that it has rejected for the length of the body.
        parser->eager(false);
        parser->skip(isHeadResponse);
        parser->on_chunk_header(framing);
        begun = false;
    }

    [[nodiscard]] read_state readHead(std::string &input);
    [[nodiscard]] read_state readBody(std::string &input);
    [[nodiscard]] bool skipInterim();
};

namespace {

read_state faultOf(const boost::system::error_code &error)
{
    if (error == http::error::body_limit) {
        return read_state::BodyTooLarge;
    }
    return error == http::error::header_limit ? read_state::HeadTooLarge : read_state::BadMessage;
}

bool isFault(const boost::system::error_code &error)
{
    return error && error != http::error::need_more;
}

} // namespace

/** @return HeadComplete, NeedMore or why the head is rejected. */
read_state response_reader::state::readHead(std::string &input)
{
    boost::system::error_code error;
    const std::size_t used = parser->put(boost::asio::buffer(input), error);
    input.erase(0, used);
    headBytes += used;
    const std::size_t received = parser->is_header_done() ? headBytes : headBytes + input.size();
    if (received > maxHeadBytes) {
        return read_state::HeadTooLarge;
    }
    if (isFault(error)) {
        return faultOf(error);
    }
    if (!parser->is_header_done()) {
        return read_state::NeedMore;
    }
    parser->eager(true);
    return isSound(parser->get()) ? read_state::HeadComplete : read_state::BadMessage;
}

/** @return Complete, NeedMore or why the body is rejected. */
read_state response_reader::state::readBody(std::string &input)
{
    while (!parser->is_done() && !input.empty()) {
        boost::system::error_code error;
        const std::size_t bodyBytes = parser->get().body().size();
        const std::size_t used = parser->put(boost::asio::buffer(input), error);
        input.erase(0, used);
        framing.add(used - (parser->get().body().size() - bodyBytes));
        if (isFault(error)) {
            return faultOf(error);
        }
        if (used == 0) {
            break;
        }
    }
    const bool isDone = parser->is_done();
    if (framing.isTooLarge(isDone ? 0 : input.size())) {
        return read_state::FramingTooLarge;
    }
    return isDone ? read_state::Complete : read_state::NeedMore;
}

/** @return false if there are too many interim responses. */
bool response_reader::state::skipInterim()
{
    interimBytes += headBytes;
    startResponse();
    return interimBytes <= maxInterimBytes;
}

response_reader::response_reader()
    : m_state(std::make_unique<state>())
{
}

response_reader::~response_reader() = default;

void response_reader::expect(bool isHeadResponse, std::size_t maxBodyBytes)
{
    m_state->isHeadResponse = isHeadResponse;
    m_state->maxBodyBytes = maxBodyBytes;
    m_state->interimBytes = 0;
    m_state->startResponse();
}

read_state response_reader::feed(std::string &input)
{
    while (!input.empty()) {
        m_state->begun = true;
        if (!m_state->parser->is_header_done()) {
            const read_state head = m_state->readHead(input);
            if (head != read_state::HeadComplete) {
                return head;
            }
        }
        const read_state body = m_state->readBody(input);
        if (body != read_state::Complete) {
            return body;
        }
        const auto &message = m_state->parser->get();
        if (joinsTwoHeads(message) || (!input.empty() && runsIntoFurtherHead(message.body(), input))) {
            return read_state::BadMessage;
        }
        if (!isInterim(message.result_int())) {
            return read_state::Complete;
        }
        if (!m_state->skipInterim()) {
            return read_state::InterimTooLarge;
        }
    }
    return read_state::NeedMore;
}

read_state response_reader::finish()
{
    if (!m_state->parser || !m_state->parser->is_header_done()) {
        return read_state::BadMessage;
    }
    boost::system::error_code error;
    m_state->parser->put_eof(error);
    const auto &message = m_state->parser->get();
    const bool isComplete =
        !error && m_state->parser->is_done() && !joinsTwoHeads(message) && !holdsFurtherHead(message.body());
    return isComplete ? read_state::Complete : read_state::BadMessage;
}

bool response_reader::begun() const
{
    return m_state->begun;
}

http_response response_reader::take()
{
    auto message = m_state->parser->release();
    http_response response;
    response.status = message.result_int();
    const auto reason = message.reason();
    response.reason.assign(reason.data(), reason.size());
    response.keepAlive = message.keep_alive();
    response.headers = copyHeaders(message);
    response.body = std::move(message.body());
    return response;
}

} // namespace chivelock
