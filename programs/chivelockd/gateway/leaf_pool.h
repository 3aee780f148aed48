#pragma once

/**
 * @file
 * Pool of persistent connections to leafs. Every send ends with exactly one call of the listener, unless it was
 * cancelled.
 */

#include "input_guard.h"

#include <backpressure/backpressure.h>
#include <gateway/gateway.h>
#include <platform/platform.h>

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace chivelock {

/** A leaf's answer that belongs to no open send and was skipped. */
struct skipped_answer {
    std::string requestId; ///< of the request whose answer is due on the connection
    std::string namedId; ///< the request id in the answer
    std::string previousId; ///< of the request before on the connection; empty for the first one
    std::string leafId;
    std::string digest;
    unsigned status = 0;
    std::size_t bodyBytes = 0;
    bool connectionClosed = false;
};

/** A request that a leaf got before goes to it again, on another connection than before. */
struct repeated_request {
    std::string requestId;
    std::string leafId;
    bool newConnection = false; ///< no other connection was kept
};

/** Receives the outcome of sends. */
class send_listener
{
public:
    send_listener() = default;
    send_listener(const send_listener &) = delete;
    send_listener &operator=(const send_listener &) = delete;
    virtual ~send_listener() = default;

    virtual void onLeafReply(send_id id, gateway_reply reply) = 0;
    virtual void onLeafFailure(send_id id, send_failure failure) = 0;

    /** For logs. */
    virtual void onSkippedAnswer(const skipped_answer &skipped) = 0;
    virtual void onRepeatedRequest(const repeated_request &repeated) = 0;
};

/** One request to send to a leaf. */
struct leaf_message {
    send_id id = 0;
    std::shared_ptr<leaf> to;
    std::shared_ptr<const platform::leaf_request_text> text;
    std::string requestId;
    millis remaining; ///< time until the leaf may stop working on the request
    millis attemptEnd; ///< see @ref send_action::attemptEnd
    bool toHead = false; ///< the answer has no body
    bool once = false; ///< the request must run at most once
};

/** Counters since the start. */
struct leaf_pool_counts {
    std::uint64_t opened = 0;
    std::uint64_t sent = 0;
    std::uint64_t strayAnswers = 0; ///< answers to another request than the current one
    std::uint64_t heldBack = 0; ///< requests beyond what a leaf may hold
    std::uint64_t closedUnread = 0; ///< connections closed because the leaf did not read the request
};

class leaf_pool
{
public:
    leaf_pool(boost::asio::io_context &reactor, send_listener &listener);
    leaf_pool(const leaf_pool &) = delete;
    leaf_pool &operator=(const leaf_pool &) = delete;
    ~leaf_pool();

    /** Sets the limits on request bytes under way to leafs, and on the bytes of their incomplete answers. */
    void setLimits(const pressure_limits &limits)
    {
        m_underWay.setLimits(limits.leafs);
        m_incomplete.setLimit(limits.incompleteAnswers);
    }

    void send(leaf_message message);

    /** Closes the connections whose leafs have not read the request by the time at which they may stop working on it.
     */
    void closeUnread(millis now);

    /** Closes the connection of a send that is in progress, so that the leaf stops working on it. */
    void cancel(send_id id);

    /** Closes all idle connections: after a pause of this process leafs may have closed them. */
    void closeIdle();

    [[nodiscard]] const leaf_pool_counts &counts() const
    {
        return m_counts;
    }

    [[nodiscard]] std::size_t bytesUnderWay() const
    {
        return m_underWay.total();
    }

    [[nodiscard]] const input_guard &input() const
    {
        return m_input;
    }

    /** @return the number of open connections. */
    [[nodiscard]] std::size_t connections() const
    {
        return m_open;
    }

private:
    class connection;
    using connection_list = std::vector<std::shared_ptr<connection>>;

    [[nodiscard]] std::shared_ptr<connection> takeIdle(const leaf_message &message);
    [[nodiscard]] std::shared_ptr<connection> takeWithoutRequest(connection_list &idle, const leaf_message &message);
    void closeIdleOf(const leaf &target);
    void giveUpLargestAnswers();
    void holdBack(const leaf_message &message);

    boost::asio::io_context &m_reactor;
    send_listener &m_listener;
    leaf_pool_counts m_counts;
    input_guard m_input {"leaf"};
    byte_ledger<const leaf *> m_underWay; ///< request bytes of sends without an outcome
    incomplete_answers<connection *> m_incomplete;
    std::size_t m_open = 0;
    /** Idle connections, the most recently used one last. The key is the leaf object, not the leaf's id: a leaf that
     *  restarts under the same id serves new connections only, and requests on connections to its previous process
     * would be lost. The connections keep the leaf of their entry alive. */
    std::unordered_map<const leaf *, connection_list> m_idle;
    std::unordered_map<send_id, std::shared_ptr<connection>> m_busy;
};

} // namespace chivelock
