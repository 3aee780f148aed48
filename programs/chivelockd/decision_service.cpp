#include "decision_service.h"

#include "answer_writer.h"
#include "leaf_client.h"
#include "peer_link.h"
#include "platform_watch.h"
#include "reports.h"

#include <poll.h>

#include <algorithm>

namespace chivelock {

decision_service::decision_service(const daemon_settings &settings)
    : m_ring(settings.ringCapacity)
    , m_core(settings.entry)
{
}

void decision_service::connect(kernel &services)
{
    m_answers = &services.find<answer_writer>(answer_writer::serviceName);
    m_leafs = &services.find<leaf_client>(leaf_client::serviceName);
    m_peers = &services.find<peer_link>(peer_link::serviceName);
    m_platform = &services.find<platform_watch>(platform_watch::serviceName);
}

tl::expected<void, kernel_error> decision_service::start()
{
    m_thread = std::thread([this] { run(); });
    return {};
}

void decision_service::stop()
{
    m_end = true;
    m_thread.join();
}

/** Hands each event to the core. */
struct decision_service::event_handler {
    decision_service &service;
    millis now;

    void operator()(lookup_arrived &event) const
    {
        event.request.remaining = event.request.remaining - (now - event.at);
        service.m_core.onLookup(event.request, now, service.m_actions);
    }

    void operator()(const peer_arrived &event) const
    {
        service.m_core.onPeer(event.envelope, now, service.m_actions);
    }

    void operator()(const peer_lost &event) const
    {
        service.m_core.onPeerUnreachable(event.vm, now, service.m_actions);
    }

    void operator()(const leaf_reply &event) const
    {
        service.m_core.onLeafReply(event, now, service.m_actions);
    }

    void operator()(const health_report &event) const
    {
        service.m_core.onHealth(event, now, service.m_actions);
    }

    void operator()(const document_read &event) const
    {
        switch (event.which) {
        case platform_document::Catalogue:
            service.m_core.onCatalogueText(event.text, now, service.m_actions);
            break;
        case platform_document::Topology:
            service.m_core.onTopologyText(event.text, now, service.m_actions);
            break;
        case platform_document::VmList:
            service.m_core.onVmListText(event.text, now, service.m_actions);
            (void)service.m_peers->offer(peers_changed {service.m_core.vmList().vms});
            break;
        }
    }

    void operator()(const report_wanted &event) const
    {
        service.report(event, now);
    }

    void operator()(const stop_wanted & /*event*/) const
    {
        logEvent(log_level::Info, "stop_began", {});
        service.m_stopping = true;
        service.m_core.beginStop(now, service.m_actions);
    }
};

/** Hands each action to the thread whose duty it is. */
struct decision_service::action_handler {
    decision_service &service;

    void operator()(caller_answer &action) const
    {
        // The ring holds more than the callers that can be waiting, so an answer is never without room.
        require(service.m_answers->offer(std::move(action)), "the answer ring holds every waiting caller");
    }

    void operator()(peer_send &action) const
    {
        const vm_id to = action.to;
        if (!service.m_peers->offer(std::move(action))) {
            // The message is lost as if the peer could not be reached; the core must hear it, or it waits in vain.
            (void)service.offer(peer_lost {to});
        }
    }

    void operator()(leaf_call &action) const
    {
        leaf_reply refused;
        refused.id = action.id;
        refused.status = call_status::NotSent;
        refused.shard = action.shard;
        const std::optional<leaf_endpoint> endpoint = service.endpointOf(action.leaf);
        if (!endpoint || !service.m_leafs->offer(leaf_call_command {std::move(action), *endpoint})) {
            service.m_core.onLeafReply(refused, service.m_clock.now(), service.m_actions);
        }
    }

    void operator()(const leaf_cancel &action) const
    {
        // Lost in a full ring, the request only runs on at the leaf; its reply is dropped.
        (void)service.m_leafs->offer(leaf_cancel_command {action});
    }

    void operator()(const leaf_probe &action) const
    {
        if (const std::optional<leaf_endpoint> endpoint = service.endpointOf(action.leaf)) {
            (void)service.m_leafs->offer(leaf_probe_command {action, *endpoint}); // A lost probe is sent again.
        }
    }

    void operator()(const topology_wanted & /*action*/) const
    {
        service.m_platform->hurry();
    }

    void operator()(const publication_noted &action) const
    {
        const bool accepted = action.verdict == "accepted";
        logEvent(accepted ? log_level::Info : log_level::Error,
                 "publication",
                 {{"document", action.document}, {"verdict", action.verdict}, {"detail", action.detail}});
    }

    void operator()(const stop_finished & /*action*/) const
    {
        (void)service.m_finished.push(finished_mark {});
    }
};

void decision_service::run()
{
    while (!m_end) {
        waitForEvents();
        m_ring.drain([this](decision_event &&event) {
            const millis now = m_clock.now();
            std::visit([&](auto &held) { event_handler {*this, now}(held); }, event);
            carryOut();
        });
        const millis now = m_clock.now();
        if (m_core.nextWake() <= now) {
            m_core.tick(now, m_actions);
            carryOut();
        }
    }
}

void decision_service::waitForEvents() const
{
    const millis now = m_clock.now();
    const std::int64_t wait = std::max<std::int64_t>(0, (m_core.nextWake() - now).micros());
    constexpr std::int64_t microsPerSecond = 1000000;
    constexpr std::int64_t nanosPerMicro = 1000;
    const timespec timeout {wait / microsPerSecond, wait % microsPerSecond * nanosPerMicro};
    pollfd readable {m_ring.wakeFd(), POLLIN, 0};
    ppoll(&readable, 1, &timeout, nullptr);
}

void decision_service::carryOut()
{
    // Carrying out may itself give the core events (a refused call), which add actions.
    while (!m_actions.empty()) {
        entry_core::actions pending = std::exchange(m_actions, {});
        for (entry_action &action : pending) {
            std::visit(action_handler {*this}, action);
        }
    }
}

void decision_service::report(const report_wanted &wanted, millis now)
{
    if (wanted.kind == report_kind::Metrics) {
        (void)m_answers->offer(
            metrics_page {wanted.caller, m_core.runnerCounters(), m_core.rootCounters(), m_core.status(now)});
        return;
    }
    (void)m_answers->offer(writeReport(wanted, m_core, now));
}

std::optional<leaf_endpoint> decision_service::endpointOf(leaf_id leaf) const
{
    const leaf_info *info = m_core.topology() ? m_core.topology()->findLeaf(leaf) : nullptr;
    return info != nullptr ? std::optional(leaf_endpoint {info->address, info->port}) : std::nullopt;
}

} // namespace chivelock
