#include "caller_server.h"

#include "addresses.h"

#include <boost/asio/write.hpp>

#include <array>
#include <utility>
#include <vector>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace chivelock {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t readBytes = 16384; // holds a complete typical request; a long body takes few reads
constexpr std::size_t maxPipelinedBytes = 65536; // buffered pipelined requests; the rest stays in the kernel
constexpr millis sweepInterval(250); // idle connections are closed at most this late, never early
constexpr millis lingerLimit(1000); // for the caller to read the last answer before the connection is closed
constexpr millis writeLimit(10000); // a caller that takes longer to read its answer counts as disconnected

void removeBody(std::string &answer)
{
    constexpr std::string_view headEnd = "\r\n\r\n";
    answer.resize(answer.find(headEnd) + headEnd.size());
}

} // namespace

/** One connection of a caller. */
class caller_server::session : public std::enable_shared_from_this<session>
{
public:
    session(caller_server &server, session_id id, tcp::socket socket)
        : m_server(server)
        , m_id(id)
        , m_socket(std::move(socket))
        , m_phaseStart(boot_clock().now())
    {
    }

    void start()
    {
        error_code ignored; // without this option answers are only slower
        m_socket.set_option(tcp::no_delay(true), ignored);
        m_socket.non_blocking(true, ignored);
        read();
    }

    void reply(std::string bytes, bool close)
    {
        if (m_phase != phase::Busy) {
            return;
        }
        m_phase = phase::Writing;
        m_phaseStart = boot_clock().now();
        if (m_toHead) {
            removeBody(bytes); // its caller would take a body for the start of the next answer
        }
        m_output = std::move(bytes.insert(0, std::exchange(m_unsentInterim, {})));
        asio::async_write(
            m_socket, asio::buffer(m_output), [self = shared_from_this(), close](const error_code &error, std::size_t) {
                self->onWritten(error, close);
            });
    }

