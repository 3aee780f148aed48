#pragma once

/** @file An engine among fake leafs in virtual time; every leaf run is recorded. */

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

/** How a fake leaf behaves. */
struct fake_behaviour {
    millis work {10};
    bool silent = false; ///< takes requests and never answers
    bool refusesConnections = false;
    bool refuses = false; ///< says that it did not run the request
    bool breaks = false; ///< runs the request and ends the connection without an answer
    bool endsUnder = false; ///< ends some time after it has begun to run a request
    bool wrongInstance = false;
    unsigned status = 200;
    bool stamped = true;
    unsigned slots = 0; ///< requests at a time; 0 for any number
    unsigned queue = 12; ///< requests that wait for a slot before the leaf refuses
    double slower = 1; ///< its work takes so many times as long
    double refusesShare = 0; ///< of what it gets, by chance, whatever its load
    bool tellsLoad = false;
    std::optional<double> hostSlowdown {}; ///< that it tells
};

/** The engine, its leafs and what became of requests. */
class gateway_world
{
public:
    struct answered {
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
        std::set<std::string> named;
        for (const gateway_route &route : config.routes) {
            std::ranges::for_each(route.shards, [&](const auto &one) { named.insert(one.value); });
            std::ranges::for_each(route.split, [&](const auto &one) { named.insert(one.service.value); });
        }
        for (const std::string &name : named) {
            config.services.push_back({{name}, 100, coldPerSecond});
        }
        engine.applyConfig(std::move(config));
    }

    /** @return the leaf's id. */
    std::string addLeaf(const std::string &service, fake_behaviour behaviour = {}, const std::string &zone = {})
    {
        leaf_entry entry;
        entry.zone = {zone};
        entry.id = service + "-" + std::to_string(m_nextLeaf++);
        entry.service = {service};
        entry.slots = behaviour.slots == 0 ? 2 : behaviour.slots;
        engine.leafs().put(entry, now);
        behaviours[entry.id] = behaviour;
        return entry.id;
    }

    void addShards(std::size_t shards, std::size_t leafsEach)
    {
        for (std::size_t at = 0; at < shards; ++at) {
            for (std::size_t one = 0; one < leafsEach; ++one) {
                addLeaf(shardName(at));
            }
        }
    }

    /** @param work what each leaf that is asked needs for it; as the leaf behaves if none is given. */
    exchange_id ask(const std::string &target, millis patience = millis(2000), std::optional<millis> work = {})
    {
        const std::string id = "q" + std::to_string(++m_asked);
        const exchange_id exchange = arrive({id, "h", target, patience, {}, keyOf(target)});
        if (work) {
            m_workOf[exchange] = *work;
        }
        act();
        return exchange;
    }

    request_fingerprint keyOf(const std::string &target) const
    {
        return fingerprintOf({caller, "h", "GET", target, ""});
    }

    /** The leaf's process ends: what it works on breaks, and it takes no connection. */
    void endLeaf(const std::string &id)
    {
        if (!m_ended.insert(id).second) {
            return;
        }
        behaviours.at(id).refusesConnections = true;
        constexpr millis noticed(0.3);
        for (const send_id send : m_atWork[id]) {
            later(noticed, [this, send] { engine.onSendFailed(send, send_failure::LeafEnded, now); });
        }
    }

    /** A new process of each service that lacks one. */
    void replaceEnded()
    {
        for (const std::string &id : m_ended) {
            if (const std::shared_ptr<leaf> gone = engine.leafs().find(id)) {
                const leaf_entry entry = gone->entry;
                engine.leafs().remove(id, now - millis(100000));
                engine.leafs().expire(now);
                addLeaf(entry.service.value, ordinary(behaviours.at(id)), entry.zone.value);
            }
        }
    }

    [[nodiscard]] std::size_t endedLeafs() const
    {
        return m_ended.size();
    }

    exchange_id arrive(const caller_request &request)
    {
        return engine.arrive(request, now);
    }

    void leave(exchange_id exchange)
    {
        engine.onCallerLeft(exchange, now);
        act();
    }

    void run(millis time)
    {
        const millis end = now + time;
        while (true) {
            const millis reply = m_coming.empty() ? millis::never() : m_coming.begin()->first;
            const millis next = std::min(reply, engine.nextDue());
            if (next > end) {
                break;
            }
            now = std::max(now, next);
            if (reply <= now) {
                const auto first = m_coming.begin();
                const std::function<void()> deliver = first->second;
                m_coming.erase(first);
                deliver();
            } else {
                engine.advance(now);
            }
            act();
        }
        now = end;
        engine.advance(now);
        act();
    }

    /** The answer to an exchange. @pre it has one. */
    [[nodiscard]] const answered &answerOf(exchange_id exchange) const
    {
        return answers.at(exchange);
    }

    [[nodiscard]] std::size_t runsAt(const std::string &service) const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(runs, [&](const auto &one) { return one.leafId.starts_with(service + "-"); }));
    }

    struct leaf_run {
        std::string leafId;
        exchange_id exchange = 0;
        millis at;
    };

    gateway_engine engine;
    double coldPerSecond = 0; ///< of all services
    millis now {10000};
    std::map<std::string, fake_behaviour> behaviours;
    std::map<exchange_id, answered> answers;
    std::vector<leaf_run> runs; ///< begun by leafs
    std::vector<leaf_run> arrivals; ///< begun or refused by leafs
    std::vector<std::pair<send_id, millis>> cancels;
    std::vector<verdict_action> verdicts;
    std::string caller = "caller";
    /** Whether a leaf that runs the exchange ends some time after it has begun. */
    std::function<bool(exchange_id)> endsLeafs = [](exchange_id) { return false; };
    millis endsAfter {30};
    millis workInVain; ///< of slots, on what came after its answer was given or was never finished

