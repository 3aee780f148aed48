#pragma once

/** @file Two engines, one of which hands shards to the other, among fake leafs in virtual time. */

#include "gateway_world.h"

#include <array>

namespace chivelock::testing {

/** What becomes of one message between the two VMs. */
enum class message_fault : std::uint8_t {
    None,
    Lost,
    Doubled,
    Late, ///< by much of the objective
    VeryLate, ///< after the answer
    HelperKilled, ///< and started again, with its link
    HelperFrozen ///< for much of the objective
};

/** VM 0 takes the caller's requests; VM 1 is near the leafs. */
class two_vms
{
public:
    static constexpr std::size_t shards = 6;

    two_vms()
        : m_vms {std::make_unique<gateway_engine>(settingsOf("here"), 1),
                 std::make_unique<gateway_engine>(settingsOf("there"), 2)}
    {
        for (std::size_t vm = 0; vm < m_vms.size(); ++vm) {
            publishTo(vm);
        }
        for (std::size_t shard = 0; shard < shards; ++shard) {
            addLeaf(shard, "there");
            addLeaf(shard, "there");
        }
        m_vms[0]->setHelpers({{"helper", {"there"}, 0}}, 0);
    }

    /** @return the id of the leaf. */
    std::string addLeaf(std::size_t shard, const std::string &zone)
    {
        leaf_entry entry;
        entry.id = gateway_world::shardName(shard) + "-" + std::to_string(m_nextLeaf++);
        entry.service = {gateway_world::shardName(shard)};
        entry.zone = {zone};
        entry.slots = 2;
        for (const auto &vm : m_vms) {
            vm->leafs().put(entry, now);
        }
        behaviours[entry.id] = {};
        return entry.id;
    }

    gateway_engine &engineOf(std::size_t vm)
    {
        return *m_vms[vm];
    }

    void replaceHelper()
    {
        m_vms[1] = std::make_unique<gateway_engine>(settingsOf("there"), 3);
    }

    exchange_id ask()
    {
        const request_fingerprint key = fingerprintOf({"caller", "h", "GET", "/all/x", ""});
        const exchange_id id = m_vms[0]->arrive({"q", "h", "/all/x", millis(600), {}, key}, now);
        act(0);
        return id;
    }

    void leave(exchange_id id)
    {
        m_vms[0]->onCallerLeft(id, now);
        act(0);
    }

    void loseLink()
    {
        linkCut = true;
        m_vms[0]->onHelperLost("helper", now);
        act(0);
    }

    void run(millis time)
    {
        const millis end = now + time;
        while (true) {
            const millis coming = m_coming.empty() ? millis::never() : m_coming.begin()->first;
            const millis helperDue = helperFrozen ? millis::never() : m_vms[1]->nextDue();
            const millis next = std::min({coming, m_vms[0]->nextDue(), helperDue});
            if (next > end) {
                break;
            }
            now = std::max(now, next);
            if (coming <= now) {
                const auto first = m_coming.begin();
                const std::function<void()> deliver = first->second;
                m_coming.erase(first);
                deliver();
            }
            m_vms[0]->advance(now);
            act(0);
            if (!helperFrozen) {
                m_vms[1]->advance(now);
                act(1);
            }
        }
        now = end;
    }

    [[nodiscard]] std::size_t mostRunsOfOneShard() const
    {
        std::map<std::string, std::size_t> counts;
        std::size_t most = 0;
        for (const std::string &id : runs) {
            most = std::max(most, ++counts[id.substr(0, id.find('-'))]);
        }
        return most;
    }

    millis now {10000};
    bool helperFrozen = false;
    bool linkCut = false;
    std::map<std::string, fake_behaviour> behaviours;
    std::vector<std::string> runs; ///< ids of leafs that began to work
    std::map<exchange_id, answer_action> answers;
    std::array<std::size_t, 2> sends {}; ///< by each VM
    std::size_t cancels = 0;
    std::size_t messages = 0; ///< between the VMs so far
    std::size_t faultAt = ~std::size_t {0}; ///< the message that meets with the fault
    message_fault faultThen = message_fault::None;

private:
    static constexpr millis hop {1};
    static constexpr millis endsAfter {30};

    static gateway_settings settingsOf(const std::string &zone)
    {
        gateway_settings settings;
        settings.zone = {zone};
        settings.retrySlack = 1000;
        return settings;
    }

    void publishTo(std::size_t vm)
    {
        gateway_config config;
        config.version = 1;
        config.routes = {gateway_world::gatherRoute(shards, 0.8)};
        for (const service_name &shard : config.routes.front().shards) {
            config.services.push_back({shard, 100});
        }
        m_vms[vm]->applyConfig(std::move(config));
        m_vms[vm]->setFleetSize(2);
    }

    void later(millis after, std::function<void()> what)
    {
        m_coming.emplace(now + after, std::move(what));
    }

