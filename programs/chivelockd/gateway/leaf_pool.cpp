#include "leaf_pool.h"

#include "addresses.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace chivelock {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t readBytes = 8192; // the answer of most leafs in one read
constexpr std::size_t mostBodyBytes = 8 << 20; // far above any answer; bounds what a faulty leaf can make us hold
constexpr millis
    connectLimit(250); // some round trips within a region; a lost opening packet is repeated after a second
constexpr millis idleGuess(4000); // kept without a word from the leaf on how long
constexpr double idleShare = 0.7; // of the leaf's time: its close and our request must not cross
constexpr millis onceIdle(500); // for requests that must not run twice: a close that crosses one can't be made good
constexpr millis confirmLimit(30); // some round trips: the retry waits for it
constexpr millis
    aliveFor(200); // a leaf that took a connection is not asked again so soon: full ones reset many at once
constexpr unsigned mostStrayAnswers = 2; // late second answers on one connection before it is given up

} // namespace

/** One connection to one leaf. */
class leaf_pool::connection : public std::enable_shared_from_this<connection>
{
public:
    explicit connection(leaf_pool &pool)
        : m_pool(pool)
        , m_socket(pool.m_reactor)
        , m_connectTimer(pool.m_reactor)
    {
    }

    void open(leaf_message message)
    {
        m_message = std::move(message);
        m_openedAt = boot_clock().now();
        const auto endpoint = parseEndpoint(m_message.to->entry.address);
        error_code error;
        m_socket.open(tcp::v4(), error);
        if (!endpoint || error) {
            asio::post(m_pool.m_reactor, [self = shared_from_this()] { self->fail(send_failure::NotSent); });
            return;
        }
        m_socket.set_option(tcp::no_delay(true), error);
        m_connectTimer.expires_after(std::chrono::milliseconds(connectLimit.ceiled()));
        m_connectTimer.async_wait([self = shared_from_this()](const error_code &stopped) {
            if (!stopped && !self->m_connected) {
                self->fail(send_failure::NotSent);
            }
        });
        m_socket.async_connect(*endpoint,
                               [self = shared_from_this()](const error_code &failed) { self->onConnected(failed); });
    }

    void use(leaf_message message)
    {
        m_message = std::move(message);
        write(millis());
    }

    /** Ends without a word to the listener. */
    void close()
    {
        m_closed = true;
        m_connectTimer.cancel();
        error_code ignored; // it is closed in any case
        m_socket.close(ignored);
    }

    /** Ends it while nothing is under way on it. */
    void closeIdle()
    {
        m_message.to->keptConnections -= 1;
        close();
    }

    [[nodiscard]] bool usableFor(const leaf_message &message, millis now) const
    {
        const millis idle = now - m_idleSince;
        return idle < m_keepFor * idleShare && (!message.once || idle < onceIdle);
    }

    /** Whether the leaf has neither closed it nor sent anything, as far as the kernel knows at this moment. */
    [[nodiscard]] bool isQuiet()
    {
        char byte = 0;
        const auto got = ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }

    /** Whom it leads to. */
    [[nodiscard]] const leaf &peer() const
    {
        return *m_message.to;
    }

private:
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

    /** @param spent time that has passed since the request was handed in. */
    void write(millis spent)
    {
        m_busy = true;
        m_written = false;
        m_strays = 0;
        m_reader.expect(m_message.toHead, mostBodyBytes);
        m_output = platform::completeLeafRequest(*m_message.text, m_message.remaining - spent, m_message.to->entry.id);
        m_pool.m_counts.sent += 1;
        asio::async_write(
            m_socket, asio::buffer(m_output), [self = shared_from_this()](const error_code &error, std::size_t count) {
                self->m_written = !error;
                if (error && count == 0 && !self->m_confirming) {
                    self->fail(send_failure::NotSent); // the kernel took no byte, so the leaf got none
                }
            });
    }

    void read()
    {
        m_socket.async_read_some(
            asio::buffer(m_chunk),
            [self = shared_from_this()](const error_code &error, std::size_t count) { self->onRead(error, count); });
    }

    void onRead(const error_code &error, std::size_t count)
    {
        if (m_closed) {
            return;
        }
        if (error) {
            onEnd(error);
            return;
        }
        if (!m_busy) {
            drop(); // bytes that nobody asked for belong to no request
            return;
        }
        m_input.append(m_chunk.data(), count);
        const read_state state = m_reader.feed(m_input);
        if (state == read_state::Complete) {
            onAnswer();
        } else if (state != read_state::NeedMore) {
            fail(send_failure::Broken);
            return;
        }
        if (!m_closed) {
            read();
        }
    }

    void onEnd(const error_code &error)
    {
        if (!m_busy) {
            drop();
            return;
        }
        const bool orderly = error == asio::error::eof;
        if (orderly && m_reader.begun() && m_reader.finish() == read_state::Complete) {
            m_ended = true;
            onAnswer();
            return;
        }
        if (m_reader.begun() || !m_input.empty()) {
            fail(send_failure::Broken);
            return;
        }
        confirmEnd();
    }

