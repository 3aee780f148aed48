#include "peer_mesh.h"

#include "addresses.h"

#include <wire/wire.h>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <array>
#include <numeric>
#include <vector>

namespace chivelock {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t readBytes = 16384;
constexpr std::size_t maxUnsentBytes = 4U << 20U; // a peer that does not read must not exhaust this process's memory
constexpr std::size_t maxCountedBytes = 16384; // of one link: a peer that reads nothing says nothing about this VM
constexpr millis connectLimit(300); // some round trips within a region
constexpr link_id firstIncoming = link_id {1} << 40U; // apart from the ids of links that this process dials

} // namespace

/** One connection, dialled or accepted. */
class peer_mesh::link : public std::enable_shared_from_this<link>
{
public:
    link(peer_mesh &mesh, link_id id, tcp::socket socket)
        : m_mesh(mesh)
        , m_id(id)
        , m_socket(std::move(socket))
        , m_connectTimer(mesh.m_reactor)
    {
    }

    void open()
    {
        m_open = true;
        error_code unknown; // set if the peer has disconnected already; the next read closes the link
        m_peer = m_socket.remote_endpoint(unknown).address().to_string();
        error_code ignored; // without this option messages are only slower
        m_socket.set_option(tcp::no_delay(true), ignored);
        read();
        write();
    }

    void dial(const std::string &address)
    {
        const auto endpoint = parseEndpoint(address);
        if (!endpoint) {
            asio::post(m_mesh.m_reactor, [self = shared_from_this()] { self->closeAndReport(); });
            return;
        }
        m_connectTimer.expires_after(std::chrono::milliseconds(connectLimit.ceiled()));
        m_connectTimer.async_wait([self = shared_from_this()](const error_code &timerError) {
            if (!timerError && !self->m_open) {
                self->closeAndReport();
            }
        });
        m_socket.async_connect(*endpoint, [self = shared_from_this()](const error_code &failed) {
            if (self->m_closed) {
                return;
            }
            self->m_connectTimer.cancel();
            if (failed) {
                self->closeAndReport();
                return;
            }
            self->open();
            self->m_mesh.m_listener.onLinkOpen(self->m_id);
        });
    }

    void sendFrame(std::string_view frame)
    {
        m_queued += frame;
        if (m_queued.size() > maxUnsentBytes) {
            asio::post(m_mesh.m_reactor, [self = shared_from_this()] { self->closeAndReport(); });
            return;
        }
        write();
    }

    [[nodiscard]] std::size_t unsentBytes()
    {
        int inKernel = 0; // sent and not acknowledged, or not sent yet
        if (!m_open || ioctl(m_socket.native_handle(), SIOCOUTQ, &inKernel) != 0) {
            inKernel = 0;
        }
        return m_queued.size() + static_cast<std::size_t>(inKernel);
    }

    [[nodiscard]] const std::string &peer() const
    {
        return m_peer;
    }

    void close()
    {
        m_closed = true;
        m_connectTimer.cancel();
        error_code ignored; // the socket is closed even if an error is reported
        m_socket.close(ignored);
    }

private:
    void read()
    {
        m_socket.async_read_some(asio::buffer(m_readBuffer),
                                 [self = shared_from_this()](const error_code &error, std::size_t count) {
                                     if (self->m_closed) {
                                         return;
                                     }
                                     if (error || !self->take(count)) {
                                         self->closeAndReport();
                                         return;
                                     }
                                     if (!self->m_closed) {
                                         self->read();
                                     }
                                 });
    }

