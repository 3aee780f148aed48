#pragma once

#include "events.h"

#include <kernel/kernel.h>
#include <settings/settings.h>

#include <boost/asio.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>

namespace chivelock {

class decision_service;

/**
 * TCP connections to the other processes of the system. Messages to a peer are sent on one outgoing connection;
 * messages from peers are received on the connections that they open. Connections are accepted only from addresses in
 * the VM list or the settings, and a frame only if it comes from the listed address of the VM that it names as its
 * sender.
 */
class peer_link : public kernel_service
{
public:
    static constexpr std::string_view serviceName = "peer_link";

    explicit peer_link(const daemon_settings &settings);
    ~peer_link() override;

    [[nodiscard]] std::string_view name() const override
    {
        return serviceName;
    }

    void connect(kernel &services) override;
    [[nodiscard]] tl::expected<void, kernel_error> start() override;
    void stop() override;

    [[nodiscard]] bool offer(peer_command &&command)
    {
        return m_ring.push(std::move(command));
    }

private:
    using tcp = boost::asio::ip::tcp;
    class incoming_connection;
    class outgoing_connection;

    void waitForCommands();
    void execute(peer_command &&command);
    void updatePeers(const std::vector<vm_info> &vms);
    void acceptNext();
    [[nodiscard]] bool isAllowedAddress(const boost::asio::ip::address &address) const;
    /** Whether the VM list gives @p address for @p vm. */
    [[nodiscard]] bool isAddressOf(vm_id vm, const boost::asio::ip::address &address) const;
    void onEnvelope(const boost::asio::ip::address &from, peer_envelope &&envelope);
    void onUnreachable(vm_id vm);

    const daemon_settings &m_settings;
    steady_clock m_clock;
    bounded_ring<peer_command> m_ring;
    decision_service *m_decision = nullptr;
    boost::asio::io_context m_context {1};
    tcp::acceptor m_acceptor {m_context};
    boost::asio::posix::stream_descriptor m_wake {m_context};
    std::map<vm_id, vm_info> m_peers;
    std::set<boost::asio::ip::address> m_allowedAddresses;
    std::map<vm_id, std::shared_ptr<outgoing_connection>> m_outgoing;
    log_limiter m_refusalLog {millis(1000)};
    std::thread m_thread;
};

} // namespace chivelock
