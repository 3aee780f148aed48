#pragma once

/**
 * @file
 * Provides the contents of the platform's store, read by this process or received from another process of the fleet.
 * Performs the actions of @ref fleet_node on sockets.
 */

#include "peer_mesh.h"
#include "peer_traffic.h"
#include "store_reader.h"

#include <fleet/fleet.h>
#include <settings/settings.h>

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <vector>

namespace chivelock {

/** What this process knows about the fleet and the state of the store. */
struct fleet_state {
    std::size_t size = 1; ///< number of processes
    std::size_t possibleSize = 1; ///< see @ref fleet_node::possibleFleetSize
    bool isStoreUnavailable = false; ///< see @ref fleet_node::isStoreUnavailable
    millis currentAsOf; ///< see @ref fleet_node::currentAsOf
};

/** Receives updates from the store and the fleet. */
class feed_listener
{
public:
    feed_listener() = default;
    feed_listener(const feed_listener &) = delete;
    feed_listener &operator=(const feed_listener &) = delete;
    virtual ~feed_listener() = default;

    /** Items of one prefix that changed, oldest first; all items of the prefix on the first call. */
    virtual void onStoreItems(std::string_view prefix, const std::vector<store_item> &items) = 0;

    /** Called several times a second. */
    virtual void onFleetState(const fleet_state &state) = 0;

    /** The complete list of the fleet's VMs, when it changes. */
    virtual void onFleetMembers(const std::vector<fleet_member> &members) = 0;

    /** Reports of other VMs about leafs. */
    virtual void onLeafReports(const std::vector<leaf_report> &reports) = 0;

    /** Evidence of other VMs about requests that crash leafs. @return the evidence that was not known here. */
    [[nodiscard]] virtual std::vector<request_evidence>
    onRequestEvidence(const std::vector<request_evidence> &evidence) = 0;

    /** @return all known evidence about requests that crash leafs, for a VM that joins. */
    [[nodiscard]] virtual std::vector<request_evidence> allRequestEvidence() = 0;

    /** @return this VM's reports about leafs since the last call, for the other VMs. */
    [[nodiscard]] virtual std::vector<leaf_report> takeLeafReports() = 0;
};

class store_feed : public link_listener, public store_listener
{
public:
    store_feed(boost::asio::io_context &reactor,
               const gateway_daemon_settings &settings,
               peer_traffic &traffic,
               feed_listener &listener);

    [[nodiscard]] boost::system::error_code start();

    /** Immediately sends this VM's evidence about requests that crash leafs to the fleet. */
    void publishRequestEvidence(const std::vector<request_evidence> &evidence);

    /** Leaves the fleet, so that followers look for another process at once. */
    void leave();

    /** Renews the connections to the store after a long pause of this process. */
    void reconnect();

    [[nodiscard]] std::uint64_t storeCalls() const;

    /** @return the number of connections to the store that were closed for what it sent. */
    [[nodiscard]] std::uint64_t storeInputCutOff() const;

    /** @return the source of store updates: the address of the VM that this process follows, or `store`. */
    [[nodiscard]] std::string source() const;

    [[nodiscard]] const input_guard &peerInput() const
    {
        return m_mesh.input();
    }

private:
    void onLinkOpen(link_id link) override;
    void onLinkClosed(link_id link) override;
    bool onLinkFrame(link_id link, std::span<const std::uint8_t> payload) override;
    void onStoreContents(std::string_view prefix, std::vector<store_item> items, std::uint64_t revision) override;
    void onStoreChanges(std::string_view prefix, std::vector<store_item> changes, std::uint64_t revision) override;
    void onStoreFreshness(std::string_view prefix, millis asOf) override;
    void onStoreState(std::string_view prefix, bool ok) override;

    void startReader(std::size_t at);
    void startRemainingReaders();
    void tick();
    void flush();
    void perform(const dial_action &action);
    void perform(const close_link_action &action);
    void perform(const send_message_action &action);
    void perform(const read_action &action);
    void perform(const store_changes_action &action);
    void perform(const members_action &action);
    void perform(const reports_action &action);
    void perform(const requests_action &action);
    void perform(const link_joined_action &action);
    void perform(const tree_event_action &action);

    boot_clock m_clock;
    listen_address m_address;
    peer_traffic &m_traffic;
    feed_listener &m_listener;
    fleet_node m_node;
    peer_mesh m_mesh;
    std::vector<std::string> m_prefixes;
    std::vector<std::unique_ptr<store_reader>> m_readers; ///< one for each prefix
    boost::asio::steady_timer m_timer;
};

} // namespace chivelock
