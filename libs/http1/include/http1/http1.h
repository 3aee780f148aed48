#pragma once

/**
 * @file
 * HTTP/1.1 messages without socket I/O: the readers turn bytes into complete messages or errors. Boost.Beast parses.
 * The request reader also rejects input that Beast accepts but a proxy must not forward: folded header lines, bare line
 * feeds, ambiguous framing.
 */

#include <base/base.h>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace chivelock {

/** One header line; name and value keep the spelling in which they were received. */
struct http_header {
    std::string name;
    std::string value;
};

using http_headers = std::vector<http_header>;

/** Compares header names case-insensitively, as HTTP requires. */
[[nodiscard]] bool sameHeaderName(std::string_view a, std::string_view b);

/** @return the value of the first header named @p name, or an empty view if there is none. */
[[nodiscard]] std::string_view findHeader(const http_headers &headers, std::string_view name);

/** @return whether the comma-separated list in a header named @p name contains @p token. */
[[nodiscard]] bool headerHasToken(const http_headers &headers, std::string_view name, std::string_view token);

/** @return whether a header is hop-by-hop, which includes those listed in the Connection header of @p all. Such headers
 *  apply to one connection only and are never forwarded. */
[[nodiscard]] bool isHopByHopHeader(std::string_view name, const http_headers &all);

/** A complete request. */
struct http_request {
    std::string method;
    std::string target; ///< byte for byte as received
    http_headers headers;
    std::string body; ///< without chunk framing
    bool keepAlive = true;
};

/** A complete response. */
struct http_response {
    unsigned status = 0;
    std::string reason;
    http_headers headers;
    std::string body; ///< without chunk framing
    bool keepAlive = true;
};

/** State of a reader after the bytes that it has received so far. */
enum class read_state : std::uint8_t {
    NeedMore,
    HeadComplete, ///< the head of a request is complete, its body is not; returned once per request
    Complete,
    BadMessage,
    HeadTooLarge, ///< counts the blank lines ahead of a request
    InterimTooLarge, ///< the interim responses ahead of a response
    FramingTooLarge, ///< the chunk extensions and the trailer of a message
    BodyTooLarge,
    ReadFailed ///< the user of a reader got an exception, for example for lack of memory
};

/** @return the name of a state in logs. */
[[nodiscard]] std::string_view toString(read_state state);

/** Whether a message was rejected because it is larger than a bound or could not be read. */
[[nodiscard]] bool isCutOff(read_state state);

/** Parses the requests of one connection, one after the other. */
class request_reader
{
public:
    request_reader();
    request_reader(const request_reader &) = delete;
    request_reader &operator=(const request_reader &) = delete;
    ~request_reader();

    /** Sets the size limits of the next request, in bytes. The limit of the head also bounds the chunk extensions and
     * the trailer together. */
    void setLimits(std::size_t maxHeadBytes, std::size_t maxBodyBytes);

    /** Consumes bytes from the front of @p input; bytes after a complete request stay in it. */
    [[nodiscard]] read_state feed(std::string &input);

    /** Whether the client waits for an interim 100 response before it sends the body. Valid from HeadComplete on. */
    [[nodiscard]] bool expectsContinue() const;

    /** Whether part of an incomplete request has been received. */
    [[nodiscard]] bool begun() const;

    /** Returns the request and resets the reader for the next one. @pre the last state was Complete. */
    [[nodiscard]] http_request take();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

/**
 * Parses the responses of one connection. Interim 1xx responses are skipped. One bound holds for the head of a
 * response, for all interim responses ahead of it, and for its chunk extensions and trailer together.
 */
class response_reader
{
public:
    static constexpr std::size_t maxHeadBytes = 32768; // the head of a leaf's response has a few hundred bytes

    response_reader();
    response_reader(const response_reader &) = delete;
    response_reader &operator=(const response_reader &) = delete;
    ~response_reader();

    /** Prepares for the next response. @param isHeadResponse the response is to a HEAD request and has no body.
     *  @param maxBodyBytes largest accepted body. */
    void expect(bool isHeadResponse, std::size_t maxBodyBytes);

    [[nodiscard]] read_state feed(std::string &input);

    /** Handles an orderly close by the peer. @return Complete for a body that is delimited by the close and doesn't
     * hold the head of a further response. */
    [[nodiscard]] read_state finish();

    [[nodiscard]] bool begun() const;

    /** @pre the last state was Complete. */
    [[nodiscard]] http_response take();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

/** @return status line, headers and body as one string. Content-Length is added, except for 204 and 304. @p headers are
 *  written as given, so the caller must leave out framing headers. */
[[nodiscard]] std::string
writeResponse(unsigned status, std::string_view reason, const http_headers &headers, std::string_view body, bool close);

/** @return the standard reason phrase of a status code. */
[[nodiscard]] std::string_view reasonPhrase(unsigned status);

} // namespace chivelock
