#pragma once

/**
 * @file
 * Pool of persistent connections to leafs. Every send ends with exactly one call of the listener, unless it was
 * cancelled.
 */

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
};

class leaf_pool
{
public:
    leaf_pool(boost::asio::io_context &reactor, send_listener &listener);
    leaf_pool(const leaf_pool &) = delete;
    leaf_pool &operator=(const leaf_pool &) = delete;
    ~leaf_pool();

    void send(leaf_message message);

    /** Closes the connection of a send that is in progress, so that the leaf stops working on it. */
    void cancel(send_id id);

    /** Closes all idle connections: after a pause of this process leafs may have closed them. */
    void closeIdle();

    [[nodiscard]] const leaf_pool_counts &counts() const
    {
        return m_counts;
    }

private:
    class connection;
    using connections = std::vector<std::shared_ptr<connection>>;

    [[nodiscard]] std::shared_ptr<connection> takeIdle(const leaf_message &message);
    [[nodiscard]] std::shared_ptr<connection> takeWithoutRequest(connections &idle, const leaf_message &message);
    void closeIdleOf(const leaf &target);

    boost::asio::io_context &m_reactor;
    send_listener &m_listener;
    leaf_pool_counts m_counts;
    /** Idle connections, the most recently used one last. The key is the leaf object, not the leaf's id: a leaf that
     *  restarts under the same id serves new connections only, and requests on connections to its previous process
     * would be lost. The connections keep the leaf of their entry alive. */
    std::unordered_map<const leaf *, connections> m_idle;
    std::unordered_map<send_id, std::shared_ptr<connection>> m_busy;
};

} // namespace chivelock
