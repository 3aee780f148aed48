#pragma once

/**
 * @file
 * HTTP/1.1 messages without sockets: bytes go in, whole messages or faults come out. Boost.Beast parses; what it lets
 * pass and a proxy must not (folded header lines, bare line feeds, doubtful framing) is refused here.
 */

#include <base/base.h>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace chivelock {

/** One header line, in the spelling in which it arrived. */
struct http_header {
    std::string name;
    std::string value;
};

using http_headers = std::vector<http_header>;

/** Compares names as HTTP does, without case. */
[[nodiscard]] bool sameHeaderName(std::string_view a, std::string_view b);

/** @return the value of the first header of that name, or an empty view. */
[[nodiscard]] std::string_view findHeader(const http_headers &headers, std::string_view name);

/** @return whether the comma separated list in the header holds the token. */
[[nodiscard]] bool headerHasToken(const http_headers &headers, std::string_view name, std::string_view token);

/** Headers that concern one connection only, those named by Connection among them; never forwarded. */
[[nodiscard]] bool isHopHeader(std::string_view name, const http_headers &all);

/** A whole request. */
struct http_request {
    std::string method;
    std::string target; ///< byte for byte as it arrived
    http_headers headers;
    std::string body; ///< without chunk framing
    bool keepAlive = true;
};

/** A whole response. */
struct http_response {
    unsigned status = 0;
    std::string reason;
    http_headers headers;
    std::string body; ///< without chunk framing
    bool keepAlive = true;
};

/** What a reader made of the bytes so far. */
enum class read_state : std::uint8_t {
    NeedMore,
    HeadComplete, ///< a request whose body is still to come; told once
    Complete,
    BadMessage,
    HeadTooLarge,
    BodyTooLarge
};

/** Reads requests of one connection, one after the other. */
class request_reader
{
public:
    request_reader();
    request_reader(const request_reader &) = delete;
    request_reader &operator=(const request_reader &) = delete;
    ~request_reader();

    /** Bounds for the next request, in bytes. */
    void setLimits(std::size_t headBytes, std::size_t bodyBytes);

    /** Takes what it can use off the front of @p input; bytes behind a complete request stay. */
    [[nodiscard]] read_state feed(std::string &input);

    /** Whether the client waits for an interim 100 before it sends the body. Valid from HeadComplete on. */
    [[nodiscard]] bool wantsContinue() const;

    /** Whether bytes of an unfinished request have been taken. */
    [[nodiscard]] bool begun() const;

    /** @pre the last state was Complete. Ready for the next request afterwards. */
    [[nodiscard]] http_request take();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

/** Reads responses of one connection. Interim 1xx responses are passed over. */
class response_reader
{
public:
    response_reader();
    response_reader(const response_reader &) = delete;
    response_reader &operator=(const response_reader &) = delete;
    ~response_reader();

    /** @param toHead the response answers a HEAD request and has no body. @param bodyBytes most bytes of a body. */
    void expect(bool toHead, std::size_t bodyBytes);

    [[nodiscard]] read_state feed(std::string &input);

    /** The peer closed its side in good order. @return Complete for a body that ends with the connection. */
    [[nodiscard]] read_state finish();

    [[nodiscard]] bool begun() const;

    /** @pre the last state was Complete. */
    [[nodiscard]] http_response take();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

/** Status line, headers and body as one piece; Content-Length is added, framing headers in @p headers are left out. */
[[nodiscard]] std::string
writeResponse(unsigned status, std::string_view reason, const http_headers &headers, std::string_view body, bool close);

/** The usual words for a status code. */
[[nodiscard]] std::string_view reasonFor(unsigned status);

} // namespace chivelock