    [[nodiscard]] std::optional<millis> roundTrip()
    {
        tcp_info info {};
        socklen_t size = sizeof info;
        if (getsockopt(m_socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0 || info.tcpi_rtt == 0) {
            return std::nullopt;
        }
        return millis::fromMicros(info.tcpi_rtt);
    }

    [[nodiscard]] std::uint64_t requests() const
    {
        return m_requests;
    }

    [[nodiscard]] std::string peerAddress() const
    {
        error_code error;
        const tcp::endpoint peer = m_socket.remote_endpoint(error);
        return error ? std::string() : peer.address().to_string();
    }

    void closeIfIdle()
    {
        if (m_phase == phase::Waiting && m_input.empty() && !m_reader.begun()) {
            closeAndRemove();
        }
    }

    void closeIfOverdue(millis now, const caller_limits &limits)
    {
        const bool hasPartialRequest = m_phase == phase::Waiting && (m_reader.begun() || !m_input.empty());
        const bool idle = m_phase == phase::Waiting && !hasPartialRequest;
        const millis age = now - m_phaseStart;
        if (hasPartialRequest && age > limits.headTimeout) {
            rejectInput(read_state::NeedMore);
        } else if ((idle && age > limits.idleTimeout) || (m_phase == phase::Lingering && age > lingerLimit)
                   || (m_phase == phase::Writing && age > writeLimit)) {
            closeAndRemove();
        }
    }

    void closeConnection()
    {
        m_phase = phase::Closed;
        error_code ignored; // the socket is closed even if an error is reported
        m_socket.close(ignored);
    }

private:
    enum class phase : std::uint8_t {
        Waiting, ///< for a request or the rest of one, or idle
        Busy, ///< a request is being served
        Writing,
        Lingering, ///< the last answer was sent; waits for the caller to close
        Closed
    };

    void read()
    {
        if (m_readPending || m_input.size() >= maxPipelinedBytes) {
            return;
        }
        m_readPending = true;
        m_socket.async_read_some(asio::buffer(m_readBuffer),
                                 [self = shared_from_this()](const error_code &error, std::size_t count) {
                                     self->m_readPending = false;
                                     self->onRead(error, count);
                                 });
    }

    void onRead(const error_code &error, std::size_t count)
    {
        // Bytes that arrived before the close may be delivered after it. A request among them would be sent to leafs
        // but never answered, although the close tells its caller that the request was not read.
        if (m_phase == phase::Closed) {
            return;
        }
        if (error) {
            onPeerClosed();
            return;
        }
        if (m_phase != phase::Lingering) {
            const bool first = m_phase == phase::Waiting && m_input.empty() && !m_reader.begun();
            m_phaseStart = first ? boot_clock().now() : m_phaseStart;
            m_input.append(m_readBuffer.data(), count);
        }
        if (m_phase == phase::Waiting) {
            parse();
        }
        read();
    }

    void parse()
    {
        m_reader.setLimits(m_server.m_limits.headBytes, m_server.m_limits.bodyBytes);
        read_state state = m_reader.feed(m_input);
        if (state == read_state::HeadComplete) {
            sendContinue();
            state = m_reader.feed(m_input);
        }
        if (state == read_state::NeedMore || state == read_state::HeadComplete) {
            return;
        }
        if (state != read_state::Complete) {
            rejectInput(state);
            return;
        }
        m_phase = phase::Busy;
        m_requests += 1;
        http_request request = m_reader.take();
        m_keepAlive = request.keepAlive;
        m_toHead = request.method == "HEAD";
        m_server.m_listener.onRequest(m_id, std::move(request));
    }

    /**
     * Sends as much of the interim response as the socket has room for; the rest precedes the answer. Waiting for a
     * caller that does not read would delay all others.
     */
    void sendContinue()
    {
        if (!m_reader.expectsContinue()) {
            return;
        }
        static constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
        error_code ignored; // a broken connection is detected by the next read
        const std::size_t sent = m_socket.send(asio::buffer(interim), 0, ignored);
        m_unsentInterim = interim.substr(sent);
    }

    void rejectInput(read_state state)
    {
        m_phase = phase::Busy;
        m_toHead = false;
        reply(m_server.m_writeReadError(state), true);
    }

    void onWritten(const error_code &error, bool close)
    {
        if (error) {
            closeAndRemove();
        }
        if (m_phase == phase::Closed) {
            return;
        }
        m_phaseStart = boot_clock().now();
        if (close || !m_keepAlive) {
            linger();
            return;
        }
        m_phase = phase::Waiting;
        if (!m_input.empty()) {
            parse();
        }
        read();
    }

    /** Shuts down the sending side only: closing with unread input would reset the connection and lose the answer. */
    void linger()
    {
        m_phase = phase::Lingering;
        m_input.clear();
        error_code ignored; // the peer may have closed the connection
        m_socket.shutdown(tcp::socket::shutdown_send, ignored);
        read();
    }

    void onPeerClosed()
    {
        const bool unanswered = m_phase == phase::Busy;
        closeAndRemove();
        if (unanswered) {
            m_server.m_listener.onCallerLeft(m_id);
        }
    }

    void closeAndRemove()
    {
        closeConnection();
        m_server.m_sessions.erase(m_id);
    }

    caller_server &m_server;
    session_id m_id;
    tcp::socket m_socket;
    request_reader m_reader;
    std::array<char, readBytes> m_readBuffer {};
    std::string m_input;
    std::string m_output;
    std::string_view m_unsentInterim; ///< of an interim response, for lack of room in the socket
    phase m_phase = phase::Waiting;
    std::uint64_t m_requests = 0; ///< read completely
    bool m_readPending = false;
    bool m_keepAlive = true;
    bool m_toHead = false; ///< the current request is a HEAD request
    millis m_phaseStart; ///< start of the phase, or arrival of the request's first byte
};

caller_server::caller_server(asio::io_context &reactor, request_listener &listener, read_error_writer writeReadError)
    : m_reactor(reactor)
    , m_listener(listener)
    , m_writeReadError(writeReadError)
    , m_acceptor(reactor)
    , m_sweepTimer(reactor)
{
}

caller_server::~caller_server()
{
    for (const auto &[id, one] : m_sessions) {
        one->closeConnection();
    }
}

error_code caller_server::listen(const std::string &address, std::uint16_t port)
{
    const error_code error = listenAt(m_acceptor, address, port);
    if (!error) {
        accept();
        sweep();
    }
    return error;
}

void caller_server::setLimits(const caller_limits &limits, std::size_t maxSessions)
{
    m_limits = limits;
    m_maxSessions = maxSessions;
}

std::optional<millis> caller_server::roundTripTo(session_id id) const
{
    const auto found = m_sessions.find(id);
    return found == m_sessions.end() ? std::nullopt : found->second->roundTrip();
}

bool caller_server::isFirstRequest(session_id id) const
{
    const auto found = m_sessions.find(id);
    return found != m_sessions.end() && found->second->requests() == 1;
}

std::string caller_server::addressOf(session_id id) const
{
    const auto found = m_sessions.find(id);
    return found == m_sessions.end() ? std::string() : found->second->peerAddress();
}

void caller_server::accept()
{
    m_acceptor.async_accept([this](const error_code &error, tcp::socket socket) {
        if (!m_acceptor.is_open()) {
            return;
        }
        if (!error && m_sessions.size() < m_maxSessions) {
            const session_id id = m_nextId++;
            const auto made = std::make_shared<session>(*this, id, std::move(socket));
            m_sessions.emplace(id, made);
            made->start();
        }
        accept();
    });
}

void caller_server::sweep()
{
    m_sweepTimer.expires_after(std::chrono::milliseconds(sweepInterval.ceiled()));
    m_sweepTimer.async_wait([this](const error_code &error) {
        if (error) {
            return;
        }
        const millis now = boot_clock().now();
        std::vector<std::shared_ptr<session>> all;
        for (const auto &[id, one] : m_sessions) {
            all.push_back(one); // closing a session removes it from the map
        }
        for (const auto &one : all) {
            one->closeIfOverdue(now, m_limits);
        }
        sweep();
    });
}

void caller_server::reply(session_id id, std::string bytes, bool close)
{
    const auto found = m_sessions.find(id);
    if (found != m_sessions.end()) {
        const std::shared_ptr<session> kept = found->second;
        kept->reply(std::move(bytes), close);
    }
}

void caller_server::stopListening()
{
    error_code ignored; // nothing depends on the result
    m_acceptor.close(ignored);
}

void caller_server::closeIdle()
{
    std::vector<std::shared_ptr<session>> all;
    for (const auto &[id, one] : m_sessions) {
        all.push_back(one);
    }
    for (const auto &one : all) {
        one->closeIfIdle();
    }
}

} // namespace chivelock
