#include "store_feed.h"

#include <platform/platform.h>

#include <algorithm>

namespace chivelock {

namespace {

constexpr millis tickInterval(100); // a quarter of the beat among processes

// Of the drain limit, that the store holds a watch on leafs: twice that and the way down the tree is how old the word
// of a leaf that leaves may be, and for so long less it is asked.
constexpr double leafWatchShare = 0.13;

// Shares of the time in which a configuration must be in force. A third of it passes until the reader notices that the
// store has left it; the rest is for one more seed to fail, then others by the draw (ten of them at most, a fifth of
// the time), and the reading.
constexpr double seedPatienceShare = 0.08;
constexpr double patienceShare = 0.15;
constexpr double drawShare = 0.02;

/** Of what operators write only the configuration's value says anything; anyone may write megabytes beside it, which
 * all VMs would hold and pass on. */
void dropUnread(std::string_view prefix, std::vector<store_item> &items)
{
    if (prefix != platform::configPrefix) {
        return;
    }
    for (store_item &item : items) {
        if (item.key != platform::configKey) {
            item.value.clear();
        }
    }
}

std::string textOf(const listen_address &address)
{
    return address.address + ":" + std::to_string(address.port);
}

fleet_settings treeSettings(const gateway_daemon_settings &from)
{
    fleet_settings settings;
    settings.address = textOf(from.peers);
    settings.zone = from.zone;
    settings.seeds = from.seeds;
    settings.prefixes = {std::string(platform::configPrefix), std::string(platform::leafPrefix)};
    settings.seedPatience = from.applyLimit * seedPatienceShare;
    settings.patience = from.applyLimit * patienceShare;
    settings.drawInterval = from.applyLimit * drawShare;
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
    , m_node(treeSettings(settings), std::hash<std::string>()(settings.vmName))
    , m_mesh(reactor, *this)
    , m_prefixes(treeSettings(settings).prefixes)
    , m_timer(reactor)
{
    for (const std::string &prefix : m_prefixes) {
        store_reader_settings reading;
        reading.address = settings.storeAddress;
        reading.prefix = prefix;
        const bool aboutLeafs = prefix == platform::leafPrefix;
        reading.wait =
            aboutLeafs ? std::min(settings.storeWait, settings.drainLimit * leafWatchShare) : settings.storeWait;
        m_readers.push_back(std::make_unique<store_reader>(reactor, reading, *this));
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

void store_feed::tellRequests(const std::vector<request_evidence> &news)
{
    m_node.tellRequests(news, 0, m_clock.now());
    flush();
}

void store_feed::leave()
{
    m_mesh.stopListening();
    m_node.leave(m_clock.now());
    flush();
}

void store_feed::refresh()
{
    for (const auto &reader : m_readers) {
        reader->refresh();
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
    auto message = decodeFleetPayload(payload);
    if (!message) {
        return false;
    }
    m_node.onMessage(link, *std::move(message), m_clock.now());
    flush();
    return true;
}

void store_feed::onStoreContents(std::string_view prefix, std::vector<store_item> items, std::uint64_t revision)
{
    dropUnread(prefix, items);
    m_node.onStoreContents(prefix, std::move(items), revision);
    flush();
}

void store_feed::onStoreChanges(std::string_view prefix, std::vector<store_item> changes, std::uint64_t revision)
{
    dropUnread(prefix, changes);
    m_node.onStoreChanges(prefix, std::move(changes), revision);
    flush();
}

void store_feed::onStoreCurrent(std::string_view prefix, millis asOf)
{
    if (prefix == platform::leafPrefix) {
        m_node.onStoreCurrent(asOf, m_clock.now());
        flush();
    }
}

void store_feed::onStoreState(std::string_view prefix, bool ok)
{
    if (ok && prefix == m_prefixes.front()) {
        startOthers();
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
    m_listener.onFleetState({m_node.fleetSize(now), m_node.storeInTrouble(), m_node.currentAsOf()});
    m_timer.expires_after(std::chrono::milliseconds(tickInterval.ceiled()));
    m_timer.async_wait([this](const boost::system::error_code &stopped) {
        if (!stopped) {
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

void store_feed::perform(const hang_up_action &action)
{
    m_mesh.hangUp(action.link);
}

void store_feed::perform(const tell_action &action)
{
    const std::string frame = encodeFleetFrame(action.message);
    for (const link_id link : action.links) {
        m_traffic.count(kindOf(action.message), m_mesh.peerOf(link), frame.size());
        m_mesh.tell(link, frame);
    }
}

/** One prefix tells whether the store answers; the others are asked for only then, so that a store that is down for the
 *  whole fleet gets half the calls. A process that knows nothing yet does not wait for that: callers do. */
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

void store_feed::startOthers()
{
    for (std::size_t at = 1; at < m_readers.size(); ++at) {
        if (!m_readers[at]->isStarted()) {
            startReader(at);
        }
    }
}

void store_feed::perform(const news_action &action)
{
    m_listener.onStoreNews(action.prefix, action.items);
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
    m_node.tellRequests(m_listener.onRequestNews(action.requests), action.from, m_clock.now());
}

void store_feed::perform(const greet_action &action)
{
    m_node.greet(action.link, m_listener.allRequests(), m_clock.now());
}

void store_feed::perform(const tree_note_action &action)
{
    logEvent(log_level::Info,
             action.event,
             {{"about", action.about},
              {"input_ms", action.input.ceiled()},
              {"fleet", std::uint64_t {m_node.fleetSize(m_clock.now())}}});
}

} // namespace chivelock
