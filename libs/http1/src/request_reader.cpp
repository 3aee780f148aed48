#include "chunk_framing.h"
#include "message_parts.h"

#include <http1/http1.h>

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>

namespace chivelock {

namespace http = boost::beast::http;

namespace {

using beast_parser = http::request_parser<http::string_body>;

/**
 * Finds bare line feeds, folded header lines and NUL bytes. Parsers interpret such lines differently, so a leaf could
 * treat text behind one as a separate request (request smuggling). Rejecting them leaves only one interpretation.
 */
bool hasAmbiguousLines(std::string_view head)
{
    for (std::size_t at = head.find('\n'); at != std::string_view::npos; at = head.find('\n', at + 1)) {
        const bool bare = at == 0 || head[at - 1] != '\r';
        const bool folded = at + 1 < head.size() && (head[at + 1] == ' ' || head[at + 1] == '\t');
        if (bare || folded) {
            return true;
        }
    }
    return head.find('\0') != std::string_view::npos;
}

bool hasOneHost(const http::request<http::string_body> &message)
{
    return message.count(http::field::host) == 1;
}

/** Only targets that are a path are accepted: other forms name a host in addition to the Host header. */
bool isPathTarget(const http::request<http::string_body> &message)
{
    return !message.target().empty() && message.target().front() == '/';
}

} // namespace

struct request_reader::state {
    std::optional<beast_parser> parser {std::in_place};
    std::size_t maxHeadBytes = 16384;
    std::size_t maxBodyBytes = 1048576;
    http_headers headers; ///< without trailers, which the parser adds to the headers of its message
    bool keepAlive = false;
    std::optional<chunk_framing> framing; ///< once the head is complete
    std::size_t blankBytes = 0; ///< of blank lines ahead of the request
    std::size_t scannedBytes = 0; ///< bytes of an incomplete head that were already searched for its end
    bool headComplete = false;
    bool headReported = false;

    read_state readHead(std::string &input);
    read_state readBody(std::string &input);
};

namespace {

constexpr std::string_view headEnd = "\r\n\r\n";

/** @return the number of bytes dropped. */
std::size_t dropLeadingBlankLines(std::string &input)
{
    constexpr std::string_view lineEnd = "\r\n";
    std::size_t blankBytes = 0;
    while (std::string_view(input).substr(blankBytes).starts_with(lineEnd)) {
        blankBytes += lineEnd.size();
    }
    input.erase(0, blankBytes);
    return blankBytes;
}

} // namespace

read_state request_reader::state::readHead(std::string &input)
{
    if (scannedBytes == 0) {
        blankBytes += dropLeadingBlankLines(input);
        if (blankBytes > maxHeadBytes) {
            return read_state::HeadTooLarge;
        }
        if (input == "\r") {
            return read_state::NeedMore; // of a blank line
        }
    }
    const std::size_t from = scannedBytes < headEnd.size() ? 0 : scannedBytes - headEnd.size();
    const std::size_t end = input.find(headEnd, from);
    const std::size_t headBytes = end == std::string::npos ? input.size() : end + headEnd.size();
    if (hasAmbiguousLines(std::string_view(input).substr(0, headBytes))) {
        return read_state::BadMessage;
    }
    if (blankBytes + headBytes > maxHeadBytes) {
        return read_state::HeadTooLarge;
    }
    scannedBytes = input.size();
    if (end == std::string::npos) {
        return read_state::NeedMore;
    }
    parser->header_limit(static_cast<std::uint32_t>(maxHeadBytes + headEnd.size()));
    parser->body_limit(maxBodyBytes);
    parser->on_chunk_header(framing.emplace(maxHeadBytes));
    boost::system::error_code error;
    const std::size_t used = parser->put(boost::asio::buffer(input), error);
    parser->eager(true);
    input.erase(0, used);
    if (error == http::error::body_limit) {
        return read_state::BodyTooLarge;
    }
    if ((error && error != http::error::need_more) || !parser->is_header_done()) {
        return read_state::BadMessage;
    }
    headComplete = true;
    const auto &message = parser->get();
    if (!hasUnambiguousFraming(message) || !hasOneHost(message) || !isPathTarget(message)) {
        return read_state::BadMessage;
    }
    headers = copyHeaders(message);
    keepAlive = message.version() >= 11 && message.keep_alive();
    return parser->is_done() ? read_state::Complete : read_state::HeadComplete;
}

read_state request_reader::state::readBody(std::string &input)
{
    boost::system::error_code error;
    while (!parser->is_done() && !input.empty()) {
        const std::size_t bodyBytes = parser->get().body().size();
        const std::size_t used = parser->put(boost::asio::buffer(input), error);
        input.erase(0, used);
        framing->add(used - (parser->get().body().size() - bodyBytes));
        if (error == http::error::body_limit) {
            return read_state::BodyTooLarge;
        }
        if (error && error != http::error::need_more) {
            return read_state::BadMessage;
        }
        if (used == 0) {
            break;
        }
    }
    const bool isDone = parser->is_done();
    if (framing->isTooLarge(isDone ? 0 : input.size())) {
        return read_state::FramingTooLarge;
    }
    return isDone ? read_state::Complete : read_state::NeedMore;
}

request_reader::request_reader()
    : m_state(std::make_unique<state>())
{
}

request_reader::~request_reader() = default;

void request_reader::setLimits(std::size_t maxHeadBytes, std::size_t maxBodyBytes)
{
    m_state->maxHeadBytes = maxHeadBytes;
    m_state->maxBodyBytes = maxBodyBytes;
}

read_state request_reader::feed(std::string &input)
{
    if (!m_state->headComplete) {
        const read_state head = m_state->readHead(input);
        if (head != read_state::HeadComplete) {
            return head;
        }
    }
    const read_state body = m_state->readBody(input);
    if (body == read_state::NeedMore && !m_state->headReported) {
        m_state->headReported = true;
        return read_state::HeadComplete;
    }
    return body;
}

bool request_reader::expectsContinue() const
{
    if (!m_state->headComplete) {
        return false;
    }
    const auto &message = m_state->parser->get();
    return message.version() >= 11 && boost::beast::iequals(message[http::field::expect], "100-continue");
}

bool request_reader::begun() const
{
    return m_state->headComplete || m_state->scannedBytes > 0;
}

http_request request_reader::take()
{
    auto message = m_state->parser->release();
    http_request request;
    const auto method = message.method_string();
    request.method.assign(method.data(), method.size());
    const auto target = message.target();
    request.target.assign(target.data(), target.size());
    request.keepAlive = m_state->keepAlive;
    request.headers = std::move(m_state->headers);
    request.body = std::move(message.body());
    const std::size_t maxHeadBytes = m_state->maxHeadBytes;
    const std::size_t maxBodyBytes = m_state->maxBodyBytes;
    m_state = std::make_unique<state>();
    setLimits(maxHeadBytes, maxBodyBytes);
    return request;
}

} // namespace chivelock
