#pragma once

/** @file A gateway engine and simulated leafs in virtual time. Each request that a leaf gets or runs is recorded. */

#include <gateway/gateway.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace chivelock::testing {

/** How a simulated leaf behaves. */
struct fake_leaf_behaviour {
    millis processingTime {10};
    bool neverAnswers = false; ///< accepts requests and never answers them
    bool refusesConnections = false;
    bool holdsTooMuch = false; ///< requests to the leaf are held back
    bool refusesRequests = false; ///< answers that it did not run the request
    bool dropsConnection = false; ///< runs the request, then closes the connection without an answer
    bool crashesOnRequest = false; ///< crashes a fixed delay after it starts a request
    bool wrongInstance = false;
    unsigned status = 200;
    bool sendsDigest = true;
    bool encodesBody = false;
    unsigned slots = 0; ///< requests that run concurrently; 0 for no limit
    unsigned queueLimit = 12; ///< requests that may wait for a slot; the leaf refuses more
    double slowdownFactor = 1; ///< multiplies the processing time
    double refusalProbability = 0; ///< share of its requests that it refuses at random, whatever its load
    bool reportsLoad = false;
    std::optional<double> hostSlowdown {}; ///< reported with each answer, if set
};

/** The engine under test, its simulated leafs, and the outcome of each request. */
class gateway_world
{
public:
    struct timed_answer {
        answer_action answer;
        millis at;
    };

    explicit gateway_world(gateway_settings settings = {})
        : engine(std::move(settings), 7)
    {
        engine.setFleetSize(1);
    }

    static gateway_route gatherRoute(std::size_t shards, double coverage)
    {
        gateway_route route;
        route.name = "all";
        route.host = "h";
        route.pathPrefix = "/all/";
        route.idempotent = true;
        route.timeout = millis(600);
        route.objective = millis(100);
        route.maxAttempts = 2;
        route.topRecords = 4;
        route.minCoverage = coverage;
        for (std::size_t at = 0; at < shards; ++at) {
            route.shards.push_back({shardName(at)});
        }
        return route;
    }

    static gateway_route singleRoute(bool idempotent)
    {
        gateway_route route;
        route.name = "one";
        route.host = "h";
        route.pathPrefix = "/one/";
        route.idempotent = idempotent;
        route.timeout = millis(2000);
        route.objective = millis(400);
        route.maxAttempts = 2;
        route.split = {{{"single"}, 1}};
        return route;
    }

    static std::string shardName(std::size_t at)
    {
        return "shard" + std::to_string(at);
    }

    void publish(std::vector<gateway_route> routes)
    {
        gateway_config config;
        config.version = ++m_version;
        config.routes = std::move(routes);
        std::set<std::string> serviceNames;
        for (const gateway_route &route : config.routes) {
            std::ranges::for_each(route.shards, [&](const auto &one) { serviceNames.insert(one.value); });
            std::ranges::for_each(route.split, [&](const auto &one) { serviceNames.insert(one.service.value); });
        }
        for (const std::string &name : serviceNames) {
            config.services.push_back({{name}, 100, maxColdRequestsPerSecond});
        }
        engine.applyConfig(std::move(config));
    }

    /** @return the id of the new leaf. */
    std::string addLeaf(const std::string &service, fake_leaf_behaviour behaviour = {}, const std::string &zone = {})
    {
        leaf_entry entry;
        entry.zone = {zone};
        entry.id = service + "-" + std::to_string(m_nextLeafNumber++);
        entry.service = {service};
        entry.slots = behaviour.slots == 0 ? 2 : behaviour.slots;
        engine.leafs().put(entry, now);
        behaviours[entry.id] = behaviour;
        return entry.id;
    }

    void addShards(std::size_t shards, std::size_t leafsPerShard)
    {
        for (std::size_t at = 0; at < shards; ++at) {
            for (std::size_t one = 0; one < leafsPerShard; ++one) {
                addLeaf(shardName(at));
            }
        }
    }

    /** @param processingTime at each leaf that runs the request; that of the leaf's behaviour if not given. */
    exchange_id
    submit(const std::string &target, millis timeout = millis(2000), std::optional<millis> processingTime = {})
    {
        const std::string id = "q" + std::to_string(++m_submitted);
        const exchange_id exchange = arrive({id, "h", target, timeout, {}, keyOf(target)});
        if (processingTime) {
            m_processingTimeOf[exchange] = *processingTime;
        }
        performActions();
        return exchange;
    }

    request_fingerprint keyOf(const std::string &target) const
    {
        return fingerprintOf({caller, "h", "GET", target, ""});
    }