private:
    void act()
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
                } else if (const auto *verdict = std::get_if<verdict_action>(&action)) {
                    verdicts.push_back(*verdict);
                }
            }
        }
    }

    void onSend(const send_action &sent)
    {
        const std::string id = sent.to->entry.id;
        const fake_behaviour behaviour = behaviours.at(id);
        const send_id send = sent.id;
        if (behaviour.refusesConnections) {
            later(millis(0.2), [this, send] { engine.onSendFailed(send, send_failure::NotSent, now); });
            return;
        }
        arrivals.push_back({id, sent.exchange, now});
        std::vector<millis> &slots = m_slots[id];
        std::erase_if(slots, [this](millis end) { return end <= now; });
        const bool full = behaviour.slots > 0 && slots.size() >= behaviour.slots + behaviour.queue;
        const bool byChance = behaviour.refusesShare > 0 && m_random.uniform() < behaviour.refusesShare;
        if (behaviour.refuses || behaviour.wrongInstance || full || byChance) {
            refuse(send, millis(0.4), behaviour, slots.size());
            return;
        }
        const millis wait = waitForSlot(slots, behaviour);
        if (now + wait >= sent.deadline) {
            refuse(send, sent.deadline - now, behaviour, slots.size());
            return;
        }
        runs.push_back({id, sent.exchange, now});
        if (behaviour.silent) {
            return;
        }
        m_atWork[id].push_back(send);
        if (endsLeafs(sent.exchange) && now + wait + endsAfter <= sent.deadline) {
            later(wait + endsAfter, [this, id] { endLeaf(id); });
            return;
        }
        const auto asked = m_workOf.find(sent.exchange);
        const millis usual = endsLeafs(sent.exchange) ? endsAfter : behaviour.work;
        const millis work = (asked == m_workOf.end() ? usual : asked->second) * behaviour.slower;
        const millis end = std::min(now + wait + work, sent.deadline);
        const bool finished = end == now + wait + work;
        slots.push_back(end);
        later(end - now, [this, send, id, behaviour, exchange = sent.exchange, finished, worked = end - now - wait] {
            if (m_ended.contains(id)) {
                return;
            }
            std::erase(m_atWork[id], send);
            workInVain = workInVain + (finished && !answers.contains(exchange) ? millis() : worked);
            if (behaviour.breaks) {
                engine.onSendFailed(send, send_failure::Broken, now);
                return;
            }
            gateway_reply reply;
            reply.status = finished ? behaviour.status : timedOutStatus;
            reply.stamp = behaviour.stamped && finished ? "stamp-" + id : "";
            if (behaviour.hostSlowdown || behaviour.tellsLoad) {
                reply.load = loadOf(id, behaviour);
            }
            reply.body = (id + std::string(recordBytes, '.')).substr(0, recordBytes);
            engine.onReply(send, std::move(reply), now);
        });
    }

    void refuse(send_id send, millis after, const fake_behaviour &behaviour, std::size_t waiting)
    {
        later(after, [this, send, behaviour, waiting] {
            gateway_reply reply;
            reply.status = behaviour.wrongInstance ? 421 : 503;
            reply.notRun = true;
            reply.wrongInstance = behaviour.wrongInstance;
            reply.load = leaf_load {behaviour.slots, static_cast<unsigned>(waiting), behaviour.slots, {}};
            engine.onReply(send, std::move(reply), now);
        });
    }

    leaf_load loadOf(const std::string &id, const fake_behaviour &behaviour)
    {
        if (!behaviour.tellsLoad) {
            return {0, 0, behaviour.slots, behaviour.hostSlowdown};
        }
        std::vector<millis> &slots = m_slots[id];
        std::erase_if(slots, [this](millis end) { return end <= now; });
        const auto atWork = static_cast<unsigned>(slots.size());
        const unsigned running = std::min(atWork, behaviour.slots);
        return {running, atWork - running, behaviour.slots, behaviour.hostSlowdown};
    }

    /** The slot that is free first serves next. */
    millis waitForSlot(std::vector<millis> slots, const fake_behaviour &behaviour) const
    {
        if (behaviour.slots == 0 || slots.size() < behaviour.slots) {
            return {};
        }
        std::ranges::sort(slots);
        return slots[slots.size() - behaviour.slots] - now;
    }

    void later(millis after, std::function<void()> what)
    {
        m_coming.emplace(now + after, std::move(what));
    }

    static fake_behaviour ordinary(fake_behaviour as)
    {
        as.refusesConnections = false;
        return as;
    }

    static constexpr unsigned timedOutStatus = 504;

    seeded_random m_random {11};
    std::map<exchange_id, millis> m_workOf;
    std::uint64_t m_version = 0;
    unsigned m_nextLeaf = 0;
    unsigned m_asked = 0;
    std::multimap<millis, std::function<void()>> m_coming;
    std::set<std::string> m_ended; ///< leafs whose process is gone
    std::map<std::string, std::vector<send_id>> m_atWork; ///< by leaf
    std::map<std::string, std::vector<millis>> m_slots; ///< when the requests at a leaf end
};

} // namespace chivelock::testing
