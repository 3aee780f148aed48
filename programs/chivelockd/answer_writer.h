#pragma once

#include "events.h"

#include <kernel/kernel.h>
#include <metrics/metrics.h>
#include <settings/settings.h>

#include <atomic>
#include <thread>

namespace chivelock {

class caller_http;
class decision_service;

/** Sends answers and pages to callers, records the metrics of lookups, and logs one line for each lookup if
 *  daemon_settings::logAnswers is set. */
class answer_writer : public kernel_service
{
public:
    static constexpr std::string_view serviceName = "answer_writer";

    explicit answer_writer(const daemon_settings &settings);

    [[nodiscard]] std::string_view name() const override
    {
        return serviceName;
    }

    void connect(kernel &services) override;
    [[nodiscard]] tl::expected<void, kernel_error> start() override;
    void stop() override;

    [[nodiscard]] bool offer(answer_item &&item)
    {
        return m_ring.push(std::move(item));
    }

private:
    struct item_handler;

    void run();
    void logAnswer(const lookup_answer &answer) const;

    const daemon_settings &m_settings;
    bounded_ring<answer_item> m_ring;
    lookup_metrics m_metrics;
    caller_http *m_http = nullptr;
    decision_service *m_decision = nullptr;
    std::atomic<bool> m_stopThread = false;
    std::thread m_thread;
};

} // namespace chivelock
