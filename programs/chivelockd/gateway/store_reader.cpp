#include "store_reader.h"

#include "addresses.h"

#include <boost/asio/write.hpp>

#include <algorithm>

namespace chivelock {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t readBytes = 65536;
constexpr unsigned okStatus = 200;
constexpr std::size_t maxAnswerBodyBytes = 16 << 20; // many times a page of one megabyte in base64
constexpr millis answerSilenceLimit(500); // limit without input; far above the few milliseconds that the store takes

// Limit for a complete answer that keeps arriving: a megabyte over the busy link of a small VM. With the silence limit
// as the limit for the complete answer, a full document was cut off on a busy link and requested again and again.
constexpr millis completeAnswerLimit(5000);
// A watch whose answer fails after so many bytes is not repeated: the same answer would fail again. Pages are smaller.
constexpr std::uint64_t maxRepeatedWatchBytes = 1 << 20;
constexpr millis firstWatchWait(50);
constexpr millis firstRetryDelay(400);
constexpr millis maxRetryDelay(1000); // a store that recovers is read again within about this time

} // namespace

store_reader::store_reader(asio::io_context &reactor, store_reader_settings settings, store_listener &listener)
    : m_reactor(reactor)
    , m_settings(std::move(settings))
    , m_listener(listener)
    , m_timeout(reactor)
    , m_callTimer(reactor)
    , m_readBuffer(readBytes)
    , m_random(std::hash<std::string>()(m_settings.prefix))
{
}

store_reader::~store_reader() = default;

void store_reader::start(std::optional<std::uint64_t> revision)
{
    stop();
    m_started = true;
    m_answered = false;
    m_watching = revision.has_value();
    m_revision = revision.value_or(0);
    issueCall();
}

void store_reader::stop()
{
    m_started = false;
    m_failures = 0;
    m_callGeneration += 1;
    m_lastPageKey.clear();
    m_pagedItems.clear();
    m_page.reset();
    closeSocket();
    m_timeout.cancel();
    m_callTimer.cancel();
}

void store_reader::reconnect()
{
    if (m_started) {
        closeSocket();
        m_callTimer.cancel();
        issueCall();
    }
}

void store_reader::issueCall()
{
    // The first call shows whether the store answers this VM at all, so the store must not hold it for long.
    const millis wait = m_answered ? m_settings.watchWait : std::min(firstWatchWait, m_settings.watchWait);
    const std::string target = m_watching ? platform::watchTarget(m_settings.prefix, m_revision, wait)
                                          : platform::rangeTarget(m_settings.prefix, m_lastPageKey);
    m_output = "GET " + target + " HTTP/1.1\r\nHost: " + m_settings.address + "\r\n\r\n";
    m_input.clear();
    m_answerBytes = 0;
    m_reader.expect(false, maxAnswerBodyBytes);
    m_callGeneration += 1;
    m_calledAt = m_lastPageKey.empty() ? m_clock.now() : m_calledAt;
    m_answerDeadline = m_clock.now() + wait + completeAnswerLimit;
    armTimeout(m_watching ? wait + answerSilenceLimit : answerSilenceLimit);
    if (m_socket) {
        write();
    } else {
        connect();
    }
}

void store_reader::connect()
{
    const auto endpoint = parseEndpoint(m_settings.address);
    if (!endpoint) {
        onCallFailed("bad_address");
        return;
    }
    m_socket = std::make_unique<tcp::socket>(m_reactor);
    m_socket->async_connect(*endpoint, [this, generation = m_callGeneration](const error_code &failed) {
        if (generation != m_callGeneration) {
            return;
        }
        if (failed) {
            onCallFailed("connect");
            return;
        }
        error_code ignored; // without this option calls are only slower
        m_socket->set_option(tcp::no_delay(true), ignored);
        write();
    });
}

void store_reader::write()
{
    m_calls += 1;
    asio::async_write(*m_socket,
                      asio::buffer(m_output),
                      [this, generation = m_callGeneration](const error_code &failed, std::size_t) {
                          if (generation != m_callGeneration) {
                              return;
                          }
                          if (failed) {
                              onCallFailed("write");
                              return;
                          }
                          read(generation);
                      });
}

void store_reader::read(std::uint64_t generation)
{
    m_socket->async_read_some(
        asio::buffer(m_readBuffer), [this, generation](const error_code &failed, std::size_t count) {
            if (generation != m_callGeneration) {
                return;
            }
            if (failed) {
                onCallFailed("closed");
                return;
            }
            m_answerBytes += count;
            const read_state state = readAnswer(count);
            if (state == read_state::NeedMore) {
                armTimeout(std::clamp(m_answerDeadline - m_clock.now(), millis(), answerSilenceLimit));
                read(generation);
            } else if (state == read_state::Complete) {
                onAnswer();
            } else if (isCutOff(state)) {
                onCutOff(state);
            } else {
                onCallFailed("bad_answer");
            }
        });
}

/** Reads on and decodes the answer that is complete then. */
read_state store_reader::readAnswer(std::size_t count)
{
    return m_guard.read([this, count] {
        m_input.append(m_readBuffer.data(), count);
        const read_state state = m_reader.feed(m_input);
        if (state == read_state::Complete) {
            m_answer = m_reader.take();
            m_page.reset();
            if (m_answer.status == okStatus) {
                m_page = m_watching ? platform::decodeWatch(m_answer.body) : platform::decodeRange(m_answer.body);
            }
            m_answer.body = std::string(); // it may be large
        }
        return state;
    });
}

