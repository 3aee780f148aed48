#pragma once

/** @file One connection to a leaf; private to @ref chivelock::leaf_pool. */

#include "addresses.h"
#include "leaf_pool.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

namespace chivelock {

/** One connection to a leaf. */
class leaf_pool::connection : public std::enable_shared_from_this<connection>
{
    using error_code = boost::system::error_code;
    using tcp = boost::asio::ip::tcp;

public:
    explicit connection(leaf_pool &pool)
        : m_pool(pool)
        , m_socket(pool.m_reactor)
        , m_connectTimer(pool.m_reactor)
    {
        m_pool.m_open += 1;
    }

    void open(leaf_message message)
    {
        hold(std::move(message));
        m_openedAt = boot_clock().now();
        const auto endpoint = parseEndpoint(m_message.to->entry.address);
        error_code error;
        m_socket.open(tcp::v4(), error);
        if (!endpoint || error) {
            boost::asio::post(m_pool.m_reactor, [self = shared_from_this()] { self->fail(send_failure::NotSent); });
            return;
        }
        m_socket.set_option(tcp::no_delay(true), error);
        m_connectTimer.expires_after(std::chrono::milliseconds(connectLimit.ceiled()));
        m_connectTimer.async_wait([self = shared_from_this()](const error_code &timerError) {
            if (!timerError && !self->m_connected) {
                self->fail(send_failure::NotSent);
            }
        });
        m_socket.async_connect(*endpoint,
                               [self = shared_from_this()](const error_code &failed) { self->onConnected(failed); });
    }

    void reuse(leaf_message message)
    {
        m_previousId = m_requestCount > 0 ? m_message.requestId : std::string();
        hold(std::move(message));
        write(millis());
    }

    /** Closes the connection without notifying the listener. */
    void close()
    {
        if (!std::exchange(m_closed, true)) {
            m_pool.m_open -= 1;
            release();
        }
        m_connectTimer.cancel();
        error_code ignored; // the socket is closed even if an error is reported
        m_socket.close(ignored);
    }

    /** Closes an idle connection. @pre it was removed from the idle connections of the pool. */
    void closeIdle()
    {
        m_message.to->keptConnections -= 1;
        close();
    }

    [[nodiscard]] bool isUsableFor(const leaf_message &message)
    {
        const millis idle = boot_clock().now() - m_idleSince;
        const bool isFresh = idle < m_idleLimit * idleLimitShare;
        return isFresh && (!message.once || (idle < nonIdempotentIdleLimit && isOpenWithoutInput()));
    }

    /** Whether the leaf has not read the request completely, although it may stop working on it. */
    [[nodiscard]] bool isUnread(millis now) const
    {
        return m_busy && m_write != write_state::Complete && !m_confirming && now >= m_writeEnd;
    }

    /** Gives up a request that the leaf does not read. It may have read a part, so it counts as sent. */
    void giveUpUnread()
    {
        m_pool.m_counts.closedUnread += 1;
        logEvent(log_level::Info,
                 "leaf_request_unread",
                 {{"id", m_message.requestId},
                  {"leaf", peer().entry.id},
                  {"bytes", std::uint64_t {m_heldBytes}},
                  {"outcome", std::string("connection_closed")}});
        fail(send_failure::Broken);
    }

    /** Gives up an answer because all incomplete ones together are too large. */
    void giveUpAnswer()
    {
        m_pool.m_input.countCutOff("answers_too_large", peer().entry.id, m_answerBytes);
        fail(send_failure::Broken);
    }

    [[nodiscard]] bool hasCarried(std::string_view requestId) const
    {
        return m_carried.contains(requestId);
    }

    /** The leaf at the other end. */
    [[nodiscard]] const leaf &peer() const
    {
        return *m_message.to;
    }

private:
    enum class write_state : std::uint8_t {
        Pending,
        Complete,
        Failed
    };

