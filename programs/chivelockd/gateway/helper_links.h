#pragma once

/**
 * @file
 * Links to the helpers to which this VM delegates work, and from the VMs that delegate work to it. Keeps links to a
 * limited number of helpers in each zone open.
 */

#include "peer_mesh.h"
#include "peer_traffic.h"
#include "unfinished_work.h"

#include <delegation/delegation.h>
#include <fleet/fleet.h>

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace chivelock {

/** Receives delegated work of other VMs, and the progress of work that this VM delegated. */
class helper_listener
{
public:
    helper_listener() = default;
    helper_listener(const helper_listener &) = delete;
    helper_listener &operator=(const helper_listener &) = delete;
    virtual ~helper_listener() = default;

    /** @param helpers VMs to which a link is open now. @param ownRank see @ref helper_vm::rank. */
    virtual void onHelpersChanged(std::vector<helper_vm> helpers, std::size_t ownRank) = 0;
    virtual void onHelperLost(const std::string &address) = 0;
    virtual void onProgress(delegation_id id, delegated_progress progress) = 0;

    /** A helper reported its load, alone or with progress. */
    virtual void onHelperLoad(const std::string &address, const vm_load &load) = 0;

    /** A VM that may delegate work has opened a link. */
    virtual void onDelegatorLinked(link_id from) = 0;

    /** @param from link of the VM that delegates the work; progress is sent there. */
    virtual void onDelegatedRequest(link_id from, delegate_request request) = 0;
    virtual void onDelegatedCancel(link_id from, const delegate_cancel &cancel) = 0;
    virtual void onDelegatorLost(link_id from) = 0;
};

/** Address and zone of this VM. */
struct helper_settings {
    std::string address; ///< IP address
    std::uint16_t port = 0; ///< the same on all VMs
    zone_name zone;
};

class helper_links : public link_listener
{
public:
    helper_links(boost::asio::io_context &reactor,
                 helper_settings settings,
                 peer_traffic &traffic,
                 helper_listener &listener);

    [[nodiscard]] boost::system::error_code start();
    void stop();

    /**
     * Replaces the list of the fleet's VMs, among which helpers are chosen. A helper that is no longer chosen gets no
     * new work, and its link is kept until the work in progress there is done.
     */
    void setMembers(const std::vector<fleet_member> &members);

    /** Sends work to a helper. @return false if no link to the helper is open. */
    [[nodiscard]] bool delegate(const std::string &address, const delegate_request &request);
    void cancel(const std::string &address, const delegate_cancel &message);
    void sendProgress(link_id delegator, const delegate_progress &progress);

    /** @return see @ref peer_mesh::unsentBytes. */
    [[nodiscard]] std::size_t unsentBytes() const
    {
        return m_mesh.unsentBytes();
    }

    [[nodiscard]] const input_guard &peerInput() const
    {
        return m_mesh.input();
    }

private:
    struct helper {
        zone_name zone;
        std::size_t rank = 0; ///< position among the sorted VMs of its zone
        link_id link = 0;
        bool chosen = false; ///< it gets new work; otherwise its link closes once @ref work is done
        bool open = false;
        unfinished_work work;
        millis redialAt;
        unsigned failures = 0;
    };

    void onLinkOpen(link_id link) override;
    void onLinkClosed(link_id link) override;
    void onLinkAccepted(link_id link) override;
    bool onLinkFrame(link_id link, std::span<const std::uint8_t> payload) override;

    [[nodiscard]] std::map<std::string, helper>::iterator findByLink(link_id link);
    void chooseHelpers();
    void chooseInZone(const zone_name &zone, std::span<const std::string> hosts);
    void closeUnneeded(millis now);
    void notifyHelpersChanged();
    void dialDueHelpers();
    void onProgress(link_id link, delegate_progress progress);

    void send(link_id to, peer_message_kind kind, std::string_view frame);

    helper_settings m_settings;
    peer_traffic &m_traffic;
    helper_listener &m_listener;
    boot_clock m_clock;
    peer_mesh m_mesh;
    boost::asio::steady_timer m_timer;
    std::vector<fleet_member> m_members; ///< of the fleet
    bool m_membersChanged = false; ///< since helpers were last chosen
    std::size_t m_ownRank = 0; ///< position among the sorted VMs of the own zone
    std::map<std::string, helper> m_helpers; ///< by address with port
    link_id m_nextLink = 1;
};

} // namespace chivelock
