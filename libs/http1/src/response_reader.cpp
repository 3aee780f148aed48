#include "message_parts.h"

#include <http1/http1.h>

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>

namespace chivelock {

namespace http = boost::beast::http;

namespace {

using beast_parser = http::response_parser<http::string_body>;
constexpr std::uint32_t maxHeadBytes = 32768; // The head of a leaf's response has a few hundred bytes.

bool isInterim(unsigned status)
{
    constexpr unsigned firstFinalStatus = 200;
    constexpr unsigned switchingProtocols = 101;
    return status < firstFinalStatus && status != switchingProtocols;
}

} // namespace

struct response_reader::state {
    std::optional<beast_parser> parser;
    bool isHeadResponse = false;
    bool begun = false;
    std::size_t maxBodyBytes = 0;

    void startResponse()
    {
        parser.emplace();
        parser->header_limit(maxHeadBytes);
        parser->body_limit(maxBodyBytes);
        parser->eager(true);
        parser->skip(isHeadResponse);
        begun = false;
    }
};

response_reader::response_reader()
    : m_state(std::make_unique<state>())
{
}

response_reader::~response_reader() = default;

void response_reader::expect(bool isHeadResponse, std::size_t maxBodyBytes)
{
    m_state->isHeadResponse = isHeadResponse;
    m_state->maxBodyBytes = maxBodyBytes;
    m_state->startResponse();
}

read_state response_reader::feed(std::string &input)
{
    boost::system::error_code error;
    while (!input.empty()) {
        m_state->begun = true;
        const std::size_t used = m_state->parser->put(boost::asio::buffer(input), error);
        input.erase(0, used);
        if (error && error != http::error::need_more) {
            return error == http::error::body_limit ? read_state::BodyTooLarge : read_state::BadMessage;
        }
        if (m_state->parser->is_done()) {
            if (!isInterim(m_state->parser->get().result_int())) {
                return read_state::Complete;
            }
            m_state->startResponse();
            continue;
        }
        if (used == 0) {
            break;
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
    return !error && m_state->parser->is_done() ? read_state::Complete : read_state::BadMessage;
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