    static constexpr std::size_t readBytes = 8192; // holds the complete answer of most leafs
    static constexpr std::size_t maxAnswerBodyBytes = 8
        << 20; // far above any answer; bounds the memory a faulty leaf can take
    static constexpr millis connectLimit {
        250}; // some round trips within a region; a lost SYN is retransmitted only after a second
    static constexpr millis defaultIdleLimit {4000}; // used if the leaf does not announce its keep-alive time
    static constexpr double idleLimitShare =
        0.7; // of the leaf's keep-alive time, so that a request does not cross with its close

    // At-most-once requests use only connections that were idle for less: a request that crosses with the leaf's close
    // cannot be sent again.
    static constexpr millis nonIdempotentIdleLimit {500};

    static constexpr millis confirmTimeout {30}; // some round trips; the retry waits for the confirmation

    // A leaf that accepted a connection is not checked again so soon: a full leaf resets many connections at once.
    static constexpr millis acceptConfirmationLifetime {200};

    static constexpr unsigned maxStrayAnswers = 2; // late duplicate answers on one connection before it is closed

    void hold(leaf_message message)
    {
        m_message = std::move(message);
        m_heldBytes = m_message.text->bytes();
        m_pool.m_underWay.add(&peer(), m_heldBytes);
    }

    void setAnswerBytes(std::size_t bytes)
    {
        m_answerBytes = bytes;
        m_pool.m_incomplete.update(this, bytes);
    }

    /** Ends the accounting of the current request and its answer. */
    void release()
    {
        setAnswerBytes(0);
        if (const std::size_t held = std::exchange(m_heldBytes, 0); held > 0) {
            m_pool.m_underWay.remove(&peer(), held);
        }
        m_output = std::string(); // frees the memory: the connection may stay idle
    }

    /** Whether the leaf has neither closed the connection nor sent anything, as far as the kernel knows now. */
    [[nodiscard]] bool isOpenWithoutInput()
    {
        char byte = 0;
        const auto got = ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }

    void onConnected(const error_code &failed)
    {
        if (m_closed) {
            return;
        }
        m_connected = true;
        m_connectTimer.cancel();
        if (failed) {
            fail(send_failure::NotSent);
            return;
        }
        write(boot_clock().now() - m_openedAt);
        read();
    }

    /** @param spent time since the send was requested; reduces the remaining time given to the leaf. */
    void write(millis spent)
    {
        m_busy = true;
        m_write = write_state::Pending;
        m_answerAwaitsWrite = false;
        m_strayCount = 0;
        setAnswerBytes(0);
        m_reader.expect(m_message.toHead, maxAnswerBodyBytes);
        m_writeEnd = boot_clock().now() + m_message.remaining - spent;
        m_output = platform::completeLeafRequest(*m_message.text, m_message.remaining - spent, m_message.to->entry.id);
        m_pool.m_counts.sent += 1;
        m_requestCount += 1;
        m_carried.add(m_message.requestId, m_message.attemptEnd, boot_clock().now());
        boost::asio::async_write(
            m_socket,
            boost::asio::buffer(m_output),
            [self = shared_from_this()](const error_code &error, std::size_t count) { self->onWritten(error, count); });
    }

    void onWritten(const error_code &error, std::size_t count)
    {
        m_write = error ? write_state::Failed : write_state::Complete;
        if (m_closed || m_confirming) {
            return;
        }
        if (error && count == 0) {
            fail(send_failure::NotSent); // the kernel accepted no byte, so the leaf received none
        } else if (m_answerAwaitsWrite) {
            m_answerAwaitsWrite = false;
            finishAtEndOfStream();
        }
    }

    void read()
    {
        m_socket.async_read_some(
            boost::asio::buffer(m_readBuffer),
            [self = shared_from_this()](const error_code &error, std::size_t count) { self->onRead(error, count); });
    }

    void onRead(const error_code &error, std::size_t count)
    {
        if (m_closed) {
            return;
        }
        if (error) {
            onEndOfStream(error);
            return;
        }
        if (!m_busy) {
            removeIdle(); // unsolicited input belongs to no request
            return;
        }
        setAnswerBytes(m_answerBytes + count);
        m_pool.giveUpLargestAnswers();
        if (m_closed) {
            return;
        }
        onInput(readAnswer([this, count] {
            m_input.append(m_readBuffer.data(), count);
            return m_reader.feed(m_input);
        }));
        if (!m_closed) {
            read();
        }
    }

