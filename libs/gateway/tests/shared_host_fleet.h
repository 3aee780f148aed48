#pragma once

/**
 * @file
 * A fleet of gateway engines that delegate to each other, and leafs of many shards, in virtual time. The leafs of a
 * zone share one host: its processor serves one request after the other, and it may pause.
 */

#include "gateway_world.h"

namespace chivelock::testing {

struct fleet_shape {
    std::size_t vmsInZone = 8;
    std::size_t shards = 45; ///< of which an answer requires 0.95
    double lookupsPerSecond = 30;
    millis hostTime {0.9}; ///< of the host's processor, for one request
    millis processingTime {6}; ///< beside the host's time
    std::uint64_t seed = 1;
};

/** How many lookups arrived, how many were answered, and how many failed after leafs had worked on them. */
struct lookup_count {
    std::size_t asked = 0;
    std::size_t served = 0;
    std::size_t failed = 0;
};

class shared_host_fleet
{
public:
    static constexpr std::size_t zones = 3;

    explicit shared_host_fleet(const fleet_shape &shape)
        : m_shape(shape)
        , m_random(shape.seed)
        , m_vms(shape.vmsInZone * zones)
        , m_hosts(zones)
    {
        for (std::size_t at = 0; at < m_vms.size(); ++at) {
            m_vms[at].engine = makeEngine(at);
        }
        for (std::size_t at = 0; at < m_vms.size(); ++at) {
            m_vms[at].engine->setHelpers(helpersOf(at), at / zones);
        }
    }

    /** Lookups arrive at random VMs for @p time. */
    void runLoad(millis time)
    {
        constexpr double millisPerSecond = 1000;
        const millis end = now + time;
        millis at = now + gap(millisPerSecond / m_shape.lookupsPerSecond);
        while (at < end) {
            const std::size_t vm = m_random.below(m_vms.size());
            m_scheduled.emplace(at, [this, vm] { submit(vm); });
            at = at + gap(millisPerSecond / m_shape.lookupsPerSecond);
        }
        runUntil(end);
    }

    /** The host of @p zone serves nothing for @p time. */
    void pauseHost(std::size_t zone, millis time)
    {
        m_hosts[zone].busyUntil = std::max(m_hosts[zone].busyUntil, now) + time;
    }

    /** From now on the leafs of @p zone accept requests and never answer them. */
    void silence(std::size_t zone)
    {
        m_hosts[zone].silent = true;
    }

    /** @return the lookups that arrived in [from, to), and how many of them got a merged answer. */
    [[nodiscard]] lookup_count countLookups(millis from, millis to) const
    {
        lookup_count count;
        for (const lookup &one : m_lookups) {
            if (one.at >= from && one.at < to) {
                count.asked += 1;
                count.served += one.served ? 1 : 0;
                count.failed += one.failed ? 1 : 0;
            }
        }
        return count;
    }

    /** @return requests that reached leafs in [from, to), for each shard of a lookup that arrived then. */
    [[nodiscard]] double requestsPerShard(millis from, millis to) const
    {
        const auto reached = std::ranges::count_if(m_leafArrivals, [&](millis at) { return at >= from && at < to; });
        const std::size_t asked = std::max<std::size_t>(1, countLookups(from, to).asked);
        return static_cast<double>(reached) / static_cast<double>(asked * m_shape.shards);
    }

    millis now {10000};

private:
    struct lookup {
        millis at;
        bool served = false;
        bool failed = false; ///< not served, and not refused as not run
    };
    struct vm {
        std::unique_ptr<gateway_engine> engine;
        millis wakeAt = millis::never();
        std::map<exchange_id, std::size_t> lookups;
        std::map<exchange_id, std::pair<std::size_t, delegation_id>> accepted; ///< delegated exchange to its origin
        std::map<std::pair<std::size_t, delegation_id>, exchange_id> exchangeOf;
    };
    struct host {
        millis busyUntil;
        bool silent = false;
    };

    static constexpr double coverage = 0.95;
    static constexpr millis linkDelay {0.5};
    static constexpr millis callerTimeout {800};

