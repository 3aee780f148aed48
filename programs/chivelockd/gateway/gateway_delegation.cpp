/** @file The gateway's handling of work that one VM delegates to another. */

#include "gateway_service.h"

#include "pending_request.h"

#include <algorithm>

namespace chivelock {

void gateway_service::perform(delegate_action action)
{
    const auto found = m_pendingRequests.find(action.exchange);
    if (found == m_pendingRequests.end()) {
        return;
    }
    m_counts.delegationsSent += 1;
    delegate_request request;
    request.id = action.id;
    request.requestId = found->second.requestId;
    request.beforeTime = found->second.text->beforeTime;
    request.afterTime = found->second.text->afterTime;
    request.toHead = found->second.toHead;
    request.work = std::move(action.work);
    if (!m_helperLinks->delegate(action.helper, request)) {
        m_engine.onHelperLost(action.helper, m_clock.now());
    }
}

void gateway_service::perform(const delegate_cancel_action &action)
{
    m_helperLinks->cancel(action.helper, {action.id, action.callerLeft, action.survived});
}

void gateway_service::perform(progress_action action)
{
    const auto found = m_pendingRequests.find(action.exchange);
    if (found == m_pendingRequests.end() || !found->second.delegator) {
        return;
    }
    const delegation_key delegator = *found->second.delegator;
    if (action.progress.last) {
        m_delegatedExchanges.erase(delegator);
        m_pendingRequests.erase(found);
    }
    action.progress.load = currentLoad(m_clock.now());
    m_helperLinks->sendProgress(delegator.first, {delegator.second, std::move(action.progress)});
}

void gateway_service::onHelpersChanged(std::vector<helper_vm> helpers, std::size_t ownRank)
{
    m_engine.setHelpers(std::move(helpers), ownRank);
}

void gateway_service::onHelperLost(const std::string &address)
{
    m_engine.onHelperLost(address, m_clock.now());
    flush();
}

void gateway_service::onHelperLoad(const std::string &address, const vm_load &load)
{
    m_engine.onHelperLoad(address, load, m_clock.now());
}

/** Tells a VM that may delegate work the capacity of this one before the first lookup. */
void gateway_service::onDelegatorLinked(link_id from)
{
    delegate_progress loadOnly;
    loadOnly.progress.last = true;
    loadOnly.progress.load = currentLoad(m_clock.now());
    m_helperLinks->sendProgress(from, loadOnly);
}

/** The bytes that wait for the network link delay a report as much as the reactor does. */
vm_load gateway_service::currentLoad(millis now) const
{
    constexpr double bitsPerByte = 8;
    constexpr double bitsPerMegabitMs = 1000; // a megabit in a second is a thousand bits in a millisecond
    const double linkRate = m_settings.linkMegabits * bitsPerMegabitMs;
    const millis linkDelay = linkRate > 0 ? millis(m_queuedBytes * bitsPerByte / linkRate) : millis();
    return {m_settings.cpuShare, std::max(m_lag.lagAt(now), linkDelay), m_queuedBytes};
}

/** Measures the lag of the reactor and passes it to the engine. @param delay of an event, or time that a batch took. */
void gateway_service::recordLag(millis delay, millis now)
{
    constexpr millis queueSampleInterval(200); // a call into the kernel for each link, so not with each event
    m_lag.record(delay, now);
    if (now >= m_nextQueueSample) {
        m_nextQueueSample = now + queueSampleInterval;
        m_queuedBytes = static_cast<std::uint32_t>(m_helperLinks->unsentBytes());
    }
    m_engine.setOwnLoad(currentLoad(now), now);
}

void gateway_service::onProgress(delegation_id id, delegated_progress progress)
{
    m_engine.onProgress(id, std::move(progress), m_clock.now());
    flush();
}

void gateway_service::onDelegatedRequest(link_id from, delegate_request request)
{
    const delegation_key delegator(from, request.id);
    if (m_delegatedExchanges.contains(delegator) || isQueued(delegator)) {
        logEvent(
            log_level::Warning, "work_asked_twice", {{"id", request.requestId}, {"outcome", std::string("ignored")}});
        return;
    }
    m_counts.delegationsAccepted += 1;
    const queue_terms terms = termsOf(request.work.rank, request.work.objective);
    enqueue(queued_delegation {delegator, std::move(request)}, terms);
}

void gateway_service::onDelegatedCancel(link_id from, const delegate_cancel &cancel)
{
    if (dropQueued(delegation_key(from, cancel.id))) {
        return;
    }
    const auto found = m_delegatedExchanges.find({from, cancel.id});
    if (found == m_delegatedExchanges.end()) {
        return;
    }
    const exchange_id exchange = found->second;
    m_delegatedExchanges.erase(found);
    m_pendingRequests.erase(exchange);
    if (cancel.survived) {
        m_engine.onSurvived(exchange);
    }
    if (cancel.callerLeft) {
        m_engine.onCallerLeft(exchange, m_clock.now());
    } else {
        m_engine.onDelegationCancelled(exchange, m_clock.now());
    }
    flush();
}

void gateway_service::onDelegatorLost(link_id from)
{
    m_runQueue.removeIf([from](const queued_work &one) {
        const auto *work = std::get_if<queued_delegation>(&one);
        return work != nullptr && work->delegator.first == from;
    });
    std::vector<delegation_id> lost;
    for (const auto &[work, exchange] : m_delegatedExchanges) {
        if (work.first == from) {
            lost.push_back(work.second);
        }
    }
    std::ranges::for_each(lost, [&](delegation_id id) { onDelegatedCancel(from, {id, true, false}); });
}

} // namespace chivelock
