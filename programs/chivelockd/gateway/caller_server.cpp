#include "caller_server.h"

#include "addresses.h"

#include <boost/asio/write.hpp>

#include <array>
#include <vector>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace chivelock {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t readBytes = 16384; // one read: a typical request whole, a long body in few pieces
constexpr std::size_t pipelinedBytes = 65536; // kept of requests sent ahead; more waits in the kernel
constexpr millis sweepInterval(250); // closes idle connections that much late at most, never early
constexpr millis lingerFor(1000); // for the caller to read the last answer before the connection is gone
constexpr millis writeLimit(10000); // a caller that does not read its answer for so long has gone

} // namespace

/** One connection. */
class caller_server::session : public std::enable_shared_from_this<session>
{
public:
    session(caller_server &server, session_id id, tcp::socket socket)
        : m_server(server)
        , m_id(id)
        , m_socket(std::move(socket))
        , m_since(boot_clock().now())
    {
    }

    void start()
    {
        error_code ignored; // without it answers are only slower
        m_socket.set_option(tcp::no_delay(true), ignored);
        read();
    }

    void reply(std::string bytes, bool close)
    {
        if (m_phase != phase::Busy) {
            return;
        }
        m_phase = phase::Writing;
        m_since = boot_clock().now();
        m_output = std::move(bytes);
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
            end();
        }
    }

    void closeIfOverdue(millis now, const caller_limits &limits)
    {
        const bool midHead = m_phase == phase::Waiting && (m_reader.begun() || !m_input.empty());
        const bool idle = m_phase == phase::Waiting && !midHead;
        const millis age = now - m_since;
        if (midHead && age > limits.headTimeout) {
            fault(read_state::NeedMore);
        } else if ((idle && age > limits.idleTimeout) || (m_phase == phase::Lingering && age > lingerFor)
                   || (m_phase == phase::Writing && age > writeLimit)) {
            end();
        }
    }

    void abandon()
    {
        m_phase = phase::Closed;
        error_code ignored; // it is closed in any case
        m_socket.close(ignored);
    }

private:
    enum class phase : std::uint8_t {
        Waiting, ///< for a request or the rest of one
        Busy, ///< the request is being served
        Writing,
        Lingering, ///< everything was said; waits for the caller to close
        Closed
    };

    void read()
    {
        if (m_reading || m_input.size() >= pipelinedBytes) {
            return;
        }
        m_reading = true;
        m_socket.async_read_some(asio::buffer(m_chunk),
                                 [self = shared_from_this()](const error_code &error, std::size_t count) {
                                     self->m_reading = false;
                                     self->onRead(error, count);
                                 });
    }

    void onRead(const error_code &error, std::size_t count)
    {
        // Bytes may have come in before the close and be handed over after it. A request among them would be passed on
        // to leafs and never answered, its caller being told by the close that nobody has read it.
        if (m_phase == phase::Closed) {
            return;
        }
        if (error) {
            onPeerClosed();
            return;
        }
        if (m_phase != phase::Lingering) {
            const bool first = m_phase == phase::Waiting && m_input.empty() && !m_reader.begun();
            m_since = first ? boot_clock().now() : m_since;
            m_input.append(m_chunk.data(), count);
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
            sayContinue();
            state = m_reader.feed(m_input);
        }
        if (state == read_state::NeedMore || state == read_state::HeadComplete) {
            return;
        }
        if (state != read_state::Complete) {
            fault(state);
            return;
        }
        m_phase = phase::Busy;
        m_requests += 1;
        http_request request = m_reader.take();
        m_keepAlive = request.keepAlive;
        m_server.m_listener.onRequest(m_id, std::move(request));
    }

    /** Sent apart from answers: it is small, and the connection has nothing else to write. */
    void sayContinue()
    {
        if (!m_reader.wantsContinue()) {
            return;
        }
        static constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
        error_code ignored; // a failure shows again at the next read
        m_socket.send(asio::buffer(interim), 0, ignored);
    }

    void fault(read_state state)
    {
        m_phase = phase::Busy;
        reply(m_server.m_writeFault(state), true);
    }

    void onWritten(const error_code &error, bool close)
    {
        if (error) {
            end();
        }
        if (m_phase == phase::Closed) {
            return;
        }
        m_since = boot_clock().now();
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

    /** Closing with unread bytes would reset the connection and destroy the answer on its way. */
    void linger()
    {
        m_phase = phase::Lingering;
        m_input.clear();
        error_code ignored; // the peer may have gone
        m_socket.shutdown(tcp::socket::shutdown_send, ignored);
        read();
    }

    void onPeerClosed()
    {
        const bool unanswered = m_phase == phase::Busy;
        end();
        if (unanswered) {
            m_server.m_listener.onCallerLeft(m_id);
        }
    }

    void end()
    {
        abandon();
        m_server.m_sessions.erase(m_id);
    }

    caller_server &m_server;
    session_id m_id;
    tcp::socket m_socket;
    request_reader m_reader;
    std::array<char, readBytes> m_chunk {};
    std::string m_input;
    std::string m_output;
    phase m_phase = phase::Waiting;
    std::uint64_t m_requests = 0; ///< read whole
    bool m_reading = false;
    bool m_keepAlive = true;
    millis m_since; ///< start of the phase, or of the request's first byte
};

caller_server::caller_server(asio::io_context &reactor, request_listener &listener, fault_writer writeFault)
    : m_reactor(reactor)
    , m_listener(listener)
    , m_writeFault(writeFault)
    , m_acceptor(reactor)
    , m_sweepTimer(reactor)
{
}

caller_server::~caller_server()
{
    for (const auto &[id, one] : m_sessions) {
        one->abandon();
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

bool caller_server::isNew(session_id id) const
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
            all.push_back(one); // closing one changes the map
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
    error_code ignored; // nothing depends on it
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
