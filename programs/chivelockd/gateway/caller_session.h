#pragma once

/** @file One connection of a caller; private to @ref chivelock::caller_server. */

#include "answer_pieces.h"
#include "caller_server.h"

#include <boost/asio/write.hpp>

#include <algorithm>
#include <cerrno>
#include <utility>

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace chivelock {

/** @return the IP address of the other end; empty if the connection is closed. */
[[nodiscard]] inline std::string addressOfPeer(const boost::asio::ip::tcp::socket &socket)
{
    boost::system::error_code error;
    const boost::asio::ip::tcp::endpoint peer = socket.remote_endpoint(error);
    return error ? std::string() : peer.address().to_string();
}

/** One connection of a caller. */
class caller_server::session : public std::enable_shared_from_this<session>
{
    using error_code = boost::system::error_code;
    using tcp = boost::asio::ip::tcp;

public:
    session(caller_server &server, session_id id, tcp::socket socket)
        : m_server(server)
        , m_id(id)
        , m_socket(std::move(socket))
        , m_phaseStart(boot_clock().now())
    {
    }

    void start()
    {
        error_code ignored; // without this option answers are only slower
        m_socket.set_option(tcp::no_delay(true), ignored);
        m_socket.non_blocking(true, ignored);
        read();
    }

    /** Keeps the kernel from buffering more than a usual answer for a caller that does not read. */
    void limitSendBuffer()
    {
        error_code ignored; // without this option the kernel only buffers more
        m_socket.set_option(boost::asio::socket_base::send_buffer_size(sendBufferBytes), ignored);
    }

    void reply(std::string bytes, bool close)
    {
        if (m_phase != phase::Busy) {
            return;
        }
        m_phase = phase::Writing;
        m_phaseStart = boot_clock().now();
        m_reserved = 0;
        if (m_toHead) {
            removeBody(bytes); // its caller would take a body for the start of the next answer
        }
        m_output.assign(std::move(bytes.insert(0, std::exchange(m_unsentInterim, {}))));
        m_heldInput = m_input.size();
        m_closeAfterAnswer = close;
        m_answerBegin = m_written;
        writeNext();
        // The caller's host acknowledges the first bytes after a round trip at the earliest.
        m_progressAt = boot_clock().now() + roundTrip().value_or(millis()) * roundTripsOfFirstBytes;
        sampleUse(true);
    }

    /** Counts @p bytes as held until the reply. */
    void reserve(std::size_t bytes)
    {
        m_reserved = bytes;
        sampleUse(false);
    }

    /** Answers that the request has not run. @pre no request is being served and no answer is being written. */
    void refuse(std::string_view cause)
    {
        m_phase = phase::Busy;
        reply(m_server.writeRefusal(cause, peerAddress()), true);
    }

    [[nodiscard]] std::optional<millis> roundTrip()
    {
        const std::optional<tcp_info> info = tcpInfo();
        return info && info->tcpi_rtt > 0 ? std::optional(millis::fromMicros(info->tcpi_rtt)) : std::nullopt;
    }

    [[nodiscard]] std::uint64_t requests() const
    {
        return m_requests;
    }

    [[nodiscard]] std::string peerAddress() const
    {
        return addressOfPeer(m_socket);
    }

    /** Updates the server's table. @param progressed whether the caller has sent something or got an answer. */
    void sampleUse(bool progressed)
    {
        const millis now = boot_clock().now();
        const std::size_t unread = m_unread ? bytesInKernel() : 0;
        const std::size_t received = m_written - std::min(m_written, unread);
        const bool hasRead = received > m_received;
        const bool hasProgressed = progressed || hasRead;
        if (hasProgressed) {
            m_progressAt = std::max(m_progressAt, progressed ? now : lastAcknowledgement(now));
        }
        m_received = received;
        m_unread = unread > 0 || m_phase == phase::Writing;
        const std::size_t bytes = m_heldInput + m_reserved + m_output.bytes() + unread;
        const std::size_t receivedOfAnswer = m_received - std::min(m_received, m_answerBegin);
        m_server.m_table.update(
            m_id, use(), bytes, hasProgressed, hasProgressed ? m_progressAt : now, receivedOfAnswer);
    }

    /** Updates the table. @return whether the caller has read something since the last call, or has sent something and
     *  leaves no answer unread: to send further requests is no sign of reading. */
    bool sampleProgress()
    {
        const std::size_t before = m_received;
        sampleUnread();
        const bool hasInput = !m_unread && hasInputInKernel();
        if (hasInput) {
            sampleUse(true);
        }
        return hasInput || m_received > before;
    }

    /** Updates the table for a caller that may have read something since the last call. */
    void sampleUnread()
    {
        if (m_unread) {
            sampleUse(false);
        }
    }

    /** Closes the connection to free its memory. A request of which only a part arrived is refused first. */
    void closeForPressure()
    {
        if (m_phase == phase::Waiting && hasPartialRequest()) {
            m_server.m_table.setRefused(m_id, true);
            refuse("connections_full");
            return;
        }
        if (m_unread) {
            error_code ignored; // otherwise the kernel would hold the unread bytes for minutes
            m_socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        }
        closeAndRemove();
    }

    /** Closes the connection if no request has arrived on it, as far as the kernel knows now, and none is expected. */
    void closeIfIdle(millis now)
    {
        const bool expectsFirst = m_requests == 0 && now - m_phaseStart < firstRequestWait;
        if (m_phase == phase::Waiting && !expectsFirst && !hasPartialRequest() && !hasInputInKernel()) {
            closeAndRemove();
        }
    }

    /** @return whether the caller has closed the connection; it is closed here, too, then. */
    [[nodiscard]] bool closeIfCallerLeft()
    {
        const ssize_t count = peekAtKernel();
        const bool isNothingYet = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
        const bool hasLeft = count <= 0 && !isNothingYet;
        if (hasLeft) {
            closeAndRemove();
        }
        return hasLeft;
    }

    void refuseIfIncomplete(std::string_view cause)
    {
        if (m_phase == phase::Waiting && hasPartialRequest()) {
            refuse(cause);
        }
    }

    void closeIfOverdue(millis now, const caller_limits &limits)
    {
        const bool receiving = m_phase == phase::Waiting && hasPartialRequest();
        const bool idle = m_phase == phase::Waiting && !receiving;
        const millis age = now - m_phaseStart;
        // The ledger bounds what callers that read slowly hold. Without it their time is bounded.
        const millis writeAge = now - (m_server.m_limitsMemory ? m_progressAt : m_phaseStart);
        if (idle && age > refusalWait && m_server.m_table.isRefused(m_id)) {
            refuse("connections_full");
        } else if (receiving && age > limits.headTimeout) {
            rejectInput(read_state::NeedMore);
        } else if ((idle && age > limits.idleTimeout && !hasInputInKernel())
                   || (m_phase == phase::Lingering && age > lingerLimit)
                   || (m_phase == phase::Writing && writeAge > writeLimit)) {
            closeAndRemove();
        }
    }

    void closeConnection()
    {
        m_phase = phase::Closed;
        error_code ignored; // the socket is closed even if an error is reported
        m_socket.close(ignored);
    }

private:
    static constexpr std::size_t maxPipelinedBytes = 65536; // buffered pipelined requests; the rest stays in the kernel
    // Read and dropped after the last answer. It lets a caller whose body is too large end it and read that answer.
    static constexpr std::size_t maxIgnoredBytes = 4U << 20U;
    static constexpr double roundTripsOfFirstBytes = 2; // with a delayed acknowledgement
    static constexpr millis lingerLimit {
        1000}; // for the caller to read the last answer before the connection is closed
    static constexpr millis refusalWait {1000}; // for the request of a connection that can't be kept
    static constexpr millis firstRequestWait {500}; // after the connection was opened; some round trips
    // Of the kernel for each caller, if the memory of the VM is known. It covers some 100 Mbit/s at a round trip of 10
    // ms.
    static constexpr int sendBufferBytes = 131072;
    static constexpr millis writeLimit {10000}; // a caller that takes longer to read its answer counts as disconnected

    enum class phase : std::uint8_t {
        Waiting, ///< for a request or the rest of one, or idle
        Busy, ///< a request is being served
        Writing,
        Lingering, ///< the last answer was sent; waits for the caller to close
        Closed
    };

    static void removeBody(std::string &answer)
    {
        constexpr std::string_view headEnd = "\r\n\r\n";
        answer.resize(answer.find(headEnd) + headEnd.size());
    }

    /** @return 1 if the kernel holds input, 0 at the end of the stream, -1 with `errno` otherwise. */
    [[nodiscard]] ssize_t peekAtKernel()
    {
        char byte = 0;
        return ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    }

    [[nodiscard]] bool hasInputInKernel()
    {
        return peekAtKernel() > 0;
    }

    [[nodiscard]] bool hasPartialRequest() const
    {
        return m_reader.begun() || !m_input.empty();
    }

    [[nodiscard]] connection_use use() const
    {
        switch (m_phase) {
        case phase::Waiting:
            break;
        case phase::Busy:
            return connection_use::Serving;
        case phase::Writing:
            return connection_use::Answering;
        case phase::Lingering:
        case phase::Closed:
            return connection_use::Closing;
        }
        if (hasPartialRequest()) {
            return connection_use::Receiving;
        }
        return m_unread ? connection_use::Answering : connection_use::Idle;
    }

    /** @return bytes that were written and that the caller's host has not acknowledged. */
    [[nodiscard]] std::size_t bytesInKernel()
    {
        int bytes = 0;
        return ioctl(m_socket.native_handle(), SIOCOUTQ, &bytes) == 0 ? static_cast<std::size_t>(bytes) : 0;
    }

    /**
     * @return when the caller's host last acknowledged anything; @p now if not known. Connections are sampled only now
     * and then, so the time of the sample would make a caller that stopped reading long before look like one that
     * reads.
     */
    [[nodiscard]] millis lastAcknowledgement(millis now)
    {
        const std::optional<tcp_info> info = tcpInfo();
        return info ? now - millis(info->tcpi_last_ack_recv) : now;
    }

    [[nodiscard]] std::optional<tcp_info> tcpInfo()
    {
        tcp_info info {};
        socklen_t size = sizeof info;
        const bool isKnown = getsockopt(m_socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) == 0;
        return isKnown ? std::optional(info) : std::nullopt;
    }

    void read()
    {
        if (m_readPending || m_input.size() >= maxPipelinedBytes) {
            return;
        }
        m_readPending = true;
        m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const error_code &failed) {
            self->m_readPending = false;
            if (self->m_phase != phase::Closed) {
                self->readAvailable(failed);
            }
        });
    }

    void readAvailable(error_code error)
    {
        std::size_t count = 0;
        if (!error) {
            count = m_socket.read_some(boost::asio::buffer(m_server.m_readBuffer), error);
        }
        if (error == boost::asio::error::would_block) {
            read();
            return;
        }
        onRead(error, count);
    }

    void onRead(const error_code &error, std::size_t count)
    {
        if (error) {
            onPeerClosed();
            return;
        }
        const bool isAccepted = m_phase == phase::Lingering ? ignoreInput(count) : keepInput(count);
        if (!isAccepted) {
            return;
        }
        sampleUse(!m_unread);
        if (m_phase == phase::Waiting) {
            parse();
        }
        if (m_phase != phase::Closed) {
            read();
        }
    }

    [[nodiscard]] bool keepInput(std::size_t count)
    {
        const bool first = m_phase == phase::Waiting && m_input.empty() && !m_reader.begun();
        m_phaseStart = first ? boot_clock().now() : m_phaseStart;
        const read_state state = m_server.m_input.read([this, count] {
            m_input.append(m_server.m_readBuffer.data(), count);
            return read_state::NeedMore;
        });
        m_heldInput += count;
        if (isCutOff(state)) {
            cutOff(toString(state), m_heldInput);
        }
        return !isCutOff(state);
    }

    /** @return false if the connection was closed: its caller does not stop sending. */
    [[nodiscard]] bool ignoreInput(std::size_t count)
    {
        m_ignoredBytes += count;
        const bool isTooMuch = m_ignoredBytes > maxIgnoredBytes;
        if (isTooMuch) {
            cutOff("input_after_answer", m_ignoredBytes);
        }
        return !isTooMuch;
    }

    /** Closes the connection without an answer. */
    void cutOff(std::string_view cause, std::size_t bytes)
    {
        m_server.m_input.countCutOff(cause, peerAddress(), bytes);
        onPeerClosed();
    }

    /** @param request receives the request that is complete then. */
    [[nodiscard]] read_state feedReader(http_request &request)
    {
        return m_server.m_input.read([this, &request] {
            const read_state state = m_reader.feed(m_input);
            if (state == read_state::Complete) {
                request = m_reader.take();
            }
            return state;
        });
    }

    void parse()
    {
        http_request request;
        m_reader.setLimits(m_server.m_limits.headBytes, m_server.m_limits.bodyBytes);
        read_state state = feedReader(request);
        if (state == read_state::HeadComplete || state == read_state::Complete) {
            if (!m_server.mayServe(m_id, peerAddress())) {
                refuse(m_server.m_table.isMemoryFull() ? "memory_full" : "connections_full");
                return;
            }
        }
        if (state == read_state::HeadComplete) {
            sendContinue();
            state = feedReader(request);
        }
        if (state == read_state::NeedMore || state == read_state::HeadComplete) {
            return;
        }
        if (state == read_state::ReadFailed) {
            cutOff(toString(state), m_heldInput);
            return;
        }
        if (state != read_state::Complete) {
            rejectInput(state);
            return;
        }
        m_phase = phase::Busy;
        sampleUse(true);
        m_requests += 1;
        m_keepAlive = request.keepAlive;
        m_toHead = request.method == "HEAD";
        m_server.m_listener.onRequest(m_id, std::move(request));
    }

    /**
     * Sends as much of the interim response as the socket has room for; the rest precedes the answer. Waiting for a
     * caller that does not read would delay all others.
     */
    void sendContinue()
    {
        if (!m_reader.expectsContinue()) {
            return;
        }
        static constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
        error_code ignored; // a broken connection is detected by the next read
        const std::size_t sent = m_socket.send(boost::asio::buffer(interim), 0, ignored);
        m_unsentInterim = interim.substr(sent);
    }

    void rejectInput(read_state state)
    {
        if (isCutOff(state)) {
            m_server.m_input.countCutOff(toString(state), peerAddress(), m_heldInput);
        }
        m_phase = phase::Busy;
        m_toHead = false;
        reply(m_server.m_answers.readError(state), true);
    }

    void writeNext()
    {
        m_writtenBefore = m_written;
        const auto countWritten = [self = shared_from_this()](const error_code &error, std::size_t count) {
            self->m_written = self->m_writtenBefore + count;
            return boost::asio::transfer_all()(error, count);
        };
        boost::asio::async_write(m_socket,
                                 boost::asio::buffer(m_output.front()),
                                 countWritten,
                                 [self = shared_from_this()](const error_code &error, std::size_t count) {
                                     self->onPieceWritten(error, count);
                                 });
    }

    void onPieceWritten(const error_code &error, std::size_t count)
    {
        m_written = m_writtenBefore + count; // the last bytes are not reported before
        if (error) {
            closeAndRemove();
        }
        if (m_phase == phase::Closed) {
            return;
        }
        m_output.pop();
        if (m_output.empty()) {
            onWritten();
        } else {
            writeNext();
        }
    }

    void onWritten()
    {
        m_phaseStart = boot_clock().now();
        m_unread = true;
        if (m_closeAfterAnswer || !m_keepAlive) {
            linger();
            return;
        }
        m_phase = phase::Waiting;
        m_toHead = false;
        sampleUse(true);
        if (!m_input.empty()) {
            parse();
        }
        if (m_phase != phase::Closed) {
            read();
        }
    }

    /** Shuts down the sending side only: closing with unread input would reset the connection and lose the answer. */
    void linger()
    {
        m_phase = phase::Lingering;
        m_input = std::string();
        m_heldInput = 0;
        error_code ignored; // the peer may have closed the connection
        m_socket.shutdown(tcp::socket::shutdown_send, ignored);
        sampleUse(true);
        read();
    }

    void onPeerClosed()
    {
        const bool unanswered = m_phase == phase::Busy;
        closeAndRemove();
        if (unanswered) {
            m_server.m_listener.onCallerLeft(m_id);
        }
    }

    void closeAndRemove()
    {
        closeConnection();
        m_server.m_table.close(m_id);
        m_server.m_sessions.erase(m_id);
    }

    caller_server &m_server;
    session_id m_id;
    tcp::socket m_socket;
    request_reader m_reader;
    std::string m_input;
    answer_pieces m_output;
    std::size_t m_heldInput = 0; ///< bytes of the current request and of those behind it
    std::size_t m_ignoredBytes = 0; ///< received after the last answer
    std::size_t m_reserved = 0; ///< for the answer to the current request
    std::size_t m_answerBegin = 0; ///< bytes on this connection before the current answer
    std::size_t m_writtenBefore = 0; ///< on this connection, before the current piece of an answer
    std::size_t m_written = 0; ///< on this connection
    std::size_t m_received = 0; ///< of the written bytes, those that the caller's host has acknowledged
    millis m_progressAt; ///< last time that the caller sent or received something
    bool m_unread = false; ///< the caller may not have received all that was written
    std::string_view m_unsentInterim; ///< of an interim response, for lack of room in the socket
    phase m_phase = phase::Waiting;
    std::uint64_t m_requests = 0; ///< read completely
    bool m_readPending = false;
    bool m_keepAlive = true;
    bool m_closeAfterAnswer = false;
    bool m_toHead = false; ///< the current request is a HEAD request
    millis m_phaseStart; ///< start of the phase, or arrival of the request's first byte
};

} // namespace chivelock