    /** Ends the leaf's process: the requests that it runs fail, and it refuses new connections. */
    void crashLeaf(const std::string &id)
    {
        if (!m_crashed.insert(id).second) {
            return;
        }
        behaviours.at(id).refusesConnections = true;
        constexpr millis detectionDelay(0.3);
        for (const send_id send : m_runningSends[id]) {
            scheduleIn(detectionDelay, [this, send] { engine.onSendFailed(send, send_failure::LeafCrashed, now); });
        }
    }

    /** Replaces each crashed leaf by a new one of the same service and zone. */
    void replaceCrashed()
    {
        for (const std::string &id : m_crashed) {
            if (const std::shared_ptr<leaf> crashed = engine.leafs().find(id)) {
                const leaf_entry entry = crashed->entry;
                engine.leafs().remove(id, now - millis(100000));
                engine.leafs().expire(now);
                addLeaf(entry.service.value, acceptingConnections(behaviours.at(id)), entry.zone.value);
            }
        }
    }

    [[nodiscard]] std::size_t crashedLeafCount() const
    {
        return m_crashed.size();
    }

    exchange_id arrive(const caller_request &request)
    {
        return engine.arrive(request, now);
    }

    void disconnectCaller(exchange_id exchange)
    {
        engine.onCallerLeft(exchange, now);
        performActions();
    }

    void runFor(millis time)
    {
        const millis end = now + time;
        while (true) {
            const millis nextEvent = m_scheduled.empty() ? millis::never() : m_scheduled.begin()->first;
            const millis next = std::min(nextEvent, engine.nextDue());
            if (next > end) {
                break;
            }
            now = std::max(now, next);
            if (nextEvent <= now) {
                const auto first = m_scheduled.begin();
                const std::function<void()> deliver = first->second;
                m_scheduled.erase(first);
                deliver();
            } else {
                engine.advance(now);
            }
            performActions();
        }
        now = end;
        engine.advance(now);
        performActions();
    }

    /** @pre the exchange has been answered. */
    [[nodiscard]] const timed_answer &answerOf(exchange_id exchange) const
    {
        return answers.at(exchange);
    }

    [[nodiscard]] std::size_t runsAt(const std::string &service) const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(runs, [&](const auto &one) { return one.leafId.starts_with(service + "-"); }));
    }

    struct leaf_arrival {
        std::string leafId;
        exchange_id exchange = 0;
        millis at;
    };

    gateway_engine engine;
    double maxColdRequestsPerSecond =
        0; ///< requests per second that the fleet may send to a cold leaf, for every service
    millis now {10000};
    std::map<std::string, fake_leaf_behaviour> behaviours;
    std::map<exchange_id, timed_answer> answers;
    std::vector<leaf_arrival> runs; ///< requests that leafs started to run
    std::vector<leaf_arrival> arrivals; ///< requests that leafs started to run or refused
    std::vector<std::pair<send_id, millis>> cancels;
    std::vector<quarantine_update_action> verdicts;
    std::string caller = "caller";
    /** Whether a leaf that runs the exchange crashes @ref crashDelay after it starts. */
    std::function<bool(exchange_id)> crashesLeaf = [](exchange_id) { return false; };
    millis crashDelay {30};
    millis wastedSlotTime; ///< slot time spent on requests that did not finish or whose caller had been answered

