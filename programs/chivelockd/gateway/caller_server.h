#pragma once

/**
 * @file
 * HTTP server on the reactor thread. Serves one request per connection at a time and keeps reading meanwhile, so that
 * work for a caller that has disconnected can be stopped.
 */

#include "input_guard.h"

#include <backpressure/backpressure.h>
#include <gateway/gateway.h>
#include <http1/http1.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

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

/** Formats the answer to a request that is not read because of its connection: it has not run and never will. */
using refusal_writer = std::string (*)(std::string_view cause, millis retryAfter);

/** Formats the answers that the server gives by itself. */
struct server_answers {
    read_error_writer readError = nullptr;
    refusal_writer refusal = nullptr;
    std::string_view source = "caller"; ///< name of those who connect, for logs and metrics
};

/** Decisions under pressure since the start. */
struct caller_pressure_counts {
    std::uint64_t closedUnread = 0; ///< closed for a new connection; the caller left an answer unread
    std::uint64_t closedIdle = 0; ///< closed for a new connection; no request was in progress
    std::uint64_t closedForMemory = 0;
    std::uint64_t refused = 0; ///< requests that were refused for lack of connections or memory
};

/** HTTP server for one listening address. */
class caller_server
{
public:
    caller_server(boost::asio::io_context &reactor, request_listener &listener, const server_answers &answers);
    caller_server(const caller_server &) = delete;
    caller_server &operator=(const caller_server &) = delete;
    ~caller_server();

    /** @return the error if the address cannot be used. */
    [[nodiscard]] boost::system::error_code listen(const std::string &address, std::uint16_t port);

    void setLimits(const caller_limits &limits);

    /** Limits for all connections together. */
    void setPressureLimits(std::size_t maxConnections, const byte_limits &bytes);

    /**
     * Sets memory aside for the answer to the session's request, until @ref reply. Closes connections whose callers
     * have stopped reading, if that makes room.
     * @return false if there is no room: the request has then been refused and must not be served.
     */
    [[nodiscard]] bool reserveAnswer(session_id session, std::size_t bytes);

    /** Sends @p bytes as the answer to the session's request. @param close whether the connection closes then. */
    void reply(session_id session, std::string bytes, bool close);

    /** @return the round-trip time to the session's caller as measured by the kernel; nothing if not measured yet. */
    [[nodiscard]] std::optional<millis> roundTripTo(session_id session) const;

    /** Whether the current request is the first one of the session. */
    [[nodiscard]] bool isFirstRequest(session_id session) const;

    /** Closes the connection if its caller has, as far as the kernel knows now: the event of it may not be handled yet.
     *  @return whether the connection is closed. */
    [[nodiscard]] bool closeIfCallerLeft(session_id session);

    /** @return the IP address of the session's caller; empty if the connection is closed. */
    [[nodiscard]] std::string addressOf(session_id session) const;

    /** Accepts no further connections. */
    void stopListening();

    /** Closes connections on which no request is in progress, and none has arrived or is expected soon. */
    void closeIdle();

    /** Refuses the requests of which only a part has arrived; their connections close then. */
    void refuseIncomplete(std::string_view cause);

    [[nodiscard]] std::size_t sessions() const
    {
        return m_sessions.size();
    }

    /** @return the bytes held for callers, including those that the kernel has not delivered yet. */
    [[nodiscard]] std::size_t bytesHeld() const
    {
        return m_table.bytesHeld();
    }

    [[nodiscard]] std::size_t maxConnections() const
    {
        return m_table.limit();
    }

    [[nodiscard]] const input_guard &input() const
    {
        return m_input;
    }

    [[nodiscard]] const caller_pressure_counts &pressureCounts() const
    {
        return m_counts;
    }

private:
    class session;
    static constexpr session_id noSession = 0;
    static constexpr std::size_t maxReadBytes = 16384; // holds a complete typical request; a long body takes few reads

    void accept();
    void acceptLater();
    void open(boost::asio::ip::tcp::socket socket);
    [[nodiscard]] bool makeRoom(std::string_view address);
    [[nodiscard]] bool closeForPressure(const connection_closing &closing);
    [[nodiscard]] bool mayServe(session_id id, std::string_view address);
    [[nodiscard]] std::string writeRefusal(std::string_view cause, std::string_view address);
    void sweep();
    void enforceMemoryLimit(session_id except);
    void closeStopped(std::size_t needed, session_id except);
    [[nodiscard]] std::vector<std::shared_ptr<session>> allSessions() const;

    boost::asio::io_context &m_reactor;
    request_listener &m_listener;
    server_answers m_answers;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_sweepTimer;
    boost::asio::steady_timer m_acceptTimer;
    caller_limits m_limits;
    connection_table m_table;
    caller_pressure_counts m_counts;
    input_guard m_input;
    bool m_limitsMemory = false; ///< the memory of the VM is known
    /** Shared by all connections: a buffer for each would take up 16 KB even while the connection is idle. */
    std::array<char, maxReadBytes> m_readBuffer {};
    session_id m_nextId = 1;
    std::unordered_map<session_id, std::shared_ptr<session>> m_sessions;
};

} // namespace chivelock
