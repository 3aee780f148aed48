#include "leaf_server.h"

#include "forwarding_handler.h"

#include <algorithm>
#include <cmath>

namespace chivelock::standin {

namespace {

namespace http = Pistache::Http;
using nlohmann::json;

constexpr std::size_t queueCapacity = 8; ///< waiting requests besides the running ones; further ones are rejected
constexpr int okStatus = 200;
constexpr int conflictStatus = 409;
constexpr int goneStatus = 410;
constexpr int cancelledStatus = 499;
constexpr int unavailableStatus = 503;

} // namespace

leaf_server::leaf_server(options chosen, shared_leaf_state &shared)
    : m_options(std::move(chosen))
    , m_shared(shared)
{
}

leaf_server::~leaf_server()
{
    if (m_endpoint) {
        m_endpoint->shutdown();
    }
}

void leaf_server::serve()
{
    m_endpoint = std::make_unique<http::Endpoint>(Pistache::Address(m_options.address, Pistache::Port(m_options.port)));
    m_endpoint->init(http::Endpoint::options().threads(1).flags(Pistache::Tcp::Options::ReuseAddr
                                                                | Pistache::Tcp::Options::NoDelay));
    m_endpoint->setHandler(http::make_handler<forwarding_handler<leaf_server>>(this));
    m_endpoint->serveThreaded();
}

void leaf_server::setFaults(const leaf_faults &faults)
{
    const std::lock_guard lock(m_mutex);
    const bool isLeaving = faults.leaving || faults.leavingInHealthOnly;
    const bool wasLeaving = m_faults.leaving || m_faults.leavingInHealthOnly;
    if (isLeaving && !wasLeaving) {
        m_leavingSince = m_clock.now();
    }
    m_faults = faults;
}

void leaf_server::setSnapshot(std::uint32_t snapshot, std::uint32_t mapVersion)
{
    const std::lock_guard lock(m_mutex);
    m_options.snapshot = snapshot;
    m_options.mapVersion = mapVersion;
}

json leaf_server::counters()
{
    const std::lock_guard lock(m_mutex);
    const bool isLeaving = m_leavingSince < millis::never();
    const double newWorkAfter =
        isLeaving && m_lastNewWork > m_leavingSince ? (m_lastNewWork - m_leavingSince).count() : 0;
    return {{"leaf", m_options.id},
            {"received", m_received},
            {"completed", m_completed},
            {"shed", m_shed},
            {"cancelled", m_cancelled},
            {"busy_ms", m_busyMs},
            {"new_work_ms_after_leaving", newWorkAfter}};
}

void leaf_server::handle(const http::Request &request, http::ResponseWriter response)
{
    const std::lock_guard lock(m_mutex);
    const auto writer = std::make_shared<http::ResponseWriter>(std::move(response));
    if (m_faults.unresponsive) {
        return; // Never answers but keeps the connection open, like a paused process.
    }
    constexpr std::string_view requestsPrefix = "/v1/requests/";
    if (request.resource() == "/v1/search") {
        handleSearch(request.body(), writer);
    } else if (request.resource() == "/v1/health") {
        handleHealth(writer);
    } else if (request.resource().starts_with(requestsPrefix)) {
        handleCancel(request.resource().substr(requestsPrefix.size()), writer);
    }
}

void leaf_server::handleSearch(const std::string &body, const writer_ptr &writer)
{
    ++m_received;
    const json request = json::parse(body);
    json reply = baseReply(request);
    if (m_faults.leaving) {
        reply["leaving"] = true;
        send(writer, goneStatus, reply);
        return;
    }
    m_lastNewWork = m_clock.now();
    const std::uint32_t heldSnapshot = m_options.snapshot + m_faults.snapshotOffset;
    if (request.at("snapshot") != heldSnapshot || request.at("map_version") != m_options.mapVersion) {
        reply["held_snapshot"] = heldSnapshot;
        send(writer, conflictStatus, reply);
        return;
    }
    if (m_faults.shed || m_queue.size() >= queueCapacity) {
        ++m_shed;
        reply["retry_after_ms"] = 10;
        send(writer, unavailableStatus, reply);
        return;
    }
    const std::string name = request.at("request");
    m_searches.emplace(name, search {writer, request, false});
    m_queue.push_back(name);
    startNext();
}

void leaf_server::handleHealth(const writer_ptr &writer)
{
    const bool isLeaving = m_faults.leaving || m_faults.leavingInHealthOnly;
    std::string state = m_faults.cold ? "cold" : "serving";
    if (isLeaving && !m_faults.hidesLeavingInHealth) {
        state = "leaving";
    }
    send(writer, okStatus, {{"state", state}, {"incarnation", 1}, {"load", 0.5}});
}

void leaf_server::handleCancel(const std::string &name, const writer_ptr &writer)
{
    const auto found = m_searches.find(name);
    if (found != m_searches.end()) {
        ++m_cancelled;
        send(found->second.writer, cancelledStatus, baseReply(found->second.request));
        m_running -= found->second.running ? 1 : 0;
        std::erase(m_queue, name);
        m_searches.erase(found);
        startNext();
    }
    send(writer, okStatus, json::object());
}

void leaf_server::startNext()
{
    while (m_running < m_options.slots && !m_queue.empty()) {
        const std::string name = m_queue.front();
        m_queue.pop_front();
        search &next = m_searches.at(name);
        next.running = true;
        ++m_running;
        const double serviceMs = sampleServiceMs();
        m_busyMs += serviceMs;
        {
            const std::lock_guard lock(m_shared.mutex);
            ++m_shared.runs[next.request.value("request_id", "")];
        }
        m_shared.timers.after(millis(serviceMs), [this, name] { finish(name); });
    }
}

void leaf_server::finish(const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_searches.find(name);
    if (found == m_searches.end()) {
        return; // The request was cancelled in the meantime.
    }
    json reply = baseReply(found->second.request);
    const auto shard = found->second.request.at("shard").get<std::uint32_t>();
    for (std::uint32_t row = 0; row < 3; ++row) {
        reply["rows"].push_back({{"id", "s" + std::to_string(shard) + "-r" + std::to_string(row)},
                                 {"score", 1.0 / (1 + row + shard)},
                                 {"data", {{"leaf", m_options.id}}}});
    }
    const writer_ptr writer = found->second.writer;
    m_searches.erase(found);
    --m_running;
    ++m_completed;
    if (!m_faults.unresponsive) {
        send(writer, okStatus, reply);
    }
    startNext();
}

double leaf_server::sampleServiceMs()
{
    const std::lock_guard lock(m_shared.mutex);
    const service_times &times = m_shared.times;
    const double exponential = -times.exponentialMs * std::log(1 - m_shared.random.uniform());
    const bool isStraggler = m_shared.random.uniform() < times.stragglerShare;
    const double coldFactor = m_faults.cold ? 4 : 1;
    return (times.baseMs + exponential) * (isStraggler ? times.stragglerFactor : 1) * m_faults.slowFactor * coldFactor;
}

json leaf_server::baseReply(const json &request) const
{
    return {{"shard", request.at("shard")},
            {"snapshot", m_options.snapshot + m_faults.snapshotOffset},
            {"map_version", m_options.mapVersion},
            {"incarnation", 1},
            {"rows", json::array()}};
}

void leaf_server::send(const writer_ptr &writer, int status, const json &body) const
{
    try {
        writer->send(static_cast<http::Code>(status), body.dump());
    } catch (const std::exception &) {
        // The client has disconnected; the reply is dropped.
    }
}

} // namespace chivelock::standin