    static zone_name zoneOf(std::size_t vm)
    {
        return {"z" + std::to_string(vm % zones)};
    }

    std::unique_ptr<gateway_engine> makeEngine(std::size_t at)
    {
        gateway_settings settings;
        settings.zone = zoneOf(at);
        settings.retrySlack = 170;
        settings.capacity = 0.12;
        settings.maxShardsPerVm = 12;
        settings.scheduling.priorities = false;
        settings.scheduling.hedging = false;
        auto engine = std::make_unique<gateway_engine>(std::move(settings), at + m_shape.seed);
        gateway_config config;
        config.version = 1;
        gateway_route route = gateway_world::gatherRoute(m_shape.shards, coverage);
        route.objective = millis(150);
        route.timeout = callerTimeout;
        config.routes = {route};
        std::ranges::for_each(route.shards, [&](const service_name &one) { config.services.push_back({one, 200}); });
        engine->applyConfig(std::move(config));
        engine->setFleetSize(m_vms.size());
        for (std::size_t shard = 0; shard < m_shape.shards; ++shard) {
            for (std::size_t zone = 0; zone < zones; ++zone) {
                engine->leafs().put(entryOf(shard, zone), now);
            }
        }
        return engine;
    }

    static leaf_entry entryOf(std::size_t shard, std::size_t zone)
    {
        leaf_entry entry;
        entry.id = gateway_world::shardName(shard) + "-" + std::to_string(zone);
        entry.service = {gateway_world::shardName(shard)};
        entry.zone = zoneOf(zone);
        entry.slots = 2;
        return entry;
    }

    std::vector<helper_vm> helpersOf(std::size_t own) const
    {
        std::vector<helper_vm> helpers;
        for (std::size_t at = 0; at < m_vms.size(); ++at) {
            if (at != own) {
                helpers.push_back({std::to_string(at), zoneOf(at), at / zones});
            }
        }
        return helpers;
    }

    millis gap(double meanMs)
    {
        return millis(-std::log(1 - m_random.uniform()) * meanMs);
    }

    void scheduleIn(millis delay, std::function<void()> event)
    {
        m_scheduled.emplace(now + delay, std::move(event));
    }

    void runUntil(millis end)
    {
        while (!m_scheduled.empty() && m_scheduled.begin()->first <= end) {
            const auto first = m_scheduled.begin();
            now = std::max(now, first->first);
            const std::function<void()> deliver = std::move(first->second);
            m_scheduled.erase(first);
            deliver();
        }
        now = end;
    }

    void handle(std::size_t at, const std::function<void(gateway_engine &)> &event)
    {
        event(*m_vms[at].engine);
        performActions(at);
        wakeLater(at);
    }

    void wakeLater(std::size_t at)
    {
        vm &one = m_vms[at];
        const millis due = one.engine->nextDue();
        if (due >= one.wakeAt) {
            return;
        }
        one.wakeAt = due;
        m_scheduled.emplace(std::max(due, now), [this, at] {
            m_vms[at].wakeAt = millis::never();
            handle(at, [this](gateway_engine &engine) { engine.advance(now); });
        });
    }

    void submit(std::size_t to)
    {
        const std::size_t index = m_lookups.size();
        m_lookups.push_back({now});
        handle(to, [this, to, index](gateway_engine &engine) {
            const std::string id = "q" + std::to_string(index);
            caller_request request {id, "h", "/all/x", callerTimeout};
            request.waited = now - m_lookups[index].at;
            m_vms[to].lookups[engine.arrive(request, now)] = index;
        });
    }

    void performActions(std::size_t at)
    {
        for (auto actions = m_vms[at].engine->takeActions(); !actions.empty();
             actions = m_vms[at].engine->takeActions()) {
            for (gateway_action &action : actions) {
                std::visit([&](auto &one) { perform(at, one); }, action);
            }
        }
        const std::vector<leaf_report> reports = m_vms[at].engine->takeReports();
        constexpr millis reportDelay(20);
        for (std::size_t to = 0; !reports.empty() && to < m_vms.size(); ++to) {
            if (to != at) {
                scheduleIn(reportDelay, [this, to, reports] {
                    handle(to, [reports](gateway_engine &engine) { std::ignore = engine.onReports(reports); });
                });
            }
        }
    }

