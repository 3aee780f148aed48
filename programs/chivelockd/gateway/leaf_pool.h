#pragma once

/**
 * @file
 * Connections to leafs, kept from request to request. Every send ends in exactly one word to the listener, unless it
 * was cancelled.
 */

#include <gateway/gateway.h>
#include <platform/platform.h>

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace chivelock {

/** What becomes of sends. */
class send_listener
{
public:
    send_listener() = default;
    send_listener(const send_listener &) = delete;
    send_listener &operator=(const send_listener &) = delete;
    virtual ~send_listener() = default;

    virtual void onLeafReply(send_id id, gateway_reply reply) = 0;
    virtual void onLeafFailure(send_id id, send_failure failure) = 0;
};

/** One request for a leaf. */
struct leaf_message {
    send_id id = 0;
    std::shared_ptr<leaf> to;
    std::shared_ptr<const platform::leaf_request_text> text;
    std::string requestId;
    millis remaining; ///< until the leaf may stop
    bool toHead = false; ///< its answer has no body
    bool once = false; ///< must not run twice
};

/** Counts since the start. */
struct leaf_pool_counts {
    std::uint64_t opened = 0;
    std::uint64_t sent = 0;
    std::uint64_t strayAnswers = 0; ///< to another request than the one asked
};

class leaf_pool
{
public:
    leaf_pool(boost::asio::io_context &reactor, send_listener &listener);
    leaf_pool(const leaf_pool &) = delete;
    leaf_pool &operator=(const leaf_pool &) = delete;
    ~leaf_pool();

    void send(leaf_message message);

    /** Closes the connection of a send that is under way; the leaf stops working on it. */
    void cancel(send_id id);

    /** Closes all connections on which nothing is under way: after this process stood still they may be dead. */
    void closeIdle();

    [[nodiscard]] const leaf_pool_counts &counts() const
    {
        return m_counts;
    }

private:
    class connection;
    using connections = std::vector<std::shared_ptr<connection>>;

    [[nodiscard]] std::shared_ptr<connection> takeIdle(const leaf_message &message);
    void closeIdleOf(const leaf &target);

    boost::asio::io_context &m_reactor;
    send_listener &m_listener;
    leaf_pool_counts m_counts;
    /** The one used last at the end. By leaf and not by its id: a leaf that starts again under its id accepts new
     *  connections only, and requests on those of its earlier life would be lost. Each entry's leaf is held alive by
     * its connections. */
    std::unordered_map<const leaf *, connections> m_idle;
    std::unordered_map<send_id, std::shared_ptr<connection>> m_busy;
};

} // namespace chivelock
