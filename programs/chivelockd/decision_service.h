#pragma once

#include "events.h"

#include <kernel/kernel.h>
#include <settings/settings.h>

#include <atomic>
#include <thread>

namespace chivelock {

class answer_writer;
class leaf_client;
class peer_link;
class platform_watch;

/**
 * Runs the decision core on a thread of its own. The other services send it events through a ring and execute the
 * core's actions. This thread never waits for another one: if the ring of a service is full, the action fails in the
 * way that its handler in decision_service.cpp states.
 */
class decision_service : public kernel_service
{
public:
    static constexpr std::string_view serviceName = "decision";

    explicit decision_service(const daemon_settings &settings);

    [[nodiscard]] std::string_view name() const override
    {
        return serviceName;
    }

    void connect(kernel &services) override;
    [[nodiscard]] tl::expected<void, kernel_error> start() override;
    void stop() override;

    /** Queues an event; callable from any thread. @return false if the ring is full. */
    [[nodiscard]] bool offer(decision_event &&event)
    {
        return m_ring.push(std::move(event));
    }

    /** Whether a planned stop has begun. Answers then ask callers to close their connections. */
    [[nodiscard]] bool isStopping() const
    {
        return m_stopping;
    }

    /** File descriptor that becomes readable when the core has finished its planned stop. */
    [[nodiscard]] int finishedFd() const
    {
        return m_finished.wakeFd();
    }

private:
    struct event_handler;
    struct action_handler;
    struct finished_signal {
    };

    void run();
    void waitForEvents() const;
    void executeActions();
    void sendReport(const report_requested &request, millis now);
    [[nodiscard]] std::optional<leaf_endpoint> endpointOf(leaf_id leaf) const;

    steady_clock m_clock;
    bounded_ring<decision_event> m_ring;
    bounded_ring<finished_signal> m_finished {8};
    entry_core m_core;
    entry_core::actions m_actions;
    answer_writer *m_answers = nullptr;
    leaf_client *m_leafs = nullptr;
    peer_link *m_peers = nullptr;
    platform_watch *m_platform = nullptr;
    std::atomic<bool> m_stopping = false;
    std::atomic<bool> m_stopThread = false;
    std::thread m_thread;
};

} // namespace chivelock
