#include "peer_link.h"

#include "decision_service.h"

#include <unistd.h>

#include <algorithm>
#include <array>

namespace chivelock {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr std::size_t readBufferBytes = 65536;
constexpr std::size_t maxUnsentBytes = 8U << 20U;
constexpr millis connectTimeout {500};
constexpr millis reconnectDelay {100};

} // namespace

/** A connection that another process opened to this one. */
class peer_link::incoming_connection : public std::enable_shared_from_this<incoming_connection>
{
public:
    incoming_connection(peer_link &link, tcp::socket socket, const asio::ip::address &from)
        : m_link(link)
        , m_socket(std::move(socket))
        , m_from(from)
    {
    }

    void read()
    {
        m_socket.async_read_some(asio::buffer(m_readBuffer),
                                 [self = shared_from_this()](error_code error, std::size_t count) {
                                     if (!error && self->processBytes(count)) {
                                         self->read();
                                     }
                                 });
    }

private:
    /** Decodes complete frames from the read buffer. @return false if the connection must be closed. */
    bool processBytes(std::size_t count)
    {
        m_reader.append(std::span(m_readBuffer).first(count));
        while (true) {
            const auto payload = m_reader.next();
            if (!payload) {
                return rejectFrame(payload.error());
            }
            if (!*payload) {
                return true;
            }
            auto envelope = decodePayload(**payload);
            if (!envelope) {
                return rejectFrame(envelope.error());
            }
            m_link.onEnvelope(m_from, *std::move(envelope));
        }
    }

    bool rejectFrame(wire_error error)
    {
        logEvent(log_level::Warning,
                 "peer_frame_refused",
                 {{"from", m_from.to_string()}, {"problem", std::string(toString(error))}});
        return false;
    }

    peer_link &m_link;
    tcp::socket m_socket;
    asio::ip::address m_from;
    std::array<std::uint8_t, readBufferBytes> m_readBuffer {};
    frame_reader m_reader;
};

/** The connection that this process opens to one peer. */
class peer_link::outgoing_connection : public std::enable_shared_from_this<outgoing_connection>
{
public:
    outgoing_connection(peer_link &link, vm_info peer)
        : m_link(link)
        , m_peer(std::move(peer))
        , m_socket(link.m_context)
        , m_connectTimer(link.m_context)
    {
    }

    [[nodiscard]] bool hasEndpointOf(const vm_info &peer) const
    {
        return m_peer.address == peer.address && m_peer.peerPort == peer.peerPort;
    }

    void send(const peer_message &message)
    {
        if (m_state == state::Idle && m_link.m_clock.now() < m_reconnectAt) {
            m_link.onUnreachable(m_peer.id);
            return;
        }
        m_unsent += encodeFrame(m_link.m_settings.vm, message);
        if (m_unsent.size() > maxUnsentBytes) {
            drop(); // Bounds the memory for a peer that does not read.
            return;
        }
        if (m_state == state::Idle) {
            startConnect();
        } else if (m_state == state::Open && m_inFlight.empty()) {
            write();
        }
    }

    void close()
    {
        error_code ignored;
        m_connectTimer.cancel(ignored);
        m_socket.close(ignored);
    }

private:
    enum class state : std::uint8_t {
        Idle,
        Connecting,
        Open
    };

    void startConnect()
    {
        error_code error;
        m_socket = tcp::socket(m_link.m_context);
        m_socket.open(tcp::v4(), error);
        // The peer checks the sender's address, so the connection must come from this VM's listed address.
        m_socket.bind({asio::ip::make_address(m_link.m_settings.listen.address, error), 0}, error);
        m_state = state::Connecting;
        m_connectTimer.expires_after(std::chrono::milliseconds(connectTimeout.ceiled()));
        m_connectTimer.async_wait([self = shared_from_this()](error_code ended) {
            if (!ended && self->m_state == state::Connecting) {
                self->drop();
            }
        });
        const tcp::endpoint target(asio::ip::make_address(m_peer.address, error), m_peer.peerPort);
        m_socket.async_connect(target, [self = shared_from_this()](error_code failed) { self->onConnected(failed); });
    }

    void onConnected(error_code failed)
    {
        if (m_state != state::Connecting) {
            return;
        }
        m_connectTimer.cancel();
        if (failed) {
            drop();
            return;
        }
        error_code ignored;
        m_socket.set_option(tcp::no_delay(true), ignored);
        m_state = state::Open;
        watchForClose();
        write();
    }

    /** The peer never writes on this connection, so a completed read means that the connection has ended. */
    void watchForClose()
    {
        m_socket.async_read_some(asio::buffer(m_closeBuffer),
                                 [self = shared_from_this()](error_code error, std::size_t) {
                                     if (error != asio::error::operation_aborted && self->m_state == state::Open) {
                                         self->drop();
                                     }
                                 });
    }

    void write()
    {
        m_inFlight.swap(m_unsent);
        m_unsent.clear();
        asio::async_write(m_socket,
                          asio::buffer(m_inFlight),
                          [self = shared_from_this()](error_code error, std::size_t) { self->onWritten(error); });
    }

    void onWritten(error_code error)
    {
        if (m_state != state::Open) {
            return;
        }
        m_inFlight.clear();
        if (error) {
            drop();
        } else if (!m_unsent.empty()) {
            write();
        }
    }

