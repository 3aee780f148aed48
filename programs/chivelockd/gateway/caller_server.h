#pragma once

/**
 * @file
 * HTTP server on the reactor thread. One request of a connection at a time; the connection is watched meanwhile, so
 * that work for a caller who has left can be stopped.
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

/** What a server tells its owner. */
class request_listener
{
public:
    request_listener() = default;
    request_listener(const request_listener &) = delete;
    request_listener &operator=(const request_listener &) = delete;
    virtual ~request_listener() = default;

    /** Every request gets exactly one @ref caller_server::reply, unless its caller leaves before. */
    virtual void onRequest(session_id session, http_request request) = 0;

    /** The caller of an unanswered request closed its connection. */
    virtual void onCallerLeft(session_id session) = 0;
};

/** Writes the answer to a message that can't be taken as a request. */
using fault_writer = std::string (*)(read_state fault);

/** Listens at one address. */
class caller_server
{
public:
    caller_server(boost::asio::io_context &reactor, request_listener &listener, fault_writer writeFault);
    caller_server(const caller_server &) = delete;
    caller_server &operator=(const caller_server &) = delete;
    ~caller_server();

    /** @return the reason if the address can't be used. */
    [[nodiscard]] boost::system::error_code listen(const std::string &address, std::uint16_t port);

    void setLimits(const caller_limits &limits, std::size_t maxSessions);

    /** Sends @p bytes as the answer to the session's request. @param close the connection ends after it. */
    void reply(session_id session, std::string bytes, bool close);

    /** @return how long a packet to the session's caller and back takes, as the kernel has measured it; nothing if it
     *  has not. */
    [[nodiscard]] std::optional<millis> roundTripTo(session_id session) const;

    /** Whether the session has had one request so far. */
    [[nodiscard]] bool isNew(session_id session) const;

    /** @return IP number of the session's caller; empty if the connection is gone. */
    [[nodiscard]] std::string addressOf(session_id session) const;

    /** Takes no further connections. */
    void stopListening();

    /** Closes connections on which no request is under way. */
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
    fault_writer m_writeFault;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_sweepTimer;
    caller_limits m_limits;
    std::size_t m_maxSessions = 1000;
    session_id m_nextId = 1;
    std::unordered_map<session_id, std::shared_ptr<session>> m_sessions;
};

} // namespace chivelock
