#include <http1/http1.h>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>

namespace chivelock {

namespace beast = boost::beast;

namespace {

beast::string_view asBeast(std::string_view text)
{
    return {text.data(), text.size()};
}

constexpr std::array<std::string_view, 9> hopByHopHeaders = {"connection",
                                                             "keep-alive",
                                                             "proxy-connection",
                                                             "proxy-authenticate",
                                                             "proxy-authorization",
                                                             "te",
                                                             "trailer",
                                                             "transfer-encoding",
                                                             "upgrade"};

void appendHeader(std::string &text, std::string_view name, std::string_view value)
{
    text.append(name).append(": ").append(value).append("\r\n");
}

} // namespace

bool sameHeaderName(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && beast::iequals(asBeast(a), asBeast(b));
}

std::string_view findHeader(const http_headers &headers, std::string_view name)
{
    const auto found =
        std::ranges::find_if(headers, [&](const http_header &header) { return sameHeaderName(header.name, name); });
    return found == headers.end() ? std::string_view() : std::string_view(found->value);
}

bool headerHasToken(const http_headers &headers, std::string_view name, std::string_view token)
{
    return std::ranges::any_of(headers, [&](const http_header &header) {
        return sameHeaderName(header.name, name)
            && beast::http::token_list(asBeast(header.value)).exists(asBeast(token));
    });
}

bool isHopByHopHeader(std::string_view name, const http_headers &all)
{
    const bool known =
        std::ranges::any_of(hopByHopHeaders, [&](std::string_view hop) { return sameHeaderName(hop, name); });
    return known || headerHasToken(all, "Connection", name);
}

std::string_view toString(read_state state)
{
    switch (state) {
    case read_state::NeedMore:
        return "incomplete";
    case read_state::HeadComplete:
        return "head_complete";
    case read_state::Complete:
        return "complete";
    case read_state::BadMessage:
        return "bad_message";
    case read_state::HeadTooLarge:
        return "head_too_large";
    case read_state::InterimTooLarge:
        return "interim_too_large";
    case read_state::FramingTooLarge:
        return "framing_too_large";
    case read_state::BodyTooLarge:
        return "body_too_large";
    case read_state::ReadFailed:
        return "read_failed";
    }
    return "unknown";
}

bool isCutOff(read_state state)
{
    return state == read_state::HeadTooLarge || state == read_state::InterimTooLarge
        || state == read_state::FramingTooLarge || state == read_state::BodyTooLarge || state == read_state::ReadFailed;
}

std::string_view reasonPhrase(unsigned status)
{
    const beast::string_view phrase = beast::http::obsolete_reason(beast::http::int_to_status(status));
    return {phrase.data(), phrase.size()};
}

std::string
writeResponse(unsigned status, std::string_view reason, const http_headers &headers, std::string_view body, bool close)
{
    constexpr std::size_t typicalHeadBytes = 256;
    std::string text;
    text.reserve(typicalHeadBytes + body.size());
    text.append("HTTP/1.1 ").append(std::to_string(status)).append(" ").append(reason).append("\r\n");
    for (const http_header &header : headers) {
        appendHeader(text, header.name, header.value);
    }
    constexpr unsigned noContent = 204;
    constexpr unsigned notModified = 304;
    if (status != noContent && status != notModified) {
        appendHeader(text, "Content-Length", std::to_string(body.size()));
    }
    if (close) {
        appendHeader(text, "Connection", "close");
    }
    text.append("\r\n").append(body);
    return text;
}

} // namespace chivelock