    /**
     * A connection ends without an answer because the leaf has ended, or because it is full, has lost the answer or
     * was cut off for a moment. Only the first says something about the request, and only a new connection tells: a
     * process that has ended refuses it at once.
     */
    void confirmEnd()
    {
        m_confirming = true;
        error_code error;
        m_socket.close(error);
        const auto endpoint = parseEndpoint(peer().entry.address);
        if (!endpoint || boot_clock().now() - peer().takesConnectionsAt < aliveFor) {
            fail(send_failure::Broken);
            return;
        }
        m_socket.open(tcp::v4(), error);
        if (error) {
            fail(send_failure::Broken);
            return;
        }
        m_pool.m_counts.opened += 1;
        m_connectTimer.expires_after(std::chrono::milliseconds(confirmLimit.ceiled()));
        m_connectTimer.async_wait([self = shared_from_this()](const error_code &stopped) {
            if (!stopped) {
                self->fail(send_failure::Broken);
            }
        });
        m_socket.async_connect(*endpoint,
                               [self = shared_from_this()](const error_code &failed) { self->onConfirmed(failed); });
    }

    /** The new connection is kept for the next request: it has cost the leaf a slot for a moment. */
    void onConfirmed(const error_code &failed)
    {
        if (m_closed) {
            return;
        }
        m_connectTimer.cancel();
        if (failed) {
            fail(failed == asio::error::connection_refused ? send_failure::LeafEnded : send_failure::Broken);
            return;
        }
        const send_id id = m_message.id;
        m_message.to->takesConnectionsAt = boot_clock().now();
        m_reader.expect(false, mostBodyBytes);
        m_keepFor = idleGuess;
        m_confirming = false;
        m_pool.m_busy.erase(id);
        keepIdle();
        read();
        m_pool.m_listener.onLeafFailure(id, send_failure::Broken);
    }

    void keepIdle()
    {
        m_busy = false;
        m_idleSince = boot_clock().now();
        m_pool.m_idle[&peer()].push_back(shared_from_this());
        m_message.to->keptConnections += 1;
    }

    void onAnswer()
    {
        platform::leaf_answer answer = platform::readLeafAnswer(m_reader.take());
        const bool stray = !answer.requestId.empty() && answer.requestId != m_message.requestId;
        if (stray) {
            onStray();
            return;
        }
        const send_id id = m_message.id;
        m_keepFor = answer.keepAlive.value_or(m_keepFor);
        // A leaf may answer before it has read the request: the rest of it must not be taken for the next one.
        const bool reusable = answer.keepsConnection && m_written && m_input.empty() && m_strays == 0 && !m_ended;
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

    /** The late second answer to an earlier request; the one to this request is still to come. */
    void onStray()
    {
        m_strays += 1;
        m_pool.m_counts.strayAnswers += 1;
        if (m_strays > mostStrayAnswers || m_ended) {
            fail(send_failure::Broken);
            return;
        }
        m_reader.expect(m_message.toHead, mostBodyBytes);
        const read_state state = m_reader.feed(m_input);
        if (state == read_state::Complete) {
            onAnswer();
        } else if (state != read_state::NeedMore) {
            fail(send_failure::Broken);
        }
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

    /** An idle connection has ended. */
    void drop()
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
    asio::steady_timer m_connectTimer;
    response_reader m_reader;
    leaf_message m_message;
    std::array<char, readBytes> m_chunk {};
    std::string m_input;
    std::string m_output;
    millis m_openedAt;
    millis m_idleSince;
    millis m_keepFor = idleGuess;
    unsigned m_strays = 0;
    bool m_connected = false;
    bool m_busy = false;
    bool m_written = false;
    bool m_ended = false;
    bool m_confirming = false; ///< unanswered; finds out whether the leaf has ended
    bool m_closed = false;
};

leaf_pool::leaf_pool(asio::io_context &reactor, send_listener &listener)
    : m_reactor(reactor)
    , m_listener(listener)
{
}

leaf_pool::~leaf_pool()
{
    closeIdle();
    for (const auto &[id, one] : m_busy) {
        one->close();
    }
}

void leaf_pool::send(leaf_message message)
{
    const send_id id = message.id;
    if (const auto kept = takeIdle(message)) {
        m_busy.emplace(id, kept);
        kept->use(std::move(message));
        return;
    }
    const auto made = std::make_shared<connection>(*this);
    m_counts.opened += 1;
    m_busy.emplace(id, made);
    made->open(std::move(message));
}

std::shared_ptr<leaf_pool::connection> leaf_pool::takeIdle(const leaf_message &message)
{
    const auto idle = m_idle.find(message.to.get());
    if (idle == m_idle.end() || idle->second.empty()) {
        return nullptr;
    }
    auto newest = idle->second.back();
    if (!newest->usableFor(message, boot_clock().now()) || (message.once && !newest->isQuiet())) {
        closeIdleOf(*message.to); // the others have been idle for longer
        return nullptr;
    }
    idle->second.pop_back();
    message.to->keptConnections -= 1;
    return newest;
}

void leaf_pool::cancel(send_id id)
{
    const auto found = m_busy.find(id);
    if (found == m_busy.end()) {
        return;
    }
    const auto ended = found->second;
    m_busy.erase(found);
    ended->close();
    // Silence until the deadline may be the connection's alone; older ones to that leaf are not trusted either.
    closeIdleOf(ended->peer());
}

void leaf_pool::closeIdleOf(const leaf &target)
{
    const auto idle = m_idle.find(&target);
    if (idle == m_idle.end()) {
        return;
    }
    const connections old = std::move(idle->second);
    m_idle.erase(idle);
    std::ranges::for_each(old, [](const auto &one) { one->closeIdle(); });
}

void leaf_pool::closeIdle()
{
    const auto all = std::move(m_idle);
    m_idle.clear();
    for (const auto &[target, idle] : all) {
        std::ranges::for_each(idle, [](const auto &one) { one->closeIdle(); });
    }
}

} // namespace chivelock
