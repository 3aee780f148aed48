#include "config_server.h"

#include "forwarding_handler.h"

#include <algorithm>

namespace chivelock::standin {

namespace {

namespace http = Pistache::Http;
using nlohmann::json;

std::uint64_t readNumber(const http::Request &request, const std::string &key)
{
    const auto value = request.query().get(key);
    return value ? std::stoull(*value) : 0;
}

void send(const std::shared_ptr<http::ResponseWriter> &writer, http::Code code, const std::string &body)
{
    try {
        writer->send(code, body);
    } catch (const std::exception &) {
        // The client has disconnected; the reply is dropped.
    }
}

} // namespace

config_server::config_server(timer_thread &timers, control_handler control)
    : m_timers(timers)
    , m_control(std::move(control))
{
}

config_server::~config_server()
{
    if (m_endpoint) {
        m_endpoint->shutdown();
    }
}

void config_server::publish(const std::string &name, const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    const json parsed = json::parse(text, nullptr, false);
    const std::uint64_t revision = parsed.is_object() ? parsed.value("revision", std::uint64_t {0}) : 0;
    // The platform does not validate publications, so an unreadable one also gets a newer revision.
    m_documents[name] = {text, std::max(revision, m_documents[name].revision + (revision == 0 ? 1 : 0))};
    answerWatchers();
}

void config_server::serve(const std::string &address, std::uint16_t port)
{
    m_endpoint = std::make_unique<http::Endpoint>(Pistache::Address(address, Pistache::Port(port)));
    constexpr std::size_t maxBytes = 4U << 20U;
    m_endpoint->init(
        http::Endpoint::options().threads(2).maxRequestSize(maxBytes).flags(Pistache::Tcp::Options::ReuseAddr));
    m_endpoint->setHandler(http::make_handler<forwarding_handler<config_server>>(this));
    m_endpoint->serveThreaded();
}

void config_server::setMode(const std::string &mode)
{
    const std::lock_guard lock(m_mutex);
    m_mode = mode;
    m_staleDocuments = m_documents;
}

void config_server::handle(const http::Request &request, http::ResponseWriter response)
{
    const auto writer = std::make_shared<http::ResponseWriter>(std::move(response));
    const std::string &resource = request.resource();
    constexpr std::string_view configPrefix = "/v1/config/";
    constexpr std::string_view controlPrefix = "/v1/control/";
    if (resource.starts_with(configPrefix) && request.method() == http::Method::Get) {
        handleRead(request, resource.substr(configPrefix.size()), writer);
    } else if (resource.starts_with(configPrefix)) {
        publish(resource.substr(configPrefix.size()), request.body());
        send(writer, http::Code::Ok, "{}");
    } else if (resource.starts_with(controlPrefix)) {
        const json body = request.body().empty() ? json::object() : json::parse(request.body());
        json reply = m_control(resource.substr(controlPrefix.size()), body);
        const std::lock_guard lock(m_mutex);
        reply["config_reads"] = m_reads;
        send(writer, http::Code::Ok, reply.dump());
    } else {
        send(writer, http::Code::Not_Found, "{}");
    }
}

void config_server::handleRead(const http::Request &request, const std::string &name, const writer_ptr &writer)
{
    const std::lock_guard lock(m_mutex);
    ++m_reads;
    if (m_mode == "down") {
        send(writer, http::Code::Service_Unavailable, "{}");
        return;
    }
    const std::uint64_t id = m_nextWatch++;
    m_watchers.push_back({id, name, readNumber(request, "after"), writer});
    m_timers.after(millis(static_cast<double>(readNumber(request, "wait_ms"))), [this, id] { expireWatch(id); });
    answerWatchers();
}

void config_server::expireWatch(std::uint64_t id)
{
    const std::lock_guard lock(m_mutex);
    const auto found = std::ranges::find(m_watchers, id, &watcher::id);
    if (found != m_watchers.end()) {
        send(found->writer, http::Code::No_Content, "");
        m_watchers.erase(found);
    }
}

void config_server::answerWatchers()
{
    const std::map<std::string, document> &served = m_mode == "stale" ? m_staleDocuments : m_documents;
    std::erase_if(m_watchers, [&served](const watcher &pending) {
        const auto found = served.find(pending.name);
        const bool newer = found != served.end() && found->second.revision > pending.after;
        if (newer) {
            send(pending.writer, http::Code::Ok, found->second.text);
        }
        return newer;
    });
}

} // namespace chivelock::standin
