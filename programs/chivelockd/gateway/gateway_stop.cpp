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
constexpr millis closeBeforeGraceEnd(1500); // time to answer the last requests before the process is killed
constexpr millis exitBeforeGraceEnd(500); // time to end the threads and write the last log lines on a busy VM

// The platform removes a VM after two; one more in case a probe crossed with the stop signal.
constexpr unsigned notReadyAnswersBeforeClose = 3;

} // namespace

bool gateway_service::answerReadinessProbe()
{
    m_notReadyAnswers += m_stopping ? 1 : 0;
    return !m_stopping && m_leafsReceived && m_engine.config() != nullptr;
}

void gateway_service::beginStop()
{
    asio::post(m_reactor, [this] {
        if (m_stopping) {
            return;
        }
        m_stopping = true;
        m_stopBegan = m_clock.now();
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
 * served. Connections that stay open are closed late, so that a request that could still have been answered does not
 * cross with the close.
 */
void gateway_service::continueStop()
{
    const millis spent = m_clock.now() - m_stopBegan;
    const bool platformNoticed = m_notReadyAnswers >= notReadyAnswersBeforeClose && m_callers->sessions() == 0;
    if (!m_closing && (spent >= m_settings.grace - closeBeforeGraceEnd || platformNoticed)) {
        m_closing = true;
        m_callers->stopListening();
    }
    if (m_closing) {
        m_callers->closeIdle();
    }
    const bool done = m_closing && m_callers->sessions() == 0 && m_runQueue.isEmpty();
    if (done || spent >= m_settings.grace - exitBeforeGraceEnd) {
        endStop(spent);
        return;
    }
    m_stopTimer.expires_after(std::chrono::milliseconds(stopPollInterval.ceiled()));
    m_stopTimer.async_wait([this](const error_code &timerError) {
        if (!timerError) {
            continueStop();
        }
    });
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
