#pragma once

/** @file Connections between the processes of the fleet, on the reactor thread. */

#include "input_guard.h"

#include <fleet/fleet.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

namespace chivelock {

/** Receives the events of the links of a @ref peer_mesh. */
class link_listener
{
public:
    link_listener() = default;
    link_listener(const link_listener &) = delete;
    link_listener &operator=(const link_listener &) = delete;
    virtual ~link_listener() = default;

    /** A link that this process dialled is open. */
    virtual void onLinkOpen(link_id link) = 0;

    /** A peer opened a link to this process. */
    virtual void onLinkAccepted(link_id /*link*/)
    {
    }

    /** A link was lost or could not be established. Not called for links that this process closed. */
    virtual void onLinkClosed(link_id link) = 0;

    /** @param payload one frame without its length prefix. @return false if it is not a valid message; the link is
     * closed then. */
    [[nodiscard]] virtual bool onLinkFrame(link_id link, std::span<const std::uint8_t> payload) = 0;
};

class peer_mesh
{
public:
    /** @param source name of the peers, for logs and metrics; must outlive the mesh. */
    peer_mesh(boost::asio::io_context &reactor, link_listener &listener, std::string_view source);
    peer_mesh(const peer_mesh &) = delete;
    peer_mesh &operator=(const peer_mesh &) = delete;
    ~peer_mesh();

    [[nodiscard]] boost::system::error_code listen(const std::string &address, std::uint16_t port);

    void dial(link_id link, const std::string &address);
    /** @param frame complete frame, including its length prefix. */
    void sendFrame(link_id link, std::string_view frame);
    void closeLink(link_id link);

    /** @return the IP address of the other end; empty if the link does not exist any more. */
    [[nodiscard]] std::string peerOf(link_id link) const;

    /** @return the bytes of all links that the peers have not received yet. */
    [[nodiscard]] std::size_t unsentBytes() const;

    /** For the listener to decode frames in. */
    [[nodiscard]] input_guard &input()
    {
        return m_input;
    }

    [[nodiscard]] const input_guard &input() const
    {
        return m_input;
    }

    /** Accepts no new links; existing links stay open. */
    void stopListening();

    /** Closes all links and accepts no new ones. */
    void close();

private:
    class link;

    void accept();

    boost::asio::io_context &m_reactor;
    link_listener &m_listener;
    input_guard m_input;
    boost::asio::ip::tcp::acceptor m_acceptor;
    link_id m_nextIncoming;
    std::unordered_map<link_id, std::shared_ptr<link>> m_links;
};

} // namespace chivelock
