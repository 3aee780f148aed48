/** @file The gateway's side of work that one VM does for another. */

#include "gateway_service.h"

#include "pending.h"

#include <algorithm>

namespace chivelock {

void gateway_service::perform(delegate_action action)
{
    const auto found = m_pending.find(action.exchange);
    if (found == m_pending.end()) {
        return;
    }
    m_counts.handedOut += 1;
    delegate_request request;
    request.id = action.id;
    request.requestId = found->second.requestId;
    request.beforeTime = found->second.text->beforeTime;
    request.afterTime = found->second.text->afterTime;
    request.toHead = found->second.toHead;
    request.work = std::move(action.work);
    if (!m_helperLinks->ask(action.helper, request)) {
        m_engine.onHelperLost(action.helper, m_clock.now());
    }
}

void gateway_service::perform(const delegate_cancel_action &action)
{
    m_helperLinks->cancel(action.helper, {action.id, action.callerLeft, action.survived});
}

void gateway_service::perform(progress_action action)
{
    const auto found = m_pending.find(action.exchange);
    if (found == m_pending.end() || !found->second.asker) {
        return;
    }
    const asked_work asker = *found->second.asker;
    if (action.progress.last) {
        m_askedWork.erase(asker);
        m_pending.erase(found);
    }
    m_helperLinks->tellProgress(asker.first, {asker.second, std::move(action.progress)});
}

void gateway_service::onHelpers(std::vector<helper_vm> helpers, std::size_t ownRank)
{
    m_engine.setHelpers(std::move(helpers), ownRank);
}

void gateway_service::onHelperLost(const std::string &address)
{
    m_engine.onHelperLost(address, m_clock.now());
    flush();
}

void gateway_service::onProgress(delegation_id id, delegated_progress progress)
{
    m_engine.onProgress(id, std::move(progress), m_clock.now());
    flush();
}

void gateway_service::onDelegated(link_id from, delegate_request request)
{
    const millis now = m_clock.now();
    if (m_askedWork.contains({from, request.id})) {
        logEvent(
            log_level::Warning, "work_asked_twice", {{"id", request.requestId}, {"outcome", std::string("ignored")}});
        return;
    }
    m_counts.takenIn += 1;
    const exchange_id id = m_engine.arriveDelegated(request.requestId, request.work, now);
    pending &kept = m_pending[id];
    kept.asker = asked_work(from, request.id);
    kept.requestId = std::move(request.requestId);
    kept.toHead = request.toHead;
    kept.text = std::make_shared<platform::leaf_request_text>(
        platform::leaf_request_text {std::move(request.beforeTime), std::move(request.afterTime)});
    m_askedWork[*kept.asker] = id;
    flush();
}

void gateway_service::onDelegatedCancelled(link_id from, const delegate_cancel &cancel)
{
    const auto found = m_askedWork.find({from, cancel.id});
    if (found == m_askedWork.end()) {
        return;
    }
    const exchange_id exchange = found->second;
    m_askedWork.erase(found);
    m_pending.erase(exchange);
    if (cancel.survived) {
        m_engine.onSurvived(exchange);
    }
    if (cancel.callerLeft) {
        m_engine.onCallerLeft(exchange, m_clock.now());
    } else {
        m_engine.onUnneeded(exchange, m_clock.now());
    }
    flush();
}

void gateway_service::onAskerLost(link_id from)
{
    std::vector<delegation_id> lost;
    for (const auto &[work, exchange] : m_askedWork) {
        if (work.first == from) {
            lost.push_back(work.second);
        }
    }
    std::ranges::for_each(lost, [&](delegation_id id) { onDelegatedCancelled(from, {id, true, false}); });
}

} // namespace chivelock
