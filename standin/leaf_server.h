#pragma once

#include "timer_thread.h"

#include <base/base.h>

#include <nlohmann/json.hpp>
#include <pistache/endpoint.h>

#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace chivelock::standin {

/** Simulated faults of a leaf; set over HTTP. */
struct leaf_faults {
    bool leaving = false; ///< rejects new work with 410
    bool leavingInHealthOnly = false; ///< leaving, but still accepts work; only the health report shows it
    bool hidesLeavingInHealth = false; ///< never reports "leaving" in its health
    bool shed = false; ///< rejects new work with 503
    bool unresponsive = false; ///< never answers
    bool cold = false; ///< has a cold cache: takes longer for each request
    double slowFactor = 1;
    std::uint32_t snapshotOffset = 0; ///< offset of the held snapshot from the published one
};

/** Service times: a base plus an exponential part; a share of stragglers takes a multiple of that. */
struct service_times {
    double baseMs = 2;
    double exponentialMs = 8;
    double stragglerShare = 0.05;
    double stragglerFactor = 10;
};

/** State that all leafs share. */
struct shared_leaf_state {
    timer_thread timers;
    service_times times;
    std::mutex mutex;
    seeded_random random {1};
    std::map<std::string, std::uint64_t> runs; ///< number of runs of each request id, over all shards
};

/** Stand-in for one leaf of a service, with slots, a short queue, a snapshot and simulated faults. */
class leaf_server
{
public:
    struct options {
        std::uint32_t id = 0;
        std::string address;
        std::uint16_t port = 0;
        std::uint32_t slots = 2;
        std::uint32_t snapshot = 1;
        std::uint32_t mapVersion = 1;
    };

    leaf_server(options chosen, shared_leaf_state &shared);
    ~leaf_server();
    leaf_server(const leaf_server &) = delete;
    leaf_server &operator=(const leaf_server &) = delete;

    void serve();
    void setFaults(const leaf_faults &faults);
    void setSnapshot(std::uint32_t snapshot, std::uint32_t mapVersion);
    [[nodiscard]] nlohmann::json counters();

    /** Called on the HTTP thread. */
    void handle(const Pistache::Http::Request &request, Pistache::Http::ResponseWriter response);

private:
    using writer_ptr = std::shared_ptr<Pistache::Http::ResponseWriter>;

    struct search {
        writer_ptr writer;
        nlohmann::json request;
        bool running = false;
    };

    void handleSearch(const std::string &body, const writer_ptr &writer);
    void handleHealth(const writer_ptr &writer);
    void handleCancel(const std::string &name, const writer_ptr &writer);
    void startNext();
    void finish(const std::string &name);
    [[nodiscard]] double sampleServiceMs();
    [[nodiscard]] nlohmann::json baseReply(const nlohmann::json &request) const;
    void send(const writer_ptr &writer, int status, const nlohmann::json &body) const;

    options m_options;
    shared_leaf_state &m_shared;
    std::unique_ptr<Pistache::Http::Endpoint> m_endpoint;
    std::recursive_mutex m_mutex;
    leaf_faults m_faults;
    std::map<std::string, search> m_searches;
    std::deque<std::string> m_queue;
    std::uint32_t m_running = 0;
    std::uint64_t m_received = 0;
    std::uint64_t m_completed = 0;
    std::uint64_t m_shed = 0;
    std::uint64_t m_cancelled = 0;
    double m_busyMs = 0;
    steady_clock m_clock;
    millis m_leavingSince = millis::never();
    millis m_lastNewWork;
};

} // namespace chivelock::standin
