/** @file Changes of settings and the planned stop. */

#include "gateway_service.h"

#include "engine_settings.h"
#include "pending.h"

#include <boost/asio/post.hpp>

#include <unistd.h>

namespace chivelock {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr millis stopLook(50);
constexpr millis closeBeforeGrace(1500); // for what was read last to be answered before the process is killed
constexpr millis endBeforeGrace(500); // for the threads to end and the last lines to be written, on a busy VM
constexpr unsigned noticesToEnd = 3; // the platform takes a VM out after two; one more in case one crossed the signal

} // namespace

bool gateway_service::answerReadiness()
{
    m_notReadyTold += m_stopping ? 1 : 0;
    return !m_stopping && m_leafsKnown && m_engine.config() != nullptr;
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
 * New callers keep coming until the platform has noticed that this VM is not ready; they are served. Connections that
 * stay open are closed late, so that no request crosses the close that could still have been answered.
 */
void gateway_service::continueStop()
{
    const millis spent = m_clock.now() - m_stopBegan;
    const bool noticed = m_notReadyTold >= noticesToEnd && m_callers->sessions() == 0;
    if (!m_closing && (spent >= m_settings.grace - closeBeforeGrace || noticed)) {
        m_closing = true;
        m_callers->stopListening();
    }
    if (m_closing) {
        m_callers->closeIdle();
    }
    const bool done = m_closing && m_callers->sessions() == 0;
    if (done || spent >= m_settings.grace - endBeforeGrace) {
        logTraffic();
        logEvent(log_level::Info,
                 "stopped",
                 {{"spent_ms", spent.ceiled()}, {"unanswered", std::uint64_t {m_pending.size()}}});
        const std::uint64_t one = 1;
        (void)!write(m_finishedFd, &one, sizeof one);
        return;
    }
    m_stopTimer.expires_after(std::chrono::milliseconds(stopLook.ceiled()));
    m_stopTimer.async_wait([this](const error_code &stopped) {
        if (!stopped) {
            continueStop();
        }
    });
}

} // namespace chivelock
