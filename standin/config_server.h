#pragma once

#include "timer_thread.h"

#include <nlohmann/json.hpp>
#include <pistache/endpoint.h>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace chivelock::standin {

/** Stand-in for the platform's configuration service: serves reads and watches of documents, and the fault controls. */
class config_server
{
public:
    using control_handler = std::function<nlohmann::json(const std::string &command, const nlohmann::json &body)>;

    config_server(timer_thread &timers, control_handler control);
    ~config_server();
    config_server(const config_server &) = delete;
    config_server &operator=(const config_server &) = delete;

    void publish(const std::string &name, const std::string &text);
    void serve(const std::string &address, std::uint16_t port);

    /** @param mode "up", "down" (every read fails) or "stale" (reads return the documents as of this call). */
    void setMode(const std::string &mode);

    /** Called on an HTTP thread. */
    void handle(const Pistache::Http::Request &request, Pistache::Http::ResponseWriter response);

private:
    using writer_ptr = std::shared_ptr<Pistache::Http::ResponseWriter>;

    struct document {
        std::string text;
        std::uint64_t revision = 0;
    };

    struct watcher {
        std::uint64_t id;
        std::string name;
        std::uint64_t after;
        writer_ptr writer;
    };

    void handleRead(const Pistache::Http::Request &request, const std::string &name, const writer_ptr &writer);
    void expireWatch(std::uint64_t id);
    void answerWatchers();

    timer_thread &m_timers;
    control_handler m_control;
    std::unique_ptr<Pistache::Http::Endpoint> m_endpoint;
    std::mutex m_mutex;
    std::map<std::string, document> m_documents;
    std::map<std::string, document> m_staleDocuments; ///< served in stale mode
    std::string m_mode = "up";
    std::vector<watcher> m_watchers;
    std::uint64_t m_nextWatch = 1;
    std::uint64_t m_reads = 0;
};

} // namespace chivelock::standin
