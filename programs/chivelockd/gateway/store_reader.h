#pragma once

/**
 * @file
 * Follows one prefix of the platform's store: reads it whole, then waits for changes; begins anew when the store has
 * dropped the history in between.
 */

#include <base/base.h>
#include <http1/http1.h>
#include <platform/platform.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chivelock {

/** What is read and how. */
struct store_reader_settings {
    std::string address; ///< IP number and port of the store
    std::string prefix;
    millis wait {900}; ///< how long the store holds a watch without news; a store gone silent is not noticed sooner
    millis gather {150}; ///< pause after news, so that one call brings what changes together
};

/** What the reader tells. */
class store_listener
{
public:
    store_listener() = default;
    store_listener(const store_listener &) = delete;
    store_listener &operator=(const store_listener &) = delete;
    virtual ~store_listener() = default;

    /** All items under the prefix, as of @p revision or later. */
    virtual void onStoreContents(std::string_view prefix, std::vector<store_item> items, std::uint64_t revision) = 0;

    /** What changed up to @p revision, oldest first. */
    virtual void onStoreChanges(std::string_view prefix, std::vector<store_item> changes, std::uint64_t revision) = 0;

    /** All that the store accepted under the prefix up to this moment has been told: it has answered a call that was
     * made then. That it holds one is no such word, it may be out of reach. */
    virtual void onStoreCurrent(std::string_view prefix, millis asOf) = 0;

    /** Whether calls are answered; told after the first call and when it changes. */
    virtual void onStoreState(std::string_view prefix, bool ok) = 0;
};

class store_reader
{
public:
    store_reader(boost::asio::io_context &reactor, store_reader_settings settings, store_listener &listener);
    store_reader(const store_reader &) = delete;
    store_reader &operator=(const store_reader &) = delete;
    ~store_reader();

    /** @param revision up to which everything is known already; none if the contents must be read first. */
    void start(std::optional<std::uint64_t> revision);

    /** Asks no more until the next start. */
    void stop();

    /** Asks anew on a new connection: this process stood still, what it waits for may never come. */
    void refresh();

    [[nodiscard]] bool isStarted() const
    {
        return m_started;
    }

    /** Calls made since the start. */
    [[nodiscard]] std::uint64_t calls() const
    {
        return m_calls;
    }

private:
    void ask();
    void connect();
    void write();
    void read(std::uint64_t turn);
    void onAnswer(const http_response &response);
    void onRange(const http_response &response);
    void onWatch(const http_response &response);
    void lose(std::string_view cause);
    void armTimeout(millis limit);
    void later(millis delay);
    void closeSocket();
    void regained();

    boost::asio::io_context &m_reactor;
    store_reader_settings m_settings;
    store_listener &m_listener;
    std::unique_ptr<boost::asio::ip::tcp::socket> m_socket;
    boost::asio::steady_timer m_timeout;
    boost::asio::steady_timer m_pause;
    response_reader m_reader;
    std::string m_output;
    std::string m_input;
    std::vector<char> m_chunk;
    bool m_started = false;
    bool m_watching = false; ///< the contents are known; only changes are asked for
    std::uint64_t m_revision = 0; ///< up to which everything is known
    std::string m_after; ///< last key of the pages read so far
    std::vector<store_item> m_pages;
    boot_clock m_clock;
    millis m_askedAt; ///< for the call under way, or the first of the pages that are being read
    millis m_wholeBy; ///< what has not come by then is given up
    std::uint64_t m_turn = 0; ///< rises when what is on its way is given up
    std::uint64_t m_calls = 0;
    unsigned m_failures = 0; ///< since the last answer
    bool m_answered = false; ///< since the start or the last failure
    seeded_random m_random;
};

} // namespace chivelock