    void perform(std::size_t at, const send_action &sent)
    {
        const std::size_t zone = static_cast<std::size_t>(sent.to->entry.id.back() - '0');
        scheduleIn(linkDelay, [this, at, zone, id = sent.id, leafId = sent.to->entry.id, deadline = sent.deadline] {
            reachLeaf(at, zone, id, leafId, deadline);
        });
    }

    void reachLeaf(std::size_t from, std::size_t zone, send_id id, const std::string &leafId, millis deadline)
    {
        m_leafArrivals.push_back(now);
        host &at = m_hosts[zone];
        if (at.silent) {
            return;
        }
        at.busyUntil = std::max(at.busyUntil, now) + m_shape.hostTime;
        const millis end = at.busyUntil + m_shape.processingTime;
        const bool late = end > deadline;
        m_scheduled.emplace(end + linkDelay, [this, from, id, leafId, late] {
            gateway_reply reply;
            reply.status = late ? 504 : 200;
            reply.stamp = late ? "" : "digest-" + leafId;
            reply.load = leaf_load {1, 0, 2, {}};
            reply.body = (leafId + std::string(recordBytes, '.')).substr(0, recordBytes);
            handle(from, [this, id, reply](gateway_engine &engine) { engine.onReply(id, reply, now); });
        });
    }

    void perform(std::size_t, const cancel_action &)
    {
    }
    void perform(std::size_t, const log_event_action &)
    {
    }
    void perform(std::size_t, const asked_leafs_action &)
    {
    }
    void perform(std::size_t, const quarantine_update_action &)
    {
    }

    void perform(std::size_t at, const answer_action &answer)
    {
        const auto found = m_vms[at].lookups.find(answer.exchange);
        if (found != m_vms[at].lookups.end()) {
            m_lookups[found->second].served = answer.outcome == exchange_outcome::Merged;
            m_lookups[found->second].failed = answer.outcome == exchange_outcome::Failed;
        }
    }

    void perform(std::size_t at, const delegate_action &action)
    {
        const auto to = static_cast<std::size_t>(std::stoul(action.helper));
        scheduleIn(linkDelay, [this, at, to, action] {
            handle(to, [this, at, to, action](gateway_engine &engine) {
                const exchange_id accepted = engine.acceptDelegatedWork("q", action.work, now);
                m_vms[to].accepted[accepted] = {at, action.id};
                m_vms[to].exchangeOf[{at, action.id}] = accepted;
            });
        });
    }

    void perform(std::size_t at, const delegate_cancel_action &action)
    {
        const auto to = static_cast<std::size_t>(std::stoul(action.helper));
        scheduleIn(linkDelay, [this, at, to, id = action.id] {
            handle(to, [this, at, to, id](gateway_engine &engine) {
                const auto found = m_vms[to].exchangeOf.find({at, id});
                if (found != m_vms[to].exchangeOf.end()) {
                    engine.onDelegationCancelled(found->second, now);
                }
            });
        });
    }

    void perform(std::size_t at, const progress_action &action)
    {
        // Progress may precede the id that acceptDelegatedWork() returns, so the origin is looked up at delivery.
        scheduleIn(linkDelay, [this, at, action] {
            const auto origin = m_vms[at].accepted.find(action.exchange);
            if (origin != m_vms[at].accepted.end()) {
                const auto [to, id] = origin->second;
                handle(to, [this, id = id, progress = action.progress](gateway_engine &engine) {
                    engine.onProgress(id, progress, now);
                });
            }
        });
    }

    fleet_shape m_shape;
    seeded_random m_random;
    std::vector<vm> m_vms;
    std::vector<host> m_hosts;
    std::vector<lookup> m_lookups;
    std::vector<millis> m_leafArrivals;
    std::multimap<millis, std::function<void()>> m_scheduled;
};

} // namespace chivelock::testing