    /** @return false if the peer sent an invalid frame or message. */
    bool take(std::size_t count)
    {
        const read_state kept = m_mesh.m_input.read([this, count] {
            m_frames.append(std::span(m_readBuffer).first(count));
            return read_state::NeedMore;
        });
        if (isCutOff(kept)) {
            m_mesh.m_input.countCutOff(toString(kept), m_peer, count);
            return false;
        }
        while (!m_closed) {
            const auto payload = m_frames.next();
            if (!payload) {
                m_mesh.m_input.countCutOff("frame_too_large", m_peer, count);
                return false;
            }
            if (!*payload) {
                return true;
            }
            if (!m_mesh.m_listener.onLinkFrame(m_id, **payload)) {
                logEvent(log_level::Warning, "peer_message_refused", {{"link", m_id}});
                return false;
            }
        }
        return true;
    }

    void write()
    {
        if (!m_open || !m_inFlight.empty() || m_queued.empty() || m_closed) {
            return;
        }
        m_inFlight.swap(m_queued);
        asio::async_write(
            m_socket, asio::buffer(m_inFlight), [self = shared_from_this()](const error_code &error, std::size_t) {
                self->m_inFlight.clear();
                if (!error) {
                    self->write(); // a failed write is detected by the read as well
                }
            });
    }

    void closeAndReport()
    {
        if (m_closed) {
            return;
        }
        const auto self = shared_from_this();
        close();
        m_mesh.m_links.erase(m_id);
        m_mesh.m_listener.onLinkClosed(m_id);
    }

    peer_mesh &m_mesh;
    link_id m_id;
    tcp::socket m_socket;
    asio::steady_timer m_connectTimer;
    std::array<std::uint8_t, readBytes> m_readBuffer {};
    frame_reader m_frames;
    std::string m_peer; ///< IP address, once open
    std::string m_queued;
    std::string m_inFlight;
    bool m_open = false;
    bool m_closed = false;
};

peer_mesh::peer_mesh(asio::io_context &reactor, link_listener &listener, std::string_view source)
    : m_reactor(reactor)
    , m_listener(listener)
    , m_input(source)
    , m_acceptor(reactor)
    , m_nextIncoming(firstIncoming)
{
}

peer_mesh::~peer_mesh()
{
    close();
}

error_code peer_mesh::listen(const std::string &address, std::uint16_t port)
{
    const error_code error = listenAt(m_acceptor, address, port);
    if (!error) {
        accept();
    }
    return error;
}

void peer_mesh::accept()
{
    m_acceptor.async_accept([this](const error_code &error, tcp::socket socket) {
        if (!m_acceptor.is_open()) {
            return;
        }
        if (!error) {
            const link_id id = m_nextIncoming++;
            const auto made = std::make_shared<link>(*this, id, std::move(socket));
            m_links.emplace(id, made);
            made->open();
            m_listener.onLinkAccepted(id);
        }
        accept();
    });
}

void peer_mesh::dial(link_id id, const std::string &address)
{
    const auto made = std::make_shared<link>(*this, id, tcp::socket(m_reactor));
    m_links.emplace(id, made);
    made->dial(address);
}

void peer_mesh::sendFrame(link_id id, std::string_view frame)
{
    const auto found = m_links.find(id);
    if (found != m_links.end()) {
        found->second->sendFrame(frame);
    }
}

void peer_mesh::closeLink(link_id id)
{
    const auto found = m_links.find(id);
    if (found != m_links.end()) {
        const auto ended = found->second;
        m_links.erase(found);
        ended->close();
    }
}

std::string peer_mesh::peerOf(link_id id) const
{
    const auto found = m_links.find(id);
    return found == m_links.end() ? std::string() : found->second->peer();
}

std::size_t peer_mesh::unsentBytes() const
{
    return std::accumulate(m_links.begin(), m_links.end(), std::size_t {0}, [](std::size_t sum, const auto &one) {
        return sum + std::min(one.second->unsentBytes(), maxCountedBytes);
    });
}

void peer_mesh::stopListening()
{
    error_code ignored; // nothing depends on the result
    m_acceptor.close(ignored);
}

void peer_mesh::close()
{
    stopListening();
    for (const auto &[id, one] : m_links) {
        one->close();
    }
    m_links.clear();
}

} // namespace chivelock
