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
constexpr std::size_t mostBodyBytes = 16 << 20; // a page of a megabyte in base64, many times over
constexpr millis answerLimit(500); // of silence: far above the few milliseconds that the store takes

// For a whole answer, however steadily it comes: a megabyte on a small VM's link that others press on. Cut off by the
// limit for silence while it was arriving, a whole document was asked for again and again on a busy link.
constexpr millis wholeLimit(5000);
constexpr millis firstWait(50);
constexpr millis firstRetry(400);
constexpr millis mostRetry(1000); // a store that is back is read again within about that time

} // namespace

store_reader::store_reader(asio::io_context &reactor, store_reader_settings settings, store_listener &listener)
    : m_reactor(reactor)
    , m_settings(std::move(settings))
    , m_listener(listener)
    , m_timeout(reactor)
    , m_pause(reactor)
    , m_chunk(readBytes)
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
    ask();
}

void store_reader::stop()
{
    m_started = false;
    m_failures = 0;
    m_turn += 1;
    m_after.clear();
    m_pages.clear();
    closeSocket();
    m_timeout.cancel();
    m_pause.cancel();
}

void store_reader::refresh()
{
    if (m_started) {
        closeSocket();
        m_pause.cancel();
        ask();
    }
}

void store_reader::ask()
{
    // The first call tells whether the store serves this VM at all: it must not be held for long.
    const millis wait = m_answered ? m_settings.wait : std::min(firstWait, m_settings.wait);
    const std::string target = m_watching ? platform::watchTarget(m_settings.prefix, m_revision, wait)
                                          : platform::rangeTarget(m_settings.prefix, m_after);
    m_output = "GET " + target + " HTTP/1.1\r\nHost: " + m_settings.address + "\r\n\r\n";
    m_input.clear();
    m_reader.expect(false, mostBodyBytes);
    m_turn += 1;
    m_askedAt = m_after.empty() ? m_clock.now() : m_askedAt;
    m_wholeBy = m_clock.now() + wait + wholeLimit;
    armTimeout(m_watching ? wait + answerLimit : answerLimit);
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
        lose("bad_address");
        return;
    }
    m_socket = std::make_unique<tcp::socket>(m_reactor);
    m_socket->async_connect(*endpoint, [this, turn = m_turn](const error_code &failed) {
        if (turn != m_turn) {
            return;
        }
        if (failed) {
            lose("connect");
            return;
        }
        error_code ignored; // without it calls are only slower
        m_socket->set_option(tcp::no_delay(true), ignored);
        write();
    });
}

void store_reader::write()
{
    m_calls += 1;
    asio::async_write(*m_socket, asio::buffer(m_output), [this, turn = m_turn](const error_code &failed, std::size_t) {
        if (turn != m_turn) {
            return;
        }
        if (failed) {
            lose("write");
            return;
        }
        read(turn);
    });
}

void store_reader::read(std::uint64_t turn)
{
    m_socket->async_read_some(asio::buffer(m_chunk), [this, turn](const error_code &failed, std::size_t count) {
        if (turn != m_turn) {
            return;
        }
        if (failed) {
            lose("closed");
            return;
        }
        m_input.append(m_chunk.data(), count);
        const read_state state = m_reader.feed(m_input);
        if (state == read_state::NeedMore) {
            armTimeout(std::clamp(m_wholeBy - m_clock.now(), millis(), answerLimit));
            read(turn);
        } else if (state == read_state::Complete) {
            onAnswer(m_reader.take());
        } else {
            lose("bad_answer");
        }
    });
}

void store_reader::onAnswer(const http_response &response)
{
    m_timeout.cancel();
    m_turn += 1;
    if (!response.keepAlive) {
        closeSocket();
    }
    constexpr unsigned ok = 200;
    constexpr unsigned historyGone = 410;
    if (response.status == historyGone) {
        logEvent(log_level::Info,
                 "store_history_gone",
                 {{"prefix", m_settings.prefix}, {"after_revision", m_revision}, {"outcome", "read_anew"}});
        m_watching = false;
        m_after.clear();
        m_pages.clear();
        ask();
        return;
    }
    if (response.status != ok) {
        lose("status_" + std::to_string(response.status));
        return;
    }
    regained();
    if (!m_started) {
        return; // the word made this process follow another one
    }
    if (m_watching) {
        onWatch(response);
    } else {
        onRange(response);
    }
}

void store_reader::onRange(const http_response &response)
{
    auto page = platform::decodeRange(response.body);
    if (!page) {
        lose(page.error().reason);
        return;
    }
    // Pages are read one after the other: only changes after the first of them are sure to be missing from all.
    m_revision = m_after.empty() ? page->revision : m_revision;
    std::ranges::move(page->events, std::back_inserter(m_pages));
    if (page->more && !m_pages.empty()) {
        m_after = m_pages.back().key;
        ask();
        return;
    }
    m_watching = true;
    m_after.clear();
    m_listener.onStoreContents(m_settings.prefix, std::exchange(m_pages, {}), m_revision);
    m_listener.onStoreCurrent(m_settings.prefix, m_askedAt);
    ask();
}

void store_reader::onWatch(const http_response &response)
{
    auto page = platform::decodeWatch(response.body);
    if (!page) {
        lose(page.error().reason);
        return;
    }
    m_revision = std::max(m_revision, page->revision);
    const bool news = !page->events.empty();
    if (news) {
        m_listener.onStoreChanges(m_settings.prefix, std::move(page->events), m_revision);
    }
    m_listener.onStoreCurrent(m_settings.prefix, m_askedAt);
    if (news) {
        later(m_settings.gather);
    } else {
        ask();
    }
}

void store_reader::lose(std::string_view cause)
{
    closeSocket();
    m_timeout.cancel();
    m_turn += 1;
    if (m_failures == 0) {
        logEvent(log_level::Warning,
                 "store_lost",
                 {{"prefix", m_settings.prefix}, {"cause", std::string(cause)}, {"revision", m_revision}});
    }
    if (std::exchange(m_answered, false) || m_failures == 0) {
        m_listener.onStoreState(m_settings.prefix, false);
    }
    if (!m_started) {
        return; // the word made this process follow another one
    }
    m_failures = std::min(m_failures + 1, 8U);
    const millis delay = std::min(firstRetry * static_cast<double>(1U << (m_failures - 1)), mostRetry);
    constexpr double jitter = 0.3; // so that VMs that lost the store together do not come back together
    later(delay * (1 - jitter * m_random.uniform()));
}

void store_reader::regained()
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

/** A store that is silent, or a connection that lost the answer, shows by nothing but time. */
void store_reader::armTimeout(millis limit)
{
    m_timeout.expires_after(std::chrono::microseconds(limit.micros()));
    m_timeout.async_wait([this, turn = m_turn](const error_code &stopped) {
        if (!stopped && turn == m_turn) {
            lose("timeout");
        }
    });
}

void store_reader::later(millis delay)
{
    m_pause.expires_after(std::chrono::microseconds(delay.micros()));
    m_pause.async_wait([this](const error_code &stopped) {
        if (!stopped && m_started) {
            ask();
        }
    });
}

void store_reader::closeSocket()
{
    if (m_socket) {
        error_code ignored; // it is closed in any case
        m_socket->close(ignored);
        m_socket.reset();
    }
}

} // namespace chivelock