    /** Messages to a frozen VM wait for it; those on a cut link are lost. */
    void post(std::size_t to, std::function<void()> what)
    {
        if (linkCut) {
            return;
        }
        const message_fault fault = messages++ == faultAt ? faultThen : message_fault::None;
        const auto arrive = [this, to, what = std::move(what)] { deliver(to, what); };
        constexpr millis late(40);
        constexpr millis veryLate(400);
        if (fault == message_fault::HelperKilled) {
            replaceHelper();
            later(hop, [this] {
                m_vms[0]->onHelperLost("helper", now);
                act(0);
            });
            return;
        }
        if (fault == message_fault::HelperFrozen) {
            helperFrozen = true;
            later(late, [this] { helperFrozen = false; });
        }
        if (fault == message_fault::Lost) {
            return;
        }
        later(fault == message_fault::Late ? late : (fault == message_fault::VeryLate ? veryLate : hop), arrive);
        if (fault == message_fault::Doubled) {
            later(hop * 2, arrive);
        }
    }

    void deliver(std::size_t to, const std::function<void()> &what)
    {
        if (to == 1 && helperFrozen) {
            later(millis(5), [this, to, what] { deliver(to, what); });
            return;
        }
        what();
        act(to);
    }

    void act(std::size_t vm)
    {
        for (auto actions = m_vms[vm]->takeActions(); !actions.empty(); actions = m_vms[vm]->takeActions()) {
            for (gateway_action &action : actions) {
                std::visit([&](auto &one) { perform(vm, one); }, action);
            }
        }
        const std::vector<request_evidence> news = m_vms[vm]->takeRequestNews();
        if (!news.empty()) {
            const std::size_t other = 1 - vm;
            post(other, [this, other, news] { std::ignore = m_vms[other]->onRequestNews(news, now); });
        }
    }

    void perform(std::size_t vm, send_action &sent)
    {
        sends[vm] += 1;
        const std::string id = sent.to->entry.id;
        const fake_behaviour behaviour = behaviours.at(id);
        if (behaviour.refuses) {
            later(hop, [this, vm, send = sent.id] {
                gateway_reply reply;
                reply.status = 503;
                reply.notRun = true;
                m_vms[vm]->onReply(send, std::move(reply), now);
                act(vm);
            });
            return;
        }
        if (m_ended.contains(id)) {
            later(hop, [this, vm, send = sent.id] { fail(vm, send, send_failure::NotSent); });
            return;
        }
        runs.push_back(id);
        if (behaviour.endsUnder) {
            later(endsAfter, [this, vm, id, send = sent.id] { endLeaf(vm, id, send); });
            return;
        }
        if (behaviour.silent) {
            return;
        }
        if (behaviour.breaks) {
            later(hop, [this, vm, send = sent.id] {
                m_vms[vm]->onSendFailed(send, send_failure::Broken, now);
                act(vm);
            });
            return;
        }
        later(behaviour.work, [this, vm, id, send = sent.id] {
            gateway_reply reply;
            reply.status = 200;
            reply.stamp = "stamp-" + id;
            reply.body = (id + std::string(recordBytes, '.')).substr(0, recordBytes);
            m_vms[vm]->onReply(send, std::move(reply), now);
            act(vm);
        });
    }

    void fail(std::size_t vm, send_id send, send_failure failure)
    {
        m_vms[vm]->onSendFailed(send, failure, now);
        act(vm);
    }

    /** It is back, under the same id, after a while. */
    void endLeaf(std::size_t vm, const std::string &id, send_id send)
    {
        constexpr millis backAfter(1000);
        m_ended.insert(id);
        later(backAfter, [this, id] { m_ended.erase(id); });
        fail(vm, send, send_failure::LeafEnded);
    }

    void perform(std::size_t, const cancel_action &)
    {
        cancels += 1;
    }

    void perform(std::size_t, answer_action &answer)
    {
        answers[answer.exchange] = std::move(answer);
    }

    void perform(std::size_t, const note_action &)
    {
    }

    void perform(std::size_t, const asked_action &)
    {
    }

    void perform(std::size_t, const verdict_action &)
    {
    }

    void perform(std::size_t, const delegate_action &action)
    {
        post(1, [this, action] {
            if (!m_taken.contains(action.id)) { // as the daemon does
                m_taken[action.id] = m_vms[1]->arriveDelegated("q", action.work, now);
            }
        });
    }

    void perform(std::size_t, const delegate_cancel_action &action)
    {
        post(1, [this, action] {
            if (action.survived) {
                m_vms[1]->onSurvived(m_taken[action.id]);
            }
            if (action.callerLeft) {
                m_vms[1]->onCallerLeft(m_taken[action.id], now);
            } else {
                m_vms[1]->onUnneeded(m_taken[action.id], now);
            }
        });
    }

    void perform(std::size_t, const progress_action &action)
    {
        // The engine may answer before it has told its number: the last one handed over is meant.
        post(0, [this, action] {
            for (const auto &[delegation, exchange] : m_taken) {
                if (exchange == action.exchange) {
                    m_vms[0]->onProgress(delegation, action.progress, now);
                    return;
                }
            }
        });
    }

    std::array<std::unique_ptr<gateway_engine>, 2> m_vms;
    std::set<std::string> m_ended; ///< leafs whose process is gone for now
    unsigned m_nextLeaf = 0;
    std::multimap<millis, std::function<void()>> m_coming;
    std::map<delegation_id, exchange_id> m_taken;
};

} // namespace chivelock::testing
