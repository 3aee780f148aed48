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
    m_stopThread = true;
    m_thread.join();
}

/** Passes each event to the core. */
struct decision_service::event_handler {
    decision_service &service;
    millis now;

    void operator()(lookup_received &event) const
    {
        event.request.remaining = event.request.remaining - (now - event.receivedAt);
        service.m_core.onLookup(event.request, now, service.m_actions);
    }

    void operator()(const peer_message_received &event) const
    {
        service.m_core.onPeer(event.envelope, now, service.m_actions);
    }

    void operator()(const peer_unreachable &event) const
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
        switch (event.document) {
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

    void operator()(const report_requested &event) const
    {
        service.sendReport(event, now);
    }

    void operator()(const stop_requested & /*event*/) const
    {
        logEvent(log_level::Info, "stop_began", {});
        service.m_stopping = true;
        service.m_core.beginStop(now, service.m_actions);
    }
};

/** Passes each action to the service that executes it. */
struct decision_service::action_handler {
    decision_service &service;

    void operator()(caller_answer &action) const
    {
        // The ring's capacity exceeds the maximum number of waiting callers, so the ring is never full.
        require(service.m_answers->offer(std::move(action)), "the answer ring has room for every waiting caller");
    }

    void operator()(peer_send &action) const
    {
        const vm_id to = action.to;
        if (!service.m_peers->offer(std::move(action))) {
            // The message is dropped. The peer is reported as unreachable, because the core would otherwise wait for a
            // reply that cannot come.
            (void)service.offer(peer_unreachable {to});
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
        // If the ring is full, the cancel is dropped: the request keeps running at the leaf, and its reply is ignored.
        (void)service.m_leafs->offer(leaf_cancel_command {action});
    }

    void operator()(const leaf_probe &action) const
    {
        if (const std::optional<leaf_endpoint> endpoint = service.endpointOf(action.leaf)) {
            // If the ring is full, the probe is dropped; the core sends another one later.
            (void)service.m_leafs->offer(leaf_probe_command {action, *endpoint});
        }
    }

    void operator()(const topology_refresh & /*action*/) const
    {
        service.m_platform->retryNow();
    }

    void operator()(const publication_verdict &action) const
    {
        const bool accepted = action.verdict == "accepted";
        logEvent(accepted ? log_level::Info : log_level::Error,
                 "publication",
                 {{"document", action.document}, {"verdict", action.verdict}, {"detail", action.detail}});
    }

    void operator()(const stop_finished & /*action*/) const
    {
        (void)service.m_finished.push(finished_signal {});
    }
};

void decision_service::run()
{
    while (!m_stopThread) {
        waitForEvents();
        m_ring.drain([this](decision_event &&event) {
            const millis now = m_clock.now();
            std::visit([&](auto &alternative) { event_handler {*this, now}(alternative); }, event);
            executeActions();
        });
        const millis now = m_clock.now();
        if (m_core.nextWake() <= now) {
            m_core.tick(now, m_actions);
            executeActions();
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

void decision_service::executeActions()
{
    // Executing an action can pass an event back to the core, such as a call that could not be sent. The core may then
    // add actions, so the loop runs until there are none left.
    while (!m_actions.empty()) {
        entry_core::actions pending = std::exchange(m_actions, {});
        for (entry_action &action : pending) {
            std::visit(action_handler {*this}, action);
        }
    }
}

void decision_service::sendReport(const report_requested &request, millis now)
{
    if (request.kind == report_kind::Metrics) {
        (void)m_answers->offer(
            metrics_page {request.caller, m_core.runnerCounters(), m_core.rootCounters(), m_core.status(now)});
        return;
    }
    (void)m_answers->offer(writeReport(request, m_core, now));
}

std::optional<leaf_endpoint> decision_service::endpointOf(leaf_id leaf) const
{
    const leaf_info *info = m_core.topology() ? m_core.topology()->findLeaf(leaf) : nullptr;
    return info != nullptr ? std::optional(leaf_endpoint {info->address, info->port}) : std::nullopt;
}

} // namespace chivelock
