#pragma once

/** @file Connections among the processes of the fleet, on the reactor thread. */

#include <fleet/fleet.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

namespace chivelock {

/** What becomes of links. */
class link_listener
{
public:
    link_listener() = default;
    link_listener(const link_listener &) = delete;
    link_listener &operator=(const link_listener &) = delete;
    virtual ~link_listener() = default;

    /** A dialled link is open. */
    virtual void onLinkOpen(link_id link) = 0;

    /** A link is gone or could not be made; not told of links that this side closed. */
    virtual void onLinkClosed(link_id link) = 0;

    /** @param payload one frame without its length. @return false if it is no message; the link is closed then. */
    [[nodiscard]] virtual bool onLinkFrame(link_id link, std::span<const std::uint8_t> payload) = 0;
};

class peer_mesh
{
public:
    peer_mesh(boost::asio::io_context &reactor, link_listener &listener);
    peer_mesh(const peer_mesh &) = delete;
    peer_mesh &operator=(const peer_mesh &) = delete;
    ~peer_mesh();

    [[nodiscard]] boost::system::error_code listen(const std::string &address, std::uint16_t port);

    void dial(link_id link, const std::string &address);
    /** @param frame whole, with its length. */
    void tell(link_id link, std::string_view frame);
    void hangUp(link_id link);

    /** @return the IP number at the other end; empty for a link that is gone. */
    [[nodiscard]] std::string peerOf(link_id link) const;

    /** Takes no new links; those that are there stay. */
    void stopListening();

    /** Ends all links and takes no new ones. */
    void close();

private:
    class link;

    void accept();

    boost::asio::io_context &m_reactor;
    link_listener &m_listener;
    boost::asio::ip::tcp::acceptor m_acceptor;
    link_id m_nextIncoming;
    std::unordered_map<link_id, std::shared_ptr<link>> m_links;
};

} // namespace chivelock
