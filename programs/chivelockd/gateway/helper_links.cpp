#include "helper_links.h"

#include "addresses.h"

#include <xxhash.h>

#include <algorithm>

namespace chivelock {

namespace {

constexpr std::size_t maxHelpersInOwnZone = 24; // all VMs of a zone in current fleets; each serves a part of the shards
constexpr std::size_t maxHelpersInOtherZone = 8; // each serves a part of a lookup over a hundred shards
constexpr millis dialInterval(200);
constexpr millis firstRedialDelay(300);
constexpr millis maxRedialDelay(3000);

std::uint64_t rendezvousWeight(std::string_view from, std::string_view to)
{
    const std::uint64_t seed = XXH64(from.data(), from.size(), 0);
    return XXH64(to.data(), to.size(), seed);
}

} // namespace

helper_links::helper_links(boost::asio::io_context &reactor,
                           helper_settings settings,
                           peer_traffic &traffic,
                           helper_listener &listener)
    : m_settings(std::move(settings))
    , m_traffic(traffic)
    , m_listener(listener)
    , m_mesh(reactor, *this, "helper_link")
    , m_timer(reactor)
{
}

boost::system::error_code helper_links::start()
{
    const boost::system::error_code error = m_mesh.listen(m_settings.address, m_settings.port);
    if (!error) {
        dialDueHelpers();
    }
    return error;
}

void helper_links::stop()
{
    m_timer.cancel();
    m_helpers.clear();
    m_mesh.close();
}

/** The first list is applied at once, later ones by the dial timer. While many VMs start, each message changes the
 * list, and choosing among 300 VMs takes a small VM some milliseconds. */
void helper_links::setMembers(const std::vector<fleet_member> &members)
{
    m_members = members;
    m_membersChanged = true;
    if (m_helpers.empty()) {
        chooseHelpers();
    }
}

/** Chooses by rendezvous hashing: all VMs are chosen about equally often, and few choices change when one VM joins or
 *  leaves. */
void helper_links::chooseHelpers()
{
    m_membersChanged = false;
    std::map<zone_name, std::vector<std::string>> byZone;
    for (const fleet_member &member : m_members) {
        byZone[member.zone].emplace_back(hostOf(member.address));
    }
    std::ranges::for_each(m_helpers, [](auto &one) { one.second.chosen = false; });
    for (auto &[zone, hosts] : byZone) {
        std::ranges::sort(hosts);
        chooseInZone(zone, hosts);
    }
    notifyHelpersChanged();
    closeUnneeded(m_clock.now());
}

/**
 * Closes the links to helpers that are no longer chosen and owe no results. Closing a link with work in progress would
 * cost lookups parts of their answers whenever a VM joins or leaves, also if the helper itself goes on running.
 */
void helper_links::closeUnneeded(millis now)
{
    std::vector<std::string> unneeded;
    for (auto &[address, one] : m_helpers) {
        if (!one.chosen && !(one.open && one.work.isOpen(now))) {
            unneeded.push_back(address);
        }
    }
    for (const std::string &address : unneeded) {
        const link_id link = m_helpers.extract(address).mapped().link;
        if (link != 0) {
            m_mesh.closeLink(link);
            m_listener.onHelperLost(address);
        }
    }
}

/** @param hosts all VMs of the zone, sorted; a VM's position is its rank. */
void helper_links::chooseInZone(const zone_name &zone, std::span<const std::string> hosts)
{
    const auto rankOf = [&](const std::string &host) {
        return static_cast<std::size_t>(std::ranges::lower_bound(hosts, host) - hosts.begin());
    };
    const bool own = zone == m_settings.zone;
    if (own) {
        m_ownRank = rankOf(m_settings.address);
    }
    std::vector<std::pair<std::uint64_t, std::string>> weighted;
    for (const std::string &host : hosts) {
        if (host != m_settings.address) {
            weighted.emplace_back(rendezvousWeight(m_settings.address, host), host);
        }
    }
    std::ranges::sort(weighted, std::greater<>());
    weighted.resize(std::min(weighted.size(), own ? maxHelpersInOwnZone : maxHelpersInOtherZone));
    for (const auto &[weight, host] : weighted) {
        const std::string address = host + ":" + std::to_string(m_settings.port);
        helper &known = m_helpers[address];
        known.chosen = true;
        known.zone = zone;
        known.rank = rankOf(host);
    }
}

void helper_links::dialDueHelpers()
{
    const millis now = m_clock.now();
    if (m_membersChanged) {
        chooseHelpers();
    }
    closeUnneeded(now);
    for (auto &[address, one] : m_helpers) {
        if (one.chosen && one.link == 0 && now >= one.redialAt) {
            one.link = m_nextLink++;
            m_mesh.dial(one.link, address);
        }
    }
    m_timer.expires_after(std::chrono::milliseconds(dialInterval.ceiled()));
    m_timer.async_wait([this](const boost::system::error_code &timerError) {
        if (!timerError) {
            dialDueHelpers();
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
        notifyHelpersChanged();
    }
}

void helper_links::onLinkClosed(link_id link)
{
    const auto found = findByLink(link);
    if (found == m_helpers.end()) {
        m_listener.onDelegatorLost(link);
        return;
    }
    helper &lost = found->second;
    const bool wasOpen = std::exchange(lost.open, false);
    lost.link = 0;
    lost.work = {};
    lost.failures = std::min(lost.failures + 1, 8U);
    lost.redialAt =
        m_clock.now() + std::min(firstRedialDelay * static_cast<double>(1U << (lost.failures - 1)), maxRedialDelay);
    if (wasOpen) {
        const std::string address = found->first;
        logEvent(log_level::Info, "helper_link_lost", {{"helper", address}});
        notifyHelpersChanged();
        m_listener.onHelperLost(address);
    }
}

void helper_links::onLinkAccepted(link_id link)
{
    m_listener.onDelegatorLinked(link);
}

void helper_links::notifyHelpersChanged()
{
    std::vector<helper_vm> open;
    for (const auto &[address, one] : m_helpers) {
        if (one.chosen && one.open) {
            open.push_back({address, one.zone, one.rank});
        }
    }
    m_listener.onHelpersChanged(std::move(open), m_ownRank);
}

bool helper_links::onLinkFrame(link_id link, std::span<const std::uint8_t> payload)
{
    std::optional<delegation_message> message;
    const read_state state = m_mesh.input().read([&] {
        auto decoded = decodeDelegationPayload(payload);
        if (!decoded) {
            return read_state::BadMessage;
        }
        message = *std::move(decoded);
        return read_state::Complete;
    });
    if (isCutOff(state)) {
        m_mesh.input().countCutOff(toString(state), m_mesh.peerOf(link), payload.size());
    }
    if (!message) {
        return false;
    }
    if (auto *request = std::get_if<delegate_request>(&*message)) {
        m_listener.onDelegatedRequest(link, std::move(*request));
    } else if (auto *progress = std::get_if<delegate_progress>(&*message)) {
        onProgress(link, std::move(*progress));
    } else if (const auto *cancelled = std::get_if<delegate_cancel>(&*message)) {
        m_listener.onDelegatedCancel(link, *cancelled);
    }
    return true;
}

void helper_links::onProgress(link_id link, delegate_progress progress)
{
    const auto from = findByLink(link);
    if (from != m_helpers.end() && progress.progress.last) {
        from->second.work.remove(progress.id);
    }
    if (from != m_helpers.end() && from->second.chosen && progress.progress.load) {
        m_listener.onHelperLoad(from->first, *progress.progress.load);
    }
    m_listener.onProgress(progress.id, std::move(progress.progress));
}

bool helper_links::delegate(const std::string &address, const delegate_request &request)
{
    const auto found = m_helpers.find(address);
    if (found == m_helpers.end() || !found->second.open) {
        return false;
    }
    found->second.work.add(request.id, m_clock.now() + request.work.limitIn);
    send(found->second.link, peer_message_kind::DelegatedWork, encodeDelegationFrame(request));
    return true;
}

void helper_links::cancel(const std::string &address, const delegate_cancel &message)
{
    const auto found = m_helpers.find(address);
    if (found != m_helpers.end() && found->second.open) {
        found->second.work.remove(message.id);
        send(found->second.link, peer_message_kind::DelegatedWork, encodeDelegationFrame(message));
    }
}

void helper_links::sendProgress(link_id delegator, const delegate_progress &progress)
{
    send(delegator, peer_message_kind::WorkProgress, encodeDelegationFrame(progress));
}

void helper_links::send(link_id to, peer_message_kind kind, std::string_view frame)
{
    m_traffic.count(kind, m_mesh.peerOf(to), frame.size());
    m_mesh.sendFrame(to, frame);
}

} // namespace chivelock