    /** Closes the connection, discards unsent messages and reports the peer as unreachable. */
    void drop()
    {
        close();
        m_state = state::Idle;
        m_unsent.clear();
        m_inFlight.clear();
        m_reconnectAt = m_link.m_clock.now() + reconnectDelay;
        m_link.onUnreachable(m_peer.id);
    }

    peer_link &m_link;
    vm_info m_peer;
    tcp::socket m_socket;
    asio::steady_timer m_connectTimer;
    state m_state = state::Idle;
    std::string m_unsent;
    std::string m_inFlight;
    std::array<char, 1> m_closeBuffer {};
    millis m_reconnectAt;
};

peer_link::peer_link(const daemon_settings &settings)
    : m_settings(settings)
    , m_ring(settings.ringCapacity)
{
}

peer_link::~peer_link()
{
    if (m_wake.is_open()) {
        m_wake.release();
    }
}

void peer_link::connect(kernel &services)
{
    m_decision = &services.find<decision_service>(decision_service::serviceName);
}

tl::expected<void, kernel_error> peer_link::start()
{
    try {
        const tcp::endpoint own(asio::ip::make_address(m_settings.listen.address), m_settings.listen.peerPort);
        m_acceptor.open(own.protocol());
        m_acceptor.set_option(tcp::acceptor::reuse_address(true));
        m_acceptor.bind(own);
        m_acceptor.listen();
        m_wake.assign(m_ring.wakeFd());
    } catch (const boost::system::system_error &problem) {
        return tl::unexpected(kernel_error {std::string(serviceName), problem.what()});
    }
    for (const std::string &address : m_settings.extraPeerAddresses) {
        m_allowedAddresses.insert(asio::ip::make_address(address));
    }
    acceptNext();
    waitForCommands();
    m_thread = std::thread([this] { m_context.run(); });
    return {};
}

void peer_link::stop()
{
    m_context.stop();
    m_thread.join();
}

void peer_link::waitForCommands()
{
    m_wake.async_wait(asio::posix::stream_descriptor::wait_read, [this](error_code error) {
        if (error) {
            return;
        }
        m_ring.drain([this](peer_command &&command) { execute(std::move(command)); });
        waitForCommands();
    });
}

void peer_link::execute(peer_command &&command)
{
    if (const auto *changed = std::get_if<peers_changed>(&command)) {
        updatePeers(changed->vms);
        return;
    }
    const auto &send = std::get<peer_send>(command);
    const auto peer = m_outgoing.find(send.to);
    if (peer == m_outgoing.end()) {
        onUnreachable(send.to);
        return;
    }
    peer->second->send(send.message);
}

void peer_link::updatePeers(const std::vector<vm_info> &vms)
{
    m_peers.clear();
    m_allowedAddresses.clear();
    for (const std::string &address : m_settings.extraPeerAddresses) {
        m_allowedAddresses.insert(asio::ip::make_address(address));
    }
    for (const vm_info &vm : vms) {
        error_code error;
        const asio::ip::address address = asio::ip::make_address(vm.address, error);
        if (error || vm.id == m_settings.vm) {
            continue;
        }
        m_peers.emplace(vm.id, vm);
        m_allowedAddresses.insert(address);
        const auto existing = m_outgoing.find(vm.id);
        if (existing == m_outgoing.end() || !existing->second->hasEndpointOf(vm)) {
            m_outgoing.insert_or_assign(vm.id, std::make_shared<outgoing_connection>(*this, vm));
        }
    }
    std::erase_if(m_outgoing, [this](const auto &item) {
        const bool removed = !m_peers.contains(item.first);
        if (removed) {
            item.second->close();
        }
        return removed;
    });
}

void peer_link::acceptNext()
{
    m_acceptor.async_accept([this](error_code error, tcp::socket socket) {
        if (!error) {
            error_code failed;
            const asio::ip::address from = socket.remote_endpoint(failed).address();
            if (!failed && isAllowedAddress(from)) {
                std::make_shared<incoming_connection>(*this, std::move(socket), from)->read();
            } else if (m_refusalLog.allow(m_clock.now())) {
                logEvent(log_level::Warning,
                         "peer_refused",
                         {{"from", from.to_string()}, {"lines_left_out", m_refusalLog.takeSuppressed()}});
            }
        }
        acceptNext();
    });
}

bool peer_link::isAllowedAddress(const asio::ip::address &address) const
{
    return m_allowedAddresses.contains(address);
}

bool peer_link::isAddressOf(vm_id vm, const asio::ip::address &address) const
{
    const auto peer = m_peers.find(vm);
    error_code error;
    return peer != m_peers.end() && asio::ip::make_address(peer->second.address, error) == address;
}

void peer_link::onEnvelope(const asio::ip::address &from, peer_envelope &&envelope)
{
    if (!isAddressOf(envelope.from, from)) {
        if (m_refusalLog.allow(m_clock.now())) {
            logEvent(log_level::Warning,
                     "peer_claim_refused",
                     {{"from", from.to_string()}, {"claimed_vm", std::uint64_t {envelope.from.value}}});
        }
        return;
    }
    // If the ring is full, the message is dropped, so that this thread never waits. The sender's timers treat it as
    // lost.
    (void)m_decision->offer(peer_message_received {std::move(envelope)});
}

void peer_link::onUnreachable(vm_id vm)
{
    (void)m_decision->offer(peer_unreachable {vm});
}

} // namespace chivelock