    /** @param step feeds the reader. Decodes the answer that is complete then. */
    template<typename read_step>
    [[nodiscard]] read_state readAnswer(read_step &&step)
    {
        return m_pool.m_input.read([&] {
            const read_state state = step();
            if (state == read_state::Complete) {
                m_answer = platform::readLeafAnswer(m_reader.take());
            }
            return state;
        });
    }

    void onInput(read_state state)
    {
        if (state == read_state::Complete) {
            onAnswer();
        } else if (state != read_state::NeedMore) {
            failInput(state);
        }
    }

    void failInput(read_state state)
    {
        if (isCutOff(state)) {
            m_pool.m_input.countCutOff(toString(state), peer().entry.id, m_answerBytes);
        }
        fail(send_failure::Broken);
    }

    void onEndOfStream(const error_code &error)
    {
        if (!m_busy) {
            removeIdle();
            return;
        }
        const bool isOrderlyClose = error == boost::asio::error::eof;
        if (isOrderlyClose && m_reader.begun()
            && readAnswer([this] { return m_reader.finish(); }) == read_state::Complete) {
            finishAtEndOfStream();
            return;
        }
        if (m_reader.begun() || !m_input.empty()) {
            fail(send_failure::Broken);
            return;
        }
        confirmLeafEnded();
    }

    /**
     * Delivers an answer that ends with the connection, once the request is written. The kernel reports a reset only
     * once: a write that gets it leaves an end of stream to the read, which looks like an orderly close.
     */
    void finishAtEndOfStream()
    {
        if (m_write == write_state::Pending) {
            m_answerAwaitsWrite = true;
            return;
        }
        if (m_write == write_state::Failed) {
            fail(send_failure::Broken);
            return;
        }
        m_endOfStream = true;
        onAnswer();
    }

    /**
     * Checks whether the leaf has crashed. A connection ends without an answer if the leaf has crashed, but also if the
     * leaf is full, has lost the answer or was unreachable for a moment. Only a crash says something about the request,
     * and only a new connection detects it: the host of a process that has ended refuses the connection at once.
     */
    void confirmLeafEnded()
    {
        m_confirming = true;
        error_code error;
        m_socket.close(error);
        const auto endpoint = parseEndpoint(peer().entry.address);
        if (!endpoint || boot_clock().now() - peer().reconnectedAt < acceptConfirmationLifetime) {
            fail(send_failure::Broken);
            return;
        }
        m_socket.open(tcp::v4(), error);
        if (error) {
            fail(send_failure::Broken);
            return;
        }
        m_pool.m_counts.opened += 1;
        m_connectTimer.expires_after(std::chrono::milliseconds(confirmTimeout.ceiled()));
        m_connectTimer.async_wait([self = shared_from_this()](const error_code &timerError) {
            if (!timerError) {
                self->fail(send_failure::Broken);
            }
        });
        m_socket.async_connect(
            *endpoint, [self = shared_from_this()](const error_code &failed) { self->onConfirmConnected(failed); });
    }

    /** Keeps the new connection for the next request, since it already takes up a connection slot of the leaf. */
    void onConfirmConnected(const error_code &failed)
    {
        if (m_closed) {
            return;
        }
        m_connectTimer.cancel();
        if (failed) {
            fail(failed == boost::asio::error::connection_refused ? send_failure::LeafCrashed : send_failure::Broken);
            return;
        }
        const send_id id = m_message.id;
        m_message.to->reconnectedAt = boot_clock().now();
        m_reader.expect(false, maxAnswerBodyBytes);
        m_idleLimit = defaultIdleLimit;
        m_confirming = false;
        m_requestCount = 0;
        m_carried.clear();
        m_pool.m_busy.erase(id);
        keepIdle();
        read();
        m_pool.m_listener.onLeafFailure(id, send_failure::Broken);
    }

    void keepIdle()
    {
        release();
        m_busy = false;
        m_idleSince = boot_clock().now();
        m_pool.m_idle[&peer()].push_back(shared_from_this());
        m_message.to->keptConnections += 1;
    }

