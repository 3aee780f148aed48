#include "store_feed.h"

#include <platform/platform.h>

#include <algorithm>

namespace chivelock {

namespace {

constexpr millis tickInterval(100); // a quarter of the heartbeat interval between processes

// Share of the drain limit for which the store holds a watch on leafs. The update about a leaving leaf may be as old as
// twice this time plus the propagation down the tree, and that shortens the time for which the leaf may still be asked.
constexpr double leafWatchShare = 0.13;

// Shares of the time limit within which a new configuration must be in force. A third of the limit passes until the
// reader detects that it has lost the store. The rest is for one more seed to fail, then for other processes chosen by
// random draws (at most ten draws, a fifth of the limit), and for reading the store.
constexpr double seedUpstreamGraceShare = 0.08;
constexpr double upstreamGraceShare = 0.15;
constexpr double drawIntervalShare = 0.02;

std::string textOf(const listen_address &address)
{
    return address.address + ":" + std::to_string(address.port);
}

fleet_settings makeFleetSettings(const gateway_daemon_settings &from)
{
    fleet_settings settings;
    settings.address = textOf(from.peers);
    settings.zone = from.zone;
    settings.seeds = from.seeds;
    settings.prefixes = {std::string(platform::configPrefix), std::string(platform::leafPrefix)};
    settings.seedStoreLostDelay = from.applyLimit * seedUpstreamGraceShare;
    settings.storeLostDelay = from.applyLimit * upstreamGraceShare;
    settings.drawInterval = from.applyLimit * drawIntervalShare;
    return settings;
}

} // namespace

store_feed::store_feed(boost::asio::io_context &reactor,
                       const gateway_daemon_settings &settings,
                       peer_traffic &traffic,
                       feed_listener &listener)
    : m_address(settings.peers)
    , m_traffic(traffic)
    , m_listener(listener)
    , m_node(makeFleetSettings(settings), std::hash<std::string>()(settings.vmName))
    , m_mesh(reactor, *this, "peer")
    , m_prefixes(makeFleetSettings(settings).prefixes)
    , m_timer(reactor)
{
    for (const std::string &prefix : m_prefixes) {
        store_reader_settings readerSettings;
        readerSettings.address = settings.storeAddress;
        readerSettings.prefix = prefix;
        const bool isLeafPrefix = prefix == platform::leafPrefix;
        readerSettings.watchWait = isLeafPrefix
            ? std::min(settings.storeWatchTimeout, settings.drainLimit * leafWatchShare)
            : settings.storeWatchTimeout;
        m_readers.push_back(std::make_unique<store_reader>(reactor, readerSettings, *this));
    }
}

boost::system::error_code store_feed::start()
{
    const boost::system::error_code error = m_mesh.listen(m_address.address, m_address.port);
    if (!error) {
        m_node.start(m_clock.now());
        tick();
    }
    return error;
}

void store_feed::publishRequestEvidence(const std::vector<request_evidence> &evidence)
{
    m_node.sendRequestEvidence(evidence, 0, m_clock.now());
    flush();
}

void store_feed::leave()
{
    m_mesh.stopListening();
    m_node.leave(m_clock.now());
    flush();
}

void store_feed::reconnect()
{
    for (const auto &reader : m_readers) {
        reader->reconnect();
    }
}

std::uint64_t store_feed::storeCalls() const
{
    std::uint64_t calls = 0;
    for (const auto &reader : m_readers) {
        calls += reader->calls();
    }
    return calls;
}

std::uint64_t store_feed::storeInputCutOff() const
{
    std::uint64_t cutOff = 0;
    for (const auto &reader : m_readers) {
        cutOff += reader->input().cutOff();
    }
    return cutOff;
}

std::string store_feed::source() const
{
    return m_node.isReading() ? "store" : m_node.upstreamAddress();
}

void store_feed::onLinkOpen(link_id link)
{
    m_node.onLinkOpen(link, m_clock.now());
    flush();
}

void store_feed::onLinkClosed(link_id link)
{
    m_node.onLinkClosed(link, m_clock.now());
    flush();
}

bool store_feed::onLinkFrame(link_id link, std::span<const std::uint8_t> payload)
{
    std::optional<fleet_message> message;
    const read_state state = m_mesh.input().read([&] {
        auto decoded = decodeFleetPayload(payload);
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
    m_node.onMessage(link, *std::move(message), m_clock.now());
    flush();
    return true;
}

void store_feed::onStoreContents(std::string_view prefix, std::vector<store_item> items, std::uint64_t revision)
{
    m_node.onStoreContents(prefix, std::move(items), revision);
    flush();
}

void store_feed::onStoreChanges(std::string_view prefix, std::vector<store_item> changes, std::uint64_t revision)
{
    m_node.onStoreChanges(prefix, std::move(changes), revision);
    flush();
}

void store_feed::onStoreFreshness(std::string_view prefix, millis asOf)
{
    if (prefix == platform::leafPrefix) {
        m_node.onStoreFreshness(asOf, m_clock.now());
        flush();
    }
}

void store_feed::onStoreState(std::string_view prefix, bool ok)
{
    if (ok && prefix == m_prefixes.front()) {
        startRemainingReaders();
    }
    m_node.onStoreState(prefix, ok, m_clock.now());
    flush();
}

void store_feed::tick()
{
    const millis now = m_clock.now();
    m_node.report(m_listener.takeLeafReports());
    m_node.tick(now);
    flush();
    m_listener.onFleetState(
        {m_node.fleetSize(now), m_node.possibleFleetSize(now), m_node.isStoreUnavailable(), m_node.currentAsOf()});
    m_timer.expires_after(std::chrono::milliseconds(tickInterval.ceiled()));
    m_timer.async_wait([this](const boost::system::error_code &timerError) {
        if (!timerError) {
            tick();
        }
    });
}

void store_feed::flush()
{
    for (auto actions = m_node.takeActions(); !actions.empty(); actions = m_node.takeActions()) {
        for (const fleet_action &action : actions) {
            std::visit([this](const auto &one) { perform(one); }, action);
        }
    }
}

void store_feed::perform(const dial_action &action)
{
    m_mesh.dial(action.link, action.address);
}

void store_feed::perform(const close_link_action &action)
{
    m_mesh.closeLink(action.link);
}

void store_feed::perform(const send_message_action &action)
{
    const std::string frame = encodeFleetFrame(action.message);
    for (const link_id link : action.links) {
        m_traffic.count(kindOf(action.message), m_mesh.peerOf(link), frame.size());
        m_mesh.sendFrame(link, frame);
    }
}

/** Stops all readers, or starts the reader of the first prefix. The readers of known prefixes start once the first one
 * shows that the store answers, so that a store that is down for the whole fleet gets half the calls. A prefix whose
 * contents are not known yet is read at once, because callers wait for it. */
void store_feed::perform(const read_action &action)
{
    std::ranges::for_each(m_readers, [](const auto &reader) { reader->stop(); });
    for (std::size_t at = 0; action.reading && at < m_readers.size(); ++at) {
        if (at == 0 || !m_node.view(m_prefixes[at]).known()) {
            startReader(at);
        }
    }
}

void store_feed::startReader(std::size_t at)
{
    const store_view &view = m_node.view(m_prefixes[at]);
    m_readers[at]->start(view.known() ? std::optional(view.revision()) : std::nullopt);
}

void store_feed::startRemainingReaders()
{
    for (std::size_t at = 1; at < m_readers.size(); ++at) {
        if (!m_readers[at]->isStarted()) {
            startReader(at);
        }
    }
}

void store_feed::perform(const store_changes_action &action)
{
    m_listener.onStoreItems(action.prefix, action.items);
}

void store_feed::perform(const members_action &action)
{
    m_traffic.setMembers(action.members);
    m_listener.onFleetMembers(action.members);
}

void store_feed::perform(const reports_action &action)
{
    m_listener.onLeafReports(action.reports);
}

void store_feed::perform(const requests_action &action)
{
    m_node.sendRequestEvidence(m_listener.onRequestEvidence(action.requests), action.from, m_clock.now());
}

void store_feed::perform(const link_joined_action &action)
{
    m_node.sendAllRequestEvidence(action.link, m_listener.allRequestEvidence(), m_clock.now());
}

void store_feed::perform(const tree_event_action &action)
{
    logEvent(log_level::Info,
             action.event,
             {{"about", action.subject},
              {"input_ms", action.upstreamSilence.ceiled()},
              {"fleet", std::uint64_t {m_node.fleetSize(m_clock.now())}}});
}

} // namespace chivelock
