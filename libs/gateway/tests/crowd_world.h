#pragma once

/** @file Gateway engines that share the leafs of one service, and callers that come back once if refused. */

#include <gateway/gateway.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace chivelock::testing {

/** One caller: its first attempt, and the second one if the first was refused. */
struct crowd_caller {
    account_id account = 0;
    millis arrivedAt;
    millis work; ///< processing time at a leaf of usual speed
    std::string target;
    bool refused = false; ///< its first attempt was refused
    bool served = false;
    bool ended = false;
    millis endedAt;
    millis retryAfter; ///< of the first attempt
    std::string cause; ///< of the last answer
};

struct crowd_settings {
    std::size_t vms = 1;
    bool overload = true;
    bool pauses = false; ///< leafs pause for 100 ms every 2.4 s
    std::vector<double> leafSpeeds {1, 1, 1}; ///< one leaf in each of three zones
    unsigned slots = 3;
    unsigned queueLimit = 12;
    millis objective {250};
    millis timeout {2500};
    std::uint64_t seed = 1;
};

/** What callers got. */
struct crowd_stats {
    std::size_t callers = 0;
    std::size_t inTime = 0; ///< served at the first attempt within the objective
    std::size_t late = 0; ///< served at the first attempt after the objective
    std::size_t returned = 0; ///< refused, then served
    std::size_t returnedInTime = 0; ///< of these, within the objective since the first attempt
    std::size_t lost = 0;

    /** @return the mean value: a late answer counts half, a returned caller the mean of a half and its answer. */
    [[nodiscard]] double value() const
    {
        const double sum = static_cast<double>(inTime) + 0.5 * static_cast<double>(late)
            + 0.75 * static_cast<double>(returnedInTime) + 0.25 * static_cast<double>(returned - returnedInTime);
        return sum / static_cast<double>(std::max<std::size_t>(1, callers));
    }
};

class crowd_world
{
public:
    explicit crowd_world(crowd_settings settings = {})
        : m_settings(std::move(settings))
        , m_random(m_settings.seed)
    {
        for (std::size_t at = 0; at < m_settings.vms; ++at) {
            gateway_settings one;
            one.zone = zoneOf(at);
            one.scheduling.overload = m_settings.overload;
            m_engines.push_back(std::make_unique<gateway_engine>(std::move(one), at + m_settings.seed));
            m_engines.back()->setFleetSize(m_settings.vms);
            m_engines.back()->applyConfig(config());
        }
        for (std::size_t at = 0; at < m_settings.leafSpeeds.size(); ++at) {
            addLeaf(at);
        }
    }

    /** Callers arrive at random for @p time. */
    void load(double perSecond, millis time, account_id account = 0)
    {
        for (millis at = now + nextGap(perSecond); at < now + time; at = at + nextGap(perSecond)) {
            crowd_caller caller;
            caller.account = account;
            caller.arrivedAt = at;
            caller.work = millis(60 * (0.65 + 0.7 * m_random.uniform()));
            caller.target = "/one/" + std::to_string(callers.size());
            const std::size_t index = callers.size();
            callers.push_back(std::move(caller));
            m_events.emplace(at, [this, index] { attempt(index); });
        }
    }

    void runFor(millis time)
    {
        const millis end = now + time;
        while (true) {
            const auto earliest = std::ranges::min_element(m_engines, {}, [](const auto &e) { return e->nextDue(); });
            const millis event = m_events.empty() ? millis::never() : m_events.begin()->first;
            const millis next = std::min(event, (*earliest)->nextDue());
            if (next > end) {
                break;
            }
            now = std::max(now, next);
            if (event <= now) {
                const auto deliver = std::move(m_events.begin()->second);
                m_events.erase(m_events.begin());
                deliver();
            } else {
                (*earliest)->advance(now);
                performActions(static_cast<std::size_t>(earliest - m_engines.begin()));
            }
        }
        now = end;
    }

    [[nodiscard]] crowd_stats stats(const std::function<bool(const crowd_caller &)> &counts = [](const auto &) {
        return true;
    }) const
    {
        crowd_stats result;
        for (const crowd_caller &one : callers) {
            if (!counts(one)) {
                continue;
            }
            const bool inTime = one.served && one.endedAt - one.arrivedAt <= m_settings.objective;
            result.callers += 1;
            result.inTime += inTime && !one.refused ? 1 : 0;
            result.late += one.served && !inTime && !one.refused ? 1 : 0;
            result.returned += one.served && one.refused ? 1 : 0;
            result.returnedInTime += inTime && one.refused ? 1 : 0;
            result.lost += one.served ? 0 : 1;
        }
        return result;
    }

    [[nodiscard]] gateway_engine &engine(std::size_t vm = 0)
    {
        return *m_engines[vm];
    }

    millis now {10000};
    std::vector<crowd_caller> callers;
    std::size_t runsOfRefused = 0; ///< requests that a leaf got after they were refused with the promise not to run

private:
    struct simulated_leaf {
        std::string id;
        double speed = 1;
        std::vector<millis> slotEnds;
    };

    static constexpr millis hop {0.9};

    static zone_name zoneOf(std::size_t at)
    {
        constexpr std::size_t zones = 3;
        return {"zone" + std::to_string(at % zones)};
    }

    [[nodiscard]] gateway_config config() const
    {
        gateway_route route;
        route.name = "one";
        route.host = "h";
        route.pathPrefix = "/one/";
        route.idempotent = true;
        route.timeout = m_settings.timeout;
        route.objective = m_settings.objective;
        route.maxAttempts = 2;
        route.split = {{{"single"}, 1}};
        gateway_config result;
        result.version = 1;
        result.routes = {route};
        result.services = {{{"single"}, 410, 0}};
        return result;
    }

