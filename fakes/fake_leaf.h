#pragma once

#include "virtual_time.h"

#include <policy/policy.h>
#include <topology/topology.h>

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace chivelock::fakes {

/** One execution of a request, as recorded by the leaf that ran it. */
struct execution {
    leaf_id leaf;
    shard_id shard;
    snapshot_id snapshot;
    millis at;
};

/** Executions on all leafs, keyed by request body. Tests check answers against this record. */
using execution_ledger = std::map<std::string, std::vector<execution>>;

/** Returns a random service time for one request. */
using service_time_sampler = std::function<millis(seeded_random &)>;

/** A request as a leaf receives it, with the callback for its reply. */
struct leaf_request {
    std::uint64_t serial = 0; ///< unique across all entries of the fleet
    leaf_call call;
    std::function<void(leaf_reply)> reply;
};

/** Simulates a target in virtual time: slots, a short queue, snapshots, and faults that tests turn on and off. */
class fake_leaf
{
public:
    struct faults {
        bool dead = false; ///< refuses connections
        bool frozen = false; ///< accepts connections and bytes but processes nothing
        bool shed = false;
        bool cold = false;
        bool refusesAsLeaving = false; ///< rejects new work with the status Leaving
        bool healthHidesLeaving = false; ///< its health reports never show that it is leaving
        bool answersFromNewestSnapshot = false; ///< answers from its newest snapshot instead of the requested one
        double slowFactor = 1;
    };

    fake_leaf(
        virtual_time &time, leaf_info info, execution_ledger &ledger, service_time_sampler draw, std::uint64_t seed)
        : m_time(time)
        , m_info(std::move(info))
        , m_ledger(ledger)
        , m_draw(std::move(draw))
        , m_random(seed)
    {
    }

    void hold(snapshot_id snapshot, map_version version)
    {
        m_held.push_back(snapshot);
        m_version = version;
    }

    void drop(snapshot_id snapshot)
    {
        std::erase(m_held, snapshot);
    }

    void receive(leaf_request request);
    void cancel(std::uint64_t serial);
    [[nodiscard]] health_report health() const;
    void setFaults(const faults &wanted);
    void startLeaving();

    /** Fails all running and queued requests, as when the process is killed and its connections break. */
    void kill();

    [[nodiscard]] const faults &current() const
    {
        return m_faults;
    }

    /** Time from the start of leaving to the last new request that this leaf received; zero if there was none. */
    [[nodiscard]] millis newWorkAfterLeaving() const
    {
        return m_newWorkAfterLeaving;
    }

    /** Total slot time spent on requests. */
    [[nodiscard]] millis busy() const
    {
        return m_busy;
    }

    [[nodiscard]] const leaf_info &info() const
    {
        return m_info;
    }

private:
    struct running_request {
        leaf_request request;
        millis started;
        millis planned;
    };

    void startNext();
    void finish(std::uint64_t serial);
    void refuse(const leaf_request &request, call_status status) const;
    [[nodiscard]] leaf_reply baseReply(const leaf_request &request, call_status status) const;

    virtual_time &m_time;
    leaf_info m_info;
    execution_ledger &m_ledger;
    service_time_sampler m_draw;
    seeded_random m_random;
    faults m_faults;
    std::vector<snapshot_id> m_held;
    map_version m_version;
    std::deque<leaf_request> m_queue;
    std::deque<leaf_request> m_receivedWhileFrozen; ///< requests that arrived while the leaf was frozen
    std::map<std::uint64_t, running_request> m_running;
    bool m_leaving = false;
    millis m_leavingSince;
    millis m_newWorkAfterLeaving;
    millis m_busy;
};

} // namespace chivelock::fakes
