#pragma once

/** @file One gateway engine that delegates all shards of a lookup; the tests make up the reports of the helpers. */

#include "gateway_world.h"

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace chivelock::testing {

class delegating_vm
{
public:
    static constexpr std::uint32_t shards = 6;

    explicit delegating_vm(std::size_t helpers)
        : m_engine(settings(), 1)
    {
        gateway_config config;
        config.version = 1;
        config.routes = {gateway_world::gatherRoute(shards, 0)};
        config.routes.front().topRecords = std::size_t {2} * shards; // so that no record is cut off
        for (const service_name &shard : config.routes.front().shards) {
            config.services.push_back({shard, 100});
            addLeaf(shard);
            addLeaf(shard);
        }
        m_engine.applyConfig(std::move(config));
        std::vector<helper_vm> vms;
        for (std::size_t at = 0; at < helpers; ++at) {
            vms.push_back({"helper" + std::to_string(at), {"there"}, at});
        }
        m_engine.setHelpers(std::move(vms), 0);
        const request_fingerprint key = fingerprintOf({"caller", "h", "GET", "/all/x", ""});
        m_engine.arrive({"q", "h", "/all/x", millis(600), {}, key}, now);
        performActions();
    }

    /** Lets time pass until the helper of the first delegation is late and second leafs have been asked. */
    void runUntilHedged()
    {
        while (delegations.size() + sends.size() < 2) {
            advanceBy(millis(1));
        }
    }

    void runUntilAnswered()
    {
        while (!answer) {
            advanceBy(millis(1));
        }
    }

    /** @return the name of the part that @p source delivers of the shard; the part's record and digest contain it. */
    static std::string partName(std::uint32_t shard, const std::string &source)
    {
        return gateway_world::shardName(shard) + "-" + source;
    }

    static std::string stampOf(const std::string &part)
    {
        return "digest-" + part;
    }

    static std::string recordOf(const std::string &part)
    {
        return (part + std::string(recordBytes, '.')).substr(0, recordBytes);
    }

    static delegated_progress reportOf(const std::vector<std::uint32_t> &shardsIn, const std::string &source)
    {
        delegated_progress report;
        for (const std::uint32_t shard : shardsIn) {
            report.parts.push_back({shard, stampOf(partName(shard, source))});
            report.records += recordOf(partName(shard, source));
        }
        return report;
    }

    static delegated_progress lossOf(const std::vector<std::uint32_t> &shardsIn)
    {
        delegated_progress report;
        std::ranges::for_each(shardsIn, [&](std::uint32_t shard) {
            report.lost.push_back({shard, false, true, false, {}});
        });
        return report;
    }

    void report(std::size_t delegation, delegated_progress progress)
    {
        m_engine.onProgress(delegations.at(delegation).id, std::move(progress), now);
        performActions();
    }

    /** The leaf of one of this VM's own sends answers. */
    void reply(std::size_t send)
    {
        const std::string &service = sends.at(send).to->entry.service.value;
        gateway_reply reply;
        reply.status = 200;
        reply.stamp = stampOf(service + "-own");
        reply.body = recordOf(service + "-own");
        m_engine.onReply(sends.at(send).id, std::move(reply), now);
        performActions();
    }

    void failSend(std::size_t send)
    {
        m_engine.onSendFailed(sends.at(send).id, send_failure::Broken, now);
        performActions();
    }

    /** @return how often a leaf of the shard was asked, by a helper or by this VM. */
    [[nodiscard]] std::size_t timesAsked(std::uint32_t shard) const
    {
        const service_name service {gateway_world::shardName(shard)};
        const auto delegated = std::ranges::count_if(delegations, [&](const delegate_action &one) {
            return std::ranges::find(one.work.shards, service) != one.work.shards.end();
        });
        const auto sent =
            std::ranges::count_if(sends, [&](const send_action &one) { return one.to->entry.service == service; });
        return static_cast<std::size_t>(delegated + sent);
    }

    /** @return whether the answer holds exactly the records of the parts that it names, and names no shard twice. */
    [[nodiscard]] bool isAnswerConsistent() const
    {
        std::vector<std::string> named;
        std::set<std::string> shardsNamed;
        for (const std::string &stamp : answer->stamps) {
            const std::string part = stamp.substr(std::min(stamp.size(), stampOf("").size()));
            named.push_back(recordOf(part));
            shardsNamed.insert(part.substr(0, part.find('-')));
        }
        std::vector<std::string> held;
        for (std::size_t at = 0; at < answer->body.size(); at += recordBytes) {
            held.push_back(answer->body.substr(at, recordBytes));
        }
        std::ranges::sort(named);
        std::ranges::sort(held);
        return named == held && shardsNamed.size() == answer->stamps.size();
    }

    millis now {10000};
    std::vector<delegate_action> delegations;
    std::vector<send_action> sends;
    std::optional<answer_action> answer;

private:
    static gateway_settings settings()
    {
        gateway_settings settings;
        settings.zone = {"here"};
        settings.retrySlack = 1000;
        return settings;
    }

    void addLeaf(const service_name &shard)
    {
        leaf_entry entry;
        entry.id = shard.value + "-" + std::to_string(m_nextLeafNumber++);
        entry.service = shard;
        entry.zone = {"there"};
        entry.slots = 2;
        m_engine.leafs().put(entry, now);
    }

    void advanceBy(millis time)
    {
        now = now + time;
        m_engine.advance(now);
        performActions();
    }

    void performActions()
    {
        for (gateway_action &action : m_engine.takeActions()) {
            if (auto *work = std::get_if<delegate_action>(&action)) {
                delegations.push_back(std::move(*work));
            } else if (auto *sent = std::get_if<send_action>(&action)) {
                sends.push_back(std::move(*sent));
            } else if (auto *answered = std::get_if<answer_action>(&action)) {
                answer = std::move(*answered);
            }
        }
    }

    gateway_engine m_engine;
    unsigned m_nextLeafNumber = 0;
};

} // namespace chivelock::testing
