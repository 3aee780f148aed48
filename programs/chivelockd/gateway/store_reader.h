#pragma once

/**
 * @file
 * Follows one prefix of the platform's store: reads its complete contents, then watches for changes. Reads the contents
 * again when the store has discarded the history since the last known revision.
 */

#include "input_guard.h"

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

/** What a @ref store_reader reads, and its timing. */
struct store_reader_settings {
    std::string address; ///< IP address and port of the store
    std::string prefix;
    /** How long the store holds a watch without changes; an unresponsive store is not detected sooner. */
    millis watchWait {900};
    millis gatherPause {150}; ///< pause after changes, so that one call returns changes that are made together
};

/** Receives what a @ref store_reader reads. */
class store_listener
{
public:
    store_listener() = default;
    store_listener(const store_listener &) = delete;
    store_listener &operator=(const store_listener &) = delete;
    virtual ~store_listener() = default;

    /** All items under the prefix, as of @p revision or later. */
    virtual void onStoreContents(std::string_view prefix, std::vector<store_item> items, std::uint64_t revision) = 0;

    /** All changes up to @p revision, oldest first. */
    virtual void onStoreChanges(std::string_view prefix, std::vector<store_item> changes, std::uint64_t revision) = 0;

    /** Every change that the store accepted under the prefix up to @p asOf has been reported: the store has answered a
     *  call that was made at that time. A watch that is still being held confirms nothing, because the store may have
     *  become unreachable. */
    virtual void onStoreFreshness(std::string_view prefix, millis asOf) = 0;

    /** @param ok whether the store answers calls. Called after the first call and on each change. */
    virtual void onStoreState(std::string_view prefix, bool ok) = 0;
};

class store_reader
{
public:
    store_reader(boost::asio::io_context &reactor, store_reader_settings settings, store_listener &listener);
    store_reader(const store_reader &) = delete;
    store_reader &operator=(const store_reader &) = delete;
    ~store_reader();

    /** @param revision up to which all changes are known already; none if the contents must be read first. */
    void start(std::optional<std::uint64_t> revision);

    /** Makes no further calls until the next @ref start. */
    void stop();

    /** Calls the store again on a new connection: after a pause of this process a pending answer may never arrive. */
    void reconnect();

    [[nodiscard]] bool isStarted() const
    {
        return m_started;
    }

    /** Number of calls made since the process started. */
    [[nodiscard]] std::uint64_t calls() const
    {
        return m_calls;
    }

    [[nodiscard]] const input_guard &input() const
    {
        return m_guard;
    }

private:
    void issueCall();
    void connect();
    void write();
    void read(std::uint64_t generation);
    [[nodiscard]] read_state readAnswer(std::size_t count);
    void onAnswer();
    void readContentsNext();
    void onRange();
    void onWatch();
    void onCutOff(read_state state);
    void giveUpWatch();
    void onCallFailed(std::string_view cause);
    void armTimeout(millis limit);
    void scheduleCall(millis delay);
    void closeSocket();
    void onStoreAnswered();

    boost::asio::io_context &m_reactor;
    store_reader_settings m_settings;
    store_listener &m_listener;
    std::unique_ptr<boost::asio::ip::tcp::socket> m_socket;
    boost::asio::steady_timer m_timeout;
    boost::asio::steady_timer m_callTimer;
    response_reader m_reader;
    std::string m_output;
    std::string m_input;
    input_guard m_guard {"store"};
    std::uint64_t m_answerBytes = 0; ///< received of the current answer
    http_response m_answer; ///< the last one read
    std::optional<tl::expected<platform::store_page, platform::decode_error>>
        m_page; ///< in the last answer, if that is a success
    std::vector<char> m_readBuffer;
    bool m_started = false;
    bool m_watching = false; ///< the contents are known; only changes are requested
    std::uint64_t m_revision = 0; ///< up to which all changes are known
    std::string m_lastPageKey; ///< last key of the pages read so far; empty before the first page
    std::vector<store_item> m_pagedItems;
    boot_clock m_clock;
    millis m_calledAt; ///< start of the current call, or of the call for the first page while pages are being read
    millis m_answerDeadline; ///< a call that is not answered completely by then has failed
    std::uint64_t m_callGeneration = 0; ///< changes when a call starts or ends; completions of an older one are ignored
    std::uint64_t m_calls = 0;
    unsigned m_failures = 0; ///< consecutive failures since the last answer
    bool m_answered = false; ///< a call was answered since the start or the last failure
    seeded_random m_random;
};

} // namespace chivelock
