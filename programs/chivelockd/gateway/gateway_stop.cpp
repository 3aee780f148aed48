/** @file Applies changed settings, and performs the planned stop. */

#include "gateway_service.h"

#include "engine_settings.h"
#include "pending_request.h"

#include <boost/asio/post.hpp>

#include <unistd.h>

namespace chivelock {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr millis stopPollInterval(50);

// The platform removes a VM after two; one more in case a probe crossed with the stop signal.
constexpr unsigned notReadyAnswersBeforeClose = 3;
constexpr millis readinessInterval(1000); // of the platform; others may ask in between
constexpr millis minTimeToNotice = readinessInterval * (notReadyAnswersBeforeClose - 1);

} // namespace

bool gateway_service::answerReadinessProbe()
{
    m_notReadyAnswers += m_stopping ? 1 : 0;
    return !m_stopping && m_leafsReceived && m_engine.config() != nullptr;
}

void gateway_service::beginStop()
{
    asio::post(m_reactor, [this, began = m_clock.now()] {
        if (m_stopping) {
            return;
        }
        m_stopping = true;
        m_stopBegan = began;
        m_stopSchedule = stop_schedule::of(began, m_settings.grace);
        m_engine.beginStop(m_stopSchedule.answersBy, m_clock.now());
        armDueTimer();
        m_feed->leave();
        logEvent(log_level::Info, "stopping", {{"callers", std::uint64_t {m_callers->sessions()}}});
        continueStop();
    });
}

void gateway_service::changeSettings(gateway_daemon_settings settings)
{
    asio::post(m_reactor, [this, changed = std::move(settings)]() mutable {
        changed.callers = m_settings.callers;
        changed.readiness = m_settings.readiness;
        changed.metrics = m_settings.metrics;
        changed.storeAddress = m_settings.storeAddress;
        m_settings = std::move(changed);
        m_engine.changeSettings(engineSettings(m_settings));
    });
}

/**
 * Advances the planned stop. New callers connect until the platform has noticed that this VM is not ready, and they are
 * served. From then on callers whose connections are closed reach other VMs, so connections without a request are not
 * kept for requests that may come too late to be answered.
 */
void gateway_service::continueStop()
{
    const millis now = m_clock.now();
    const bool platformNoticed =
        m_notReadyAnswers >= notReadyAnswersBeforeClose && now >= m_stopBegan + minTimeToNotice;
    m_closing = m_closing || platformNoticed || now >= m_stopSchedule.closesIdleAt;
    if (m_closing) {
        m_callers->closeIdle();
    }
    const bool noCallerLeft = m_closing && m_callers->sessions() == 0;
    if (noCallerLeft || now >= m_stopSchedule.closesIdleAt) {
        m_callers->stopListening();
    }
    const bool hadTimeToWrite = m_lastAnswersGiven && now >= m_stopSchedule.endsBy;
    if (now >= m_stopSchedule.answersBy) {
        giveLastAnswers(now);
    }
    if ((noCallerLeft && isAllWorkDone()) || hadTimeToWrite) {
        endStop(now - m_stopBegan);
        return;
    }
    m_stopTimer.expires_after(std::chrono::milliseconds(stopPollInterval.ceiled()));
    m_stopTimer.async_wait([this](const error_code &timerError) {
        if (!timerError) {
            continueStop();
        }
    });
}

/** Answers the requests in progress, and refuses what was read, completely or in part, and not begun. */
void gateway_service::giveLastAnswers(millis now)
{
    m_lastAnswersGiven = true;
    m_engine.advance(now);
    flush();
    for (std::size_t left = m_runQueue.size(); left > 0; --left) {
        beginNext();
    }
    m_callers->refuseIncomplete(stoppingCause);
}

/** @return whether nothing is queued, and no VM waits for work that it delegated to this one. */
bool gateway_service::isAllWorkDone() const
{
    return m_runQueue.isEmpty() && m_delegatedExchanges.empty() && m_helperLinks->unsentBytes() == 0;
}

void gateway_service::endStop(millis spent)
{
    m_engine.logUnanswered(m_clock.now());
    flush();
    logPeerTraffic();
    logEvent(log_level::Info,
             "stopped",
             {{"spent_ms", spent.ceiled()},
              {"unanswered", std::uint64_t {m_pendingRequests.size()}},
              {"queued", std::uint64_t {m_runQueue.size()}},
              {"delegated", std::uint64_t {m_delegatedExchanges.size()}},
              {"callers", std::uint64_t {m_callers->sessions()}},
              {"undelivered_bytes", std::uint64_t {m_callers->bytesHeld()}}});
    const std::uint64_t one = 1;
    (void)!write(m_finishedFd, &one, sizeof one);
}

} // namespace chivelock