    void onAnswer()
    {
        platform::leaf_answer answer = std::exchange(m_answer, {});
        const bool isNamed = answer.requestId == m_message.requestId;
        if (!isNamed && !answer.requestId.empty()) {
            onStray(answer);
            return;
        }
        if (!isNamed && m_requestCount > 1) {
            notifySkipped(answer, true);
            fail(send_failure::Broken); // it may answer any request of this connection
            return;
        }
        deliver(std::move(answer), isNamed);
    }

    void deliver(platform::leaf_answer answer, bool isNamed)
    {
        const send_id id = m_message.id;
        m_idleLimit = answer.keepAlive.value_or(m_idleLimit);
        // A leaf may answer before it has read the complete request. Reusing the connection then would make the leaf
        // read the rest of this request as the next one.
        const bool reusable = isNamed && answer.keepsConnection && m_write == write_state::Complete && m_input.empty()
            && m_strayCount == 0 && !m_endOfStream;
        const auto self = shared_from_this();
        m_pool.m_busy.erase(id);
        if (reusable) {
            keepIdle();
        } else {
            m_busy = false;
            close();
        }
        m_pool.m_listener.onLeafReply(id, std::move(answer.reply));
    }

    /** Skips a late duplicate answer to an earlier request; the answer to the current request is still to come. */
    void onStray(const platform::leaf_answer &answer)
    {
        m_strayCount += 1;
        m_pool.m_counts.strayAnswers += 1;
        const bool close = m_strayCount > maxStrayAnswers || m_endOfStream;
        notifySkipped(answer, close);
        if (close) {
            fail(send_failure::Broken);
            return;
        }
        m_reader.expect(m_message.toHead, maxAnswerBodyBytes);
        setAnswerBytes(m_input.size());
        onInput(readAnswer([this] { return m_reader.feed(m_input); }));
    }

    void notifySkipped(const platform::leaf_answer &answer, bool connectionClosed)
    {
        m_pool.m_listener.onSkippedAnswer({m_message.requestId,
                                           answer.requestId,
                                           m_previousId,
                                           peer().entry.id,
                                           answer.reply.stamp,
                                           answer.reply.status,
                                           answer.reply.body.size(),
                                           connectionClosed});
    }

    void fail(send_failure failure)
    {
        if (m_closed) {
            return;
        }
        const auto self = shared_from_this();
        const send_id id = m_message.id;
        close();
        m_pool.m_busy.erase(id);
        m_pool.m_listener.onLeafFailure(id, failure);
    }

    /** Closes an idle connection that the leaf has closed or on which it has sent unsolicited input. */
    void removeIdle()
    {
        const auto self = shared_from_this();
        close();
        const auto idle = m_pool.m_idle.find(&peer());
        if (idle != m_pool.m_idle.end() && std::erase(idle->second, self) > 0) {
            m_message.to->keptConnections -= 1;
        }
    }

    leaf_pool &m_pool;
    tcp::socket m_socket;
    boost::asio::steady_timer m_connectTimer;
    response_reader m_reader;
    leaf_message m_message;
    std::string m_previousId; ///< id of the request before on this connection
    sent_requests m_carried;
    std::array<char, readBytes> m_readBuffer {};
    std::string m_input;
    std::size_t m_answerBytes = 0; ///< received of the answer and of the interim answers ahead of it
    platform::leaf_answer m_answer; ///< the last one read
    std::string m_output;
    std::size_t m_heldBytes = 0; ///< of the current request, accounted to the leaf
    millis m_writeEnd; ///< until when the leaf must have read the request
    millis m_openedAt;
    millis m_idleSince;
    millis m_idleLimit = defaultIdleLimit;
    unsigned m_strayCount = 0;
    std::uint64_t m_requestCount = 0; ///< on this connection
    bool m_connected = false;
    bool m_busy = false;
    write_state m_write = write_state::Pending; ///< of the current request
    bool m_answerAwaitsWrite = false; ///< the answer ended with the connection, and the request is not written yet
    bool m_endOfStream = false;
    bool m_confirming = false; ///< the request was not answered; a new connection checks whether the leaf has crashed
    bool m_closed = false;
};

} // namespace chivelock
