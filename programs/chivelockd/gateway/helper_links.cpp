#include "helper_links.h"

#include "addresses.h"

#include <xxhash.h>

#include <algorithm>
#include <set>

namespace chivelock {

namespace {

constexpr std::size_t helpersInOwnZone = 24; // all of a zone of today's fleets: each has its part of the shards
constexpr std::size_t helpersInOtherZone = 8; // a part each, of a lookup over a hundred shards
constexpr millis dialInterval(200);
constexpr millis firstRedial(300);
constexpr millis mostRedial(3000);

std::uint64_t rendezvousWeight(std::string_view from, std::string_view to)
{
    const std::uint64_t seed = XXH64(from.data(), from.size(), 0);
    return XXH64(to.data(), to.size(), seed);
}

/** Number of VMs in the same zone that come before this one. @param vm address without port, and zone. */
std::size_t rankOf(const fleet_member &vm, const std::vector<fleet_member> &members)
{
    const auto before = std::ranges::count_if(members, [&](const fleet_member &one) {
        return one.zone == vm.zone && hostOf(one.address) < vm.address;
    });
    return static_cast<std::size_t>(before);
}

} // namespace

helper_links::helper_links(boost::asio::io_context &reactor,
                           helper_settings settings,
                           peer_traffic &traffic,
                           helper_listener &listener)
    : m_settings(std::move(settings))
    , m_traffic(traffic)
    , m_listener(listener)
    , m_mesh(reactor, *this)
    , m_timer(reactor)
{
}

boost::system::error_code helper_links::start()
{
    const boost::system::error_code error = m_mesh.listen(m_settings.address, m_settings.port);
    if (!error) {
        dialDue();
    }
    return error;
}

void helper_links::stop()
{
    m_timer.cancel();
    m_helpers.clear();
    m_mesh.close();
}

/** Each VM chooses by its own weights, so that all are chosen about equally often and few choices change with one VM.
 */
void helper_links::setMembers(const std::vector<fleet_member> &members)
{
    std::map<zone_name, std::vector<std::pair<std::uint64_t, std::string>>> byZone;
    for (const fleet_member &member : members) {
        const std::string ip(hostOf(member.address));
        if (ip != m_settings.address) {
            byZone[member.zone].emplace_back(rendezvousWeight(m_settings.address, ip),
                                             ip + ":" + std::to_string(m_settings.port));
        }
    }
    m_ownRank = rankOf({m_settings.address, m_settings.zone}, members);
    std::set<std::string> wanted;
    for (auto &[zone, all] : byZone) {
        std::ranges::sort(all, std::greater<>());
        all.resize(std::min(all.size(), zone == m_settings.zone ? helpersInOwnZone : helpersInOtherZone));
        for (const auto &[weight, address] : all) {
            wanted.insert(address);
            m_helpers[address].zone = zone;
            m_helpers[address].rank = rankOf({std::string(hostOf(address)), zone}, members);
        }
    }
    std::erase_if(m_helpers, [&](const auto &one) {
        const bool gone = !wanted.contains(one.first);
        if (gone && one.second.link != 0) {
            m_mesh.hangUp(one.second.link);
            m_listener.onHelperLost(one.first);
        }
        return gone;
    });
    tellHelpers();
}

void helper_links::dialDue()
{
    const millis now = m_clock.now();
    for (auto &[address, one] : m_helpers) {
        if (one.link == 0 && now >= one.redialAt) {
            one.link = m_nextLink++;
            m_mesh.dial(one.link, address);
        }
    }
    m_timer.expires_after(std::chrono::milliseconds(dialInterval.ceiled()));
    m_timer.async_wait([this](const boost::system::error_code &stopped) {
        if (!stopped) {
            dialDue();
        }
    });
}

std::map<std::string, helper_links::helper>::iterator helper_links::findByLink(link_id link)
{
    return std::ranges::find_if(m_helpers, [&](const auto &one) { return one.second.link == link; });
}

void helper_links::onLinkOpen(link_id link)
{
    const auto found = findByLink(link);
    if (found != m_helpers.end()) {
        found->second.open = true;
        found->second.failures = 0;
        tellHelpers();
    }
}

void helper_links::onLinkClosed(link_id link)
{
    const auto found = findByLink(link);
    if (found == m_helpers.end()) {
        m_listener.onAskerLost(link);
        return;
    }
    helper &lost = found->second;
    const bool wasOpen = std::exchange(lost.open, false);
    lost.link = 0;
    lost.failures = std::min(lost.failures + 1, 8U);
    lost.redialAt = m_clock.now() + std::min(firstRedial * static_cast<double>(1U << (lost.failures - 1)), mostRedial);
    if (wasOpen) {
        const std::string address = found->first;
        logEvent(log_level::Info, "helper_link_lost", {{"helper", address}});
        tellHelpers();
        m_listener.onHelperLost(address);
    }
}

void helper_links::tellHelpers()
{
    std::vector<helper_vm> open;
    for (const auto &[address, one] : m_helpers) {
        if (one.open) {
            open.push_back({address, one.zone, one.rank});
        }
    }
    m_listener.onHelpers(std::move(open), m_ownRank);
}

bool helper_links::onLinkFrame(link_id link, std::span<const std::uint8_t> payload)
{
    auto message = decodeDelegationPayload(payload);
    if (!message) {
        return false;
    }
    if (auto *request = std::get_if<delegate_request>(&*message)) {
        m_listener.onDelegated(link, std::move(*request));
    } else if (auto *progress = std::get_if<delegate_progress>(&*message)) {
        m_listener.onProgress(progress->id, std::move(progress->progress));
    } else if (const auto *cancelled = std::get_if<delegate_cancel>(&*message)) {
        m_listener.onDelegatedCancelled(link, cancelled->id, cancelled->callerLeft);
    }
    return true;
}

bool helper_links::ask(const std::string &address, const delegate_request &request)
{
    const auto found = m_helpers.find(address);
    if (found == m_helpers.end() || !found->second.open) {
        return false;
    }
    send(found->second.link, peer_message_kind::HandedWork, encodeDelegationFrame(request));
    return true;
}

void helper_links::cancel(const std::string &address, const delegate_cancel &message)
{
    const auto found = m_helpers.find(address);
    if (found != m_helpers.end() && found->second.open) {
        send(found->second.link, peer_message_kind::HandedWork, encodeDelegationFrame(message));
    }
}

void helper_links::tellProgress(link_id asker, const delegate_progress &progress)
{
    send(asker, peer_message_kind::WorkProgress, encodeDelegationFrame(progress));
}

void helper_links::send(link_id to, peer_message_kind kind, std::string_view frame)
{
    m_traffic.count(kind, m_mesh.peerOf(to), frame.size());
    m_mesh.tell(to, frame);
}

} // namespace chivelock