void store_reader::onAnswer()
{
    m_timeout.cancel();
    m_callGeneration += 1;
    if (!m_answer.keepAlive) {
        closeSocket();
    }
    constexpr unsigned historyGone = 410;
    if (m_answer.status == historyGone) {
        logEvent(log_level::Info,
                 "store_history_gone",
                 {{"prefix", m_settings.prefix}, {"after_revision", m_revision}, {"outcome", "read_anew"}});
        readContentsNext();
        issueCall();
        return;
    }
    if (!m_page) {
        onCallFailed("status_" + std::to_string(m_answer.status));
        return;
    }
    onStoreAnswered();
    if (!m_started || !m_page) {
        return; // in response to the state change, this process stopped reading and follows another process
    }
    if (m_watching) {
        onWatch();
    } else {
        onRange();
    }
}

void store_reader::readContentsNext()
{
    m_watching = false;
    m_lastPageKey.clear();
    m_pagedItems.clear();
}

void store_reader::onRange()
{
    auto page = *std::exchange(m_page, {});
    if (!page) {
        onCallFailed(page.error().reason);
        return;
    }
    // Pages are read one after the other, so a later page may lack changes made since the first page was read. The
    // watch must therefore start from the revision of the first page.
    m_revision = m_lastPageKey.empty() ? page->revision : m_revision;
    std::ranges::move(page->events, std::back_inserter(m_pagedItems));
    if (page->more && !m_pagedItems.empty()) {
        m_lastPageKey = m_pagedItems.back().key;
        issueCall();
        return;
    }
    m_watching = true;
    m_lastPageKey.clear();
    m_listener.onStoreContents(m_settings.prefix, std::exchange(m_pagedItems, {}), m_revision);
    m_listener.onStoreFreshness(m_settings.prefix, m_calledAt);
    issueCall();
}

void store_reader::onWatch()
{
    auto page = *std::exchange(m_page, {});
    if (!page) {
        onCallFailed(page.error().reason);
        return;
    }
    m_revision = std::max(m_revision, page->revision);
    const bool hasChanges = !page->events.empty();
    if (hasChanges) {
        m_listener.onStoreChanges(m_settings.prefix, std::move(page->events), m_revision);
    }
    m_listener.onStoreFreshness(m_settings.prefix, m_calledAt);
    if (hasChanges) {
        scheduleCall(m_settings.gatherPause);
    } else {
        issueCall();
    }
}

/** A watch whose answer crosses a bound gets the same answer again: its announced length alone may be too much. */
void store_reader::onCutOff(read_state state)
{
    m_guard.countCutOff(toString(state), m_settings.address, m_answerBytes);
    if (m_watching) {
        giveUpWatch();
    }
    onCallFailed(toString(state));
}

/** Reads the contents by pages instead of repeating the watch. */
void store_reader::giveUpWatch()
{
    logEvent(log_level::Warning,
             "store_watch_too_long",
             {{"prefix", m_settings.prefix}, {"bytes", m_answerBytes}, {"outcome", "read_anew"}});
    readContentsNext();
}

void store_reader::onCallFailed(std::string_view cause)
{
    closeSocket();
    m_timeout.cancel();
    m_callGeneration += 1;
    if (m_watching && m_answerBytes > maxRepeatedWatchBytes) {
        giveUpWatch();
    }
    if (m_failures == 0) {
        logEvent(log_level::Warning,
                 "store_lost",
                 {{"prefix", m_settings.prefix}, {"cause", std::string(cause)}, {"revision", m_revision}});
    }
    if (std::exchange(m_answered, false) || m_failures == 0) {
        m_listener.onStoreState(m_settings.prefix, false);
    }
    if (!m_started) {
        return; // in response to the state change, this process stopped reading and follows another process
    }
    m_failures = std::min(m_failures + 1, 8U);
    const millis delay = std::min(firstRetryDelay * static_cast<double>(1U << (m_failures - 1)), maxRetryDelay);
    constexpr double jitter = 0.3; // so that VMs that lost the store at the same time do not reconnect at the same time
    scheduleCall(delay * (1 - jitter * m_random.uniform()));
}

void store_reader::onStoreAnswered()
{
    if (m_failures > 0) {
        logEvent(log_level::Info,
                 "store_regained",
                 {{"prefix", m_settings.prefix}, {"failures", std::uint64_t {m_failures}}, {"revision", m_revision}});
        m_failures = 0;
    }
    if (!std::exchange(m_answered, true)) {
        m_listener.onStoreState(m_settings.prefix, true);
    }
}

/** Only a timeout detects an unresponsive store or a connection that lost the answer. */
void store_reader::armTimeout(millis limit)
{
    m_timeout.expires_after(std::chrono::microseconds(limit.micros()));
    m_timeout.async_wait([this, generation = m_callGeneration](const error_code &timerError) {
        if (!timerError && generation == m_callGeneration) {
            onCallFailed("timeout");
        }
    });
}

void store_reader::scheduleCall(millis delay)
{
    m_callTimer.expires_after(std::chrono::microseconds(delay.micros()));
    m_callTimer.async_wait([this](const error_code &timerError) {
        if (!timerError && m_started) {
            issueCall();
        }
    });
}

void store_reader::closeSocket()
{
    if (m_socket) {
        error_code ignored; // the socket is closed even if an error is reported
        m_socket->close(ignored);
        m_socket.reset();
    }
}

} // namespace chivelock
