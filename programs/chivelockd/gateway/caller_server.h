#pragma once

/**
 * @file
 * HTTP server on the reactor thread. Serves one request per connection at a time and keeps reading meanwhile, so that
 * work for a caller that has disconnected can be stopped.
 */

#include <gateway/gateway.h>
#include <http1/http1.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace chivelock {

using session_id = std::uint64_t;

/** Receives the events of a @ref caller_server. */
class request_listener
{
public:
    request_listener() = default;
    request_listener(const request_listener &) = delete;
    request_listener &operator=(const request_listener &) = delete;
    virtual ~request_listener() = default;

    /** Every request must get exactly one @ref caller_server::reply, unless its caller disconnects before. */
    virtual void onRequest(session_id session, http_request request) = 0;

    /** The caller of an unanswered request closed its connection. */
    virtual void onCallerLeft(session_id session) = 0;
};

/** Formats the error response to input that is not a valid request. */
using read_error_writer = std::string (*)(read_state fault);

/** HTTP server for one listening address. */
class caller_server
{
public:
    caller_server(boost::asio::io_context &reactor, request_listener &listener, read_error_writer writeReadError);
    caller_server(const caller_server &) = delete;
    caller_server &operator=(const caller_server &) = delete;
    ~caller_server();

    /** @return the error if the address cannot be used. */
    [[nodiscard]] boost::system::error_code listen(const std::string &address, std::uint16_t port);

    void setLimits(const caller_limits &limits, std::size_t maxSessions);

    /** Sends @p bytes as the answer to the session's request. @param close whether the connection closes then. */
    void reply(session_id session, std::string bytes, bool close);

    /** @return the round-trip time to the session's caller as measured by the kernel; nothing if not measured yet. */
    [[nodiscard]] std::optional<millis> roundTripTo(session_id session) const;

    /** Whether the current request is the first one of the session. */
    [[nodiscard]] bool isFirstRequest(session_id session) const;

    /** @return the IP address of the session's caller; empty if the connection is closed. */
    [[nodiscard]] std::string addressOf(session_id session) const;

    /** Accepts no further connections. */
    void stopListening();

    /** Closes connections on which no request is in progress. */
    void closeIdle();

    [[nodiscard]] std::size_t sessions() const
    {
        return m_sessions.size();
    }

private:
    class session;

    void accept();
    void sweep();

    boost::asio::io_context &m_reactor;
    request_listener &m_listener;
    read_error_writer m_writeReadError;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_sweepTimer;
    caller_limits m_limits;
    std::size_t m_maxSessions = 1000;
    session_id m_nextId = 1;
    std::unordered_map<session_id, std::shared_ptr<session>> m_sessions;
};

} // namespace chivelock