    void addLeaf(std::size_t at)
    {
        leaf_entry entry;
        entry.id = "single-" + std::to_string(at);
        entry.service = {"single"};
        entry.zone = zoneOf(at);
        entry.slots = m_settings.slots;
        std::ranges::for_each(m_engines, [&](const auto &one) { one->leafs().put(entry, now); });
        m_leafs[entry.id] = {entry.id, m_settings.leafSpeeds[at], {}};
    }

    millis nextGap(double perSecond)
    {
        return millis(-std::log(1 - m_random.uniform()) * 1000 / perSecond);
    }

    void schedule(millis after, std::function<void()> event)
    {
        m_events.emplace(now + after, std::move(event));
    }

    void attempt(std::size_t index)
    {
        const crowd_caller &caller = callers[index];
        caller_request request;
        request.id = std::to_string(index);
        request.host = "h";
        request.target = caller.target;
        request.callerTimeout = m_settings.timeout - (now - caller.arrivedAt);
        request.key = fingerprintOf({std::to_string(caller.account), "h", "GET", caller.target, ""});
        request.account = caller.account;
        const std::size_t vm = m_random.below(m_engines.size());
        const exchange_id id = m_engines[vm]->arrive(request, now);
        m_callerOf[{vm, id}] = index;
        performActions(vm);
    }

    void performActions(std::size_t vm)
    {
        gateway_engine &engine = *m_engines[vm];
        for (auto actions = engine.takeActions(); !actions.empty(); actions = engine.takeActions()) {
            for (const gateway_action &action : actions) {
                if (const auto *sent = std::get_if<send_action>(&action)) {
                    schedule(hop, [this, vm, one = *sent] { onSend(vm, one); });
                } else if (const auto *answer = std::get_if<answer_action>(&action)) {
                    onAnswer(vm, *answer);
                }
            }
        }
    }

    void onAnswer(std::size_t vm, const answer_action &answer)
    {
        constexpr millis back(1);
        const std::size_t index = m_callerOf.at({vm, answer.exchange});
        crowd_caller &caller = callers[index];
        caller.cause = answer.cause;
        const bool refused = answer.outcome == exchange_outcome::Refused;
        const millis left = m_settings.timeout - (now - caller.arrivedAt);
        if (refused) {
            m_refusedExchanges[{vm, answer.exchange}] = true;
        }
        if (refused && !caller.refused && answer.retryAfter <= left * (1.0 / 3)) {
            caller.refused = true;
            caller.retryAfter = answer.retryAfter;
            schedule(answer.retryAfter + back + back, [this, index] { attempt(index); });
            return;
        }
        caller.ended = true;
        caller.endedAt = now + back;
        caller.served = answer.outcome == exchange_outcome::Relayed && answer.reply.isSuccess();
    }

    void onSend(std::size_t vm, const send_action &sent)
    {
        runsOfRefused += m_refusedExchanges.contains({vm, sent.exchange}) ? 1 : 0;
        simulated_leaf &target = m_leafs.at(sent.to->entry.id);
        std::erase_if(target.slotEnds, [this](millis end) { return end <= now; });
        if (target.slotEnds.size() >= m_settings.slots + m_settings.queueLimit) {
            reply(vm, sent.id, target, true, hop);
            return;
        }
        const crowd_caller &caller = callers[m_callerOf.at({vm, sent.exchange})];
        const millis start = std::max(now, freeAt(target));
        const millis end = afterPauses(target, start, caller.work * (1 / target.speed));
        if (start >= sent.deadline) {
            reply(vm, sent.id, target, true, sent.deadline - now + hop);
            return;
        }
        target.slotEnds.push_back(end);
        reply(vm, sent.id, target, false, end - now + hop);
    }

    [[nodiscard]] millis freeAt(simulated_leaf &target) const
    {
        if (target.slotEnds.size() < m_settings.slots) {
            return now;
        }
        std::ranges::sort(target.slotEnds);
        return target.slotEnds[target.slotEnds.size() - m_settings.slots];
    }

    /** @return the end of the work; a leaf that pauses does nothing meanwhile. */
    [[nodiscard]] millis afterPauses(const simulated_leaf &target, millis start, millis work) const
    {
        constexpr double every = 2400;
        constexpr double length = 100;
        if (!m_settings.pauses) {
            return start + work;
        }
        const double offset = static_cast<double>(target.id.back() - '0') * every / 3;
        const double into = std::fmod(start.count() + offset, every);
        if (into >= every - length) {
            return start + millis(every - into) + work;
        }
        return start + work + (into + work.count() > every - length ? millis(length) : millis());
    }

    void reply(std::size_t vm, send_id id, const simulated_leaf &from, bool notRun, millis after)
    {
        schedule(after, [this, vm, id, &from, notRun] {
            const auto open =
                static_cast<unsigned>(std::ranges::count_if(from.slotEnds, [this](millis end) { return end > now; }));
            const unsigned running = std::min(open, m_settings.slots);
            gateway_reply answer;
            answer.status = notRun ? 503 : 200;
            answer.notRun = notRun;
            answer.stamp = notRun ? "" : "digest";
            answer.load = leaf_load {running, open - running, m_settings.slots, {}};
            m_engines[vm]->onReply(id, std::move(answer), now);
            performActions(vm);
        });
    }

    crowd_settings m_settings;
    seeded_random m_random;
    std::vector<std::unique_ptr<gateway_engine>> m_engines;
    std::map<std::string, simulated_leaf> m_leafs;
    std::multimap<millis, std::function<void()>> m_events;
    std::map<std::pair<std::size_t, exchange_id>, std::size_t> m_callerOf;
    std::map<std::pair<std::size_t, exchange_id>, bool> m_refusedExchanges;
};

} // namespace chivelock::testing