private:
    void performActions()
    {
        for (auto actions = engine.takeActions(); !actions.empty(); actions = engine.takeActions()) {
            for (gateway_action &action : actions) {
                if (auto *sent = std::get_if<send_action>(&action)) {
                    onSend(*sent);
                } else if (auto *cancelled = std::get_if<cancel_action>(&action)) {
                    cancels.emplace_back(cancelled->id, now);
                } else if (auto *answer = std::get_if<answer_action>(&action)) {
                    const exchange_id exchange = answer->exchange;
                    answers[exchange] = {std::move(*answer), now};
                } else if (const auto *verdict = std::get_if<quarantine_update_action>(&action)) {
                    verdicts.push_back(*verdict);
                }
            }
        }
    }

    void onSend(const send_action &sent)
    {
        const std::string id = sent.to->entry.id;
        const fake_leaf_behaviour behaviour = behaviours.at(id);
        const send_id send = sent.id;
        if (behaviour.refusesConnections) {
            scheduleIn(millis(0.2), [this, send] { engine.onSendFailed(send, send_failure::NotSent, now); });
            return;
        }
        if (behaviour.holdsTooMuch) {
            scheduleIn(millis(), [this, send] { engine.onSendFailed(send, send_failure::HeldBack, now); });
            return;
        }
        arrivals.push_back({id, sent.exchange, now});
        std::vector<millis> &slots = m_slotEnds[id];
        std::erase_if(slots, [this](millis end) { return end <= now; });
        const bool full = behaviour.slots > 0 && slots.size() >= behaviour.slots + behaviour.queueLimit;
        const bool refusedByChance =
            behaviour.refusalProbability > 0 && m_random.uniform() < behaviour.refusalProbability;
        if (behaviour.refusesRequests || behaviour.wrongInstance || full || refusedByChance) {
            refuse(send, millis(0.4), behaviour, slots.size());
            return;
        }
        const millis wait = waitForSlot(slots, behaviour);
        if (now + wait >= sent.deadline) {
            refuse(send, sent.deadline - now, behaviour, slots.size());
            return;
        }
        runs.push_back({id, sent.exchange, now});
        if (behaviour.neverAnswers) {
            return;
        }
        m_runningSends[id].push_back(send);
        if (crashesLeaf(sent.exchange) && now + wait + crashDelay <= sent.deadline) {
            scheduleIn(wait + crashDelay, [this, id] { crashLeaf(id); });
            return;
        }
        const auto requested = m_processingTimeOf.find(sent.exchange);
        const millis defaultTime = crashesLeaf(sent.exchange) ? crashDelay : behaviour.processingTime;
        const millis processingTime =
            (requested == m_processingTimeOf.end() ? defaultTime : requested->second) * behaviour.slowdownFactor;
        const millis end = std::min(now + wait + processingTime, sent.deadline);
        const bool finished = end == now + wait + processingTime;
        slots.push_back(end);
        scheduleIn(
            end - now, [this, send, id, behaviour, exchange = sent.exchange, finished, slotTime = end - now - wait] {
                if (m_crashed.contains(id)) {
                    return;
                }
                std::erase(m_runningSends[id], send);
                wastedSlotTime = wastedSlotTime + (finished && !answers.contains(exchange) ? millis() : slotTime);
                if (behaviour.dropsConnection) {
                    engine.onSendFailed(send, send_failure::Broken, now);
                    return;
                }
                gateway_reply reply;
                reply.status = finished ? behaviour.status : timedOutStatus;
                reply.isEncoded = behaviour.encodesBody;
                reply.stamp = behaviour.sendsDigest && finished ? "digest-" + id : "";
                if (behaviour.hostSlowdown || behaviour.reportsLoad) {
                    reply.load = loadOf(id, behaviour);
                }
                reply.body = (id + std::string(recordBytes, '.')).substr(0, recordBytes);
                engine.onReply(send, std::move(reply), now);
            });
    }

    void refuse(send_id send, millis delay, const fake_leaf_behaviour &behaviour, std::size_t atLeaf)
    {
        scheduleIn(delay, [this, send, behaviour, atLeaf] {
            gateway_reply reply;
            reply.status = behaviour.wrongInstance ? 421 : 503;
            reply.notRun = true;
            reply.wrongInstance = behaviour.wrongInstance;
            reply.load = leaf_load {behaviour.slots, static_cast<unsigned>(atLeaf), behaviour.slots, {}};
            engine.onReply(send, std::move(reply), now);
        });
    }

    leaf_load loadOf(const std::string &id, const fake_leaf_behaviour &behaviour)
    {
        if (!behaviour.reportsLoad) {
            return {0, 0, behaviour.slots, behaviour.hostSlowdown};
        }
        std::vector<millis> &slots = m_slotEnds[id];
        std::erase_if(slots, [this](millis end) { return end <= now; });
        const auto atLeaf = static_cast<unsigned>(slots.size());
        const unsigned running = std::min(atLeaf, behaviour.slots);
        return {running, atLeaf - running, behaviour.slots, behaviour.hostSlowdown};
    }

    /** @return the time until the next request gets a slot; slots serve requests in order of arrival. */
    millis waitForSlot(std::vector<millis> slots, const fake_leaf_behaviour &behaviour) const
    {
        if (behaviour.slots == 0 || slots.size() < behaviour.slots) {
            return {};
        }
        std::ranges::sort(slots);
        return slots[slots.size() - behaviour.slots] - now;
    }

    void scheduleIn(millis delay, std::function<void()> event)
    {
        m_scheduled.emplace(now + delay, std::move(event));
    }

    static fake_leaf_behaviour acceptingConnections(fake_leaf_behaviour behaviour)
    {
        behaviour.refusesConnections = false;
        return behaviour;
    }

    static constexpr unsigned timedOutStatus = 504;

    seeded_random m_random {11};
    std::map<exchange_id, millis> m_processingTimeOf;
    std::uint64_t m_version = 0;
    unsigned m_nextLeafNumber = 0;
    unsigned m_submitted = 0;
    std::multimap<millis, std::function<void()>> m_scheduled;
    std::set<std::string> m_crashed; ///< leafs whose process has ended
    std::map<std::string, std::vector<send_id>> m_runningSends; ///< sends that each leaf is running
    std::map<std::string, std::vector<millis>> m_slotEnds; ///< end times of the requests that run or wait at each leaf
};

} // namespace chivelock::testing
