#pragma once

/** @file Two gateway engines, one of which delegates shards to the other, and simulated leafs in virtual time. */

#include "gateway_world.h"

#include <array>

namespace chivelock::testing {

/** Fault that affects one message between the two VMs. */
enum class message_fault : std::uint8_t {
    None,
    Lost,
    Duplicated,
    Delayed, ///< by a large part of the objective
    DelayedPastAnswer, ///< until after the answer
    HelperKilled, ///< the helper restarts and its link is reset
    HelperPaused ///< for a large part of the objective
};

/** VM 0 receives the caller's requests; VM 1, the helper, is in the zone of the leafs. */
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

    /** @return the id of the new leaf. */
    std::string addLeaf(std::size_t shard, const std::string &zone)
    {
        leaf_entry entry;
        entry.id = gateway_world::shardName(shard) + "-" + std::to_string(m_nextLeafNumber++);
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

    void restartHelper()
    {
        m_vms[1] = std::make_unique<gateway_engine>(settingsOf("there"), 3);
    }

    exchange_id submit()
    {
        const request_fingerprint key = fingerprintOf({"caller", "h", "GET", "/all/x", ""});
        const exchange_id id = m_vms[0]->arrive({"q", "h", "/all/x", millis(600), {}, key}, now);
        performActions(0);
        return id;
    }

    void disconnectCaller(exchange_id id)
    {
        m_vms[0]->onCallerLeft(id, now);
        performActions(0);
    }

    void cutLink()
    {
        linkCut = true;
        m_vms[0]->onHelperLost("helper", now);
        performActions(0);
    }

    void runFor(millis time)
    {
        const millis end = now + time;
        while (true) {
            const millis nextEvent = m_scheduled.empty() ? millis::never() : m_scheduled.begin()->first;
            const millis helperDue = helperPaused ? millis::never() : m_vms[1]->nextDue();
            const millis next = std::min({nextEvent, m_vms[0]->nextDue(), helperDue});
            if (next > end) {
                break;
            }
            now = std::max(now, next);
            if (nextEvent <= now) {
                const auto first = m_scheduled.begin();
                const std::function<void()> deliver = first->second;
                m_scheduled.erase(first);
                deliver();
            }
            m_vms[0]->advance(now);
            performActions(0);
            if (!helperPaused) {
                m_vms[1]->advance(now);
                performActions(1);
            }
        }
        now = end;
    }

    [[nodiscard]] std::size_t maxRunsPerShard() const
    {
        std::map<std::string, std::size_t> counts;
        std::size_t most = 0;
        for (const std::string &id : runs) {
            most = std::max(most, ++counts[id.substr(0, id.find('-'))]);
        }
        return most;
    }

    millis now {10000};
    bool helperPaused = false;
    bool linkCut = false;
    std::map<std::string, fake_leaf_behaviour> behaviours;
    std::vector<std::string> runs; ///< the leaf's id for each request that a leaf started to run
    std::map<exchange_id, answer_action> answers;
    std::array<std::size_t, 2> sends {}; ///< by VM
    std::size_t cancels = 0;
    std::size_t messages = 0; ///< sent between the VMs so far
    std::size_t faultyMessage = ~std::size_t {0}; ///< index of the message that the fault affects
    message_fault faultKind = message_fault::None;

private:
    static constexpr millis linkDelay {1};
    static constexpr millis crashDelay {30};

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

    void scheduleIn(millis delay, std::function<void()> event)
    {
        m_scheduled.emplace(now + delay, std::move(event));
    }

    /** Messages to a paused VM wait until it resumes; those on a cut link are lost. */
    void postMessage(std::size_t to, std::function<void()> message)
    {
        if (linkCut) {
            return;
        }
        const message_fault fault = messages++ == faultyMessage ? faultKind : message_fault::None;
        const auto arrive = [this, to, message = std::move(message)] { deliver(to, message); };
        constexpr millis shortDelay(40);
        constexpr millis longDelay(400);
        if (fault == message_fault::HelperKilled) {
            restartHelper();
            scheduleIn(linkDelay, [this] {
                m_vms[0]->onHelperLost("helper", now);
                performActions(0);
            });
            return;
        }
        if (fault == message_fault::HelperPaused) {
            helperPaused = true;
            scheduleIn(shortDelay, [this] { helperPaused = false; });
        }
        if (fault == message_fault::Lost) {
            return;
        }
        scheduleIn(fault == message_fault::Delayed
                       ? shortDelay
                       : (fault == message_fault::DelayedPastAnswer ? longDelay : linkDelay),
                   arrive);
        if (fault == message_fault::Duplicated) {
            scheduleIn(linkDelay * 2, arrive);
        }
    }

    void deliver(std::size_t to, const std::function<void()> &message)
    {
        if (to == 1 && helperPaused) {
            scheduleIn(millis(5), [this, to, message] { deliver(to, message); });
            return;
        }
        message();
        performActions(to);
    }

    void performActions(std::size_t vm)
    {
        for (auto actions = m_vms[vm]->takeActions(); !actions.empty(); actions = m_vms[vm]->takeActions()) {
            for (gateway_action &action : actions) {
                std::visit([&](auto &one) { perform(vm, one); }, action);
            }
        }
        const std::vector<request_evidence> evidence = m_vms[vm]->takeRequestEvidence();
        if (!evidence.empty()) {
            const std::size_t other = 1 - vm;
            postMessage(other,
                        [this, other, evidence] { std::ignore = m_vms[other]->onRequestEvidence(evidence, now); });
        }
    }

    void perform(std::size_t vm, send_action &sent)
    {
        sends[vm] += 1;
        const std::string id = sent.to->entry.id;
        const fake_leaf_behaviour behaviour = behaviours.at(id);
        if (behaviour.refusesRequests) {
            scheduleIn(linkDelay, [this, vm, send = sent.id] {
                gateway_reply reply;
                reply.status = 503;
                reply.notRun = true;
                m_vms[vm]->onReply(send, std::move(reply), now);
                performActions(vm);
            });
            return;
        }
        if (m_crashed.contains(id)) {
            scheduleIn(linkDelay, [this, vm, send = sent.id] { failSend(vm, send, send_failure::NotSent); });
            return;
        }
        runs.push_back(id);
        if (behaviour.crashesOnRequest) {
            scheduleIn(crashDelay, [this, vm, id, send = sent.id] { crashLeaf(vm, id, send); });
            return;
        }
        if (behaviour.neverAnswers) {
            return;
        }
        if (behaviour.dropsConnection) {
            scheduleIn(linkDelay, [this, vm, send = sent.id] {
                m_vms[vm]->onSendFailed(send, send_failure::Broken, now);
                performActions(vm);
            });
            return;
        }
        scheduleIn(behaviour.processingTime, [this, vm, id, send = sent.id] {
            gateway_reply reply;
            reply.status = 200;
            reply.stamp = "digest-" + id;
            reply.body = (id + std::string(recordBytes, '.')).substr(0, recordBytes);
            m_vms[vm]->onReply(send, std::move(reply), now);
            performActions(vm);
        });
    }

    void failSend(std::size_t vm, send_id send, send_failure failure)
    {
        m_vms[vm]->onSendFailed(send, failure, now);
        performActions(vm);
    }

    /** The leaf restarts under the same id after the restart delay. */
    void crashLeaf(std::size_t vm, const std::string &id, send_id send)
    {
        constexpr millis restartDelay(1000);
        m_crashed.insert(id);
        scheduleIn(restartDelay, [this, id] { m_crashed.erase(id); });
        failSend(vm, send, send_failure::LeafCrashed);
    }

    void perform(std::size_t, const cancel_action &)
    {
        cancels += 1;
    }

    void perform(std::size_t, answer_action &answer)
    {
        answers[answer.exchange] = std::move(answer);
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

    void perform(std::size_t, const delegate_action &action)
    {
        postMessage(1, [this, action] {
            if (!m_accepted.contains(action.id)) { // the daemon also ignores a repeated delegation
                m_accepted[action.id] = m_vms[1]->acceptDelegatedWork("q", action.work, now);
            }
        });
    }

    void perform(std::size_t, const delegate_cancel_action &action)
    {
        postMessage(1, [this, action] {
            if (action.survived) {
                m_vms[1]->onSurvived(m_accepted[action.id]);
            }
            if (action.callerLeft) {
                m_vms[1]->onCallerLeft(m_accepted[action.id], now);
            } else {
                m_vms[1]->onDelegationCancelled(m_accepted[action.id], now);
            }
        });
    }

    void perform(std::size_t, const progress_action &action)
    {
        // The engine may emit progress before acceptDelegatedWork() has returned the id of the exchange; it is looked
        // up when the message is delivered.
        postMessage(0, [this, action] {
            for (const auto &[delegation, exchange] : m_accepted) {
                if (exchange == action.exchange) {
                    m_vms[0]->onProgress(delegation, action.progress, now);
                    return;
                }
            }
        });
    }

    std::array<std::unique_ptr<gateway_engine>, 2> m_vms;
    std::set<std::string> m_crashed; ///< leafs whose process has ended and has not restarted yet
    unsigned m_nextLeafNumber = 0;
    std::multimap<millis, std::function<void()>> m_scheduled;
    std::map<delegation_id, exchange_id> m_accepted;
};

} // namespace chivelock::testing
