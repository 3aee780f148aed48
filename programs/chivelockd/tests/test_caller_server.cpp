#define BOOST_TEST_MODULE caller_server
#include <boost/test/included/unit_test.hpp>

#include "caller_server.h"

#include <boost/asio/write.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <thread>

#include <sys/socket.h>

using namespace chivelock;
using boost::asio::ip::tcp;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t longAnswerBytes = 16384;
constexpr std::size_t shortAnswerBytes = 1;

std::uint16_t freePort(boost::asio::io_context &reactor)
{
    const tcp::acceptor acceptor(reactor, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    return acceptor.local_endpoint().port();
}

/** Answers each request at once, with as many bytes as the test wants. */
class answering_listener : public request_listener
{
public:
    void onRequest(session_id session, http_request request) override
    {
        (void)request;
        server->reply(session, std::string(answerBytes, 'x'), false);
        ++requests;
    }

    void onCallerLeft(session_id session) override
    {
        (void)session;
    }

    caller_server *server = nullptr;
    std::atomic<std::size_t> answerBytes = longAnswerBytes;
    std::atomic<std::size_t> requests = 0;
};

std::string noReadError(read_state fault)
{
    (void)fault;
    return {};
}

std::string refusal(std::string_view cause, millis retryAfter)
{
    (void)retryAfter;
    return "HTTP/1.1 503 " + std::string(cause) + "\r\n\r\n";
}

/** A server on a reactor thread of its own. */
class running_server
{
public:
    running_server()
        : m_server(m_reactor, m_listener, {noReadError, refusal})
        , m_port(freePort(m_reactor))
    {
        m_listener.server = &m_server;
        BOOST_REQUIRE(!m_server.listen("127.0.0.1", m_port));
        m_thread = std::thread([this] { m_reactor.run(); });
    }

    running_server(const running_server &) = delete;
    running_server &operator=(const running_server &) = delete;

    ~running_server()
    {
        m_reactor.stop();
        m_thread.join();
    }

    [[nodiscard]] answering_listener &listener()
    {
        return m_listener;
    }

    [[nodiscard]] tcp::endpoint endpoint() const
    {
        return {boost::asio::ip::address_v4::loopback(), m_port};
    }

private:
    boost::asio::io_context m_reactor;
    answering_listener m_listener;
    caller_server m_server;
    std::uint16_t m_port;
    std::thread m_thread;
};

void setReadTimeout(tcp::socket &socket, std::chrono::microseconds limit)
{
    const timeval value {0, limit.count()};
    setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &value, sizeof value);
}

std::string withoutInterimResponses(std::string_view bytes)
{
    constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
    std::string rest;
    std::size_t from = 0;
    for (std::size_t at = bytes.find(interim); at != std::string::npos; at = bytes.find(interim, from)) {
        rest.append(bytes, from, at - from);
        from = at + interim.size();
    }
    return rest.append(bytes, from);
}

/** A caller that sends requests and reads no answers until it has sent the last one. */
class unreading_caller
{
public:
    explicit unreading_caller(running_server &server)
        : m_listener(server.listener())
        , m_socket(m_reactor)
    {
        m_socket.open(tcp::v4());
        m_socket.set_option(boost::asio::socket_base::receive_buffer_size(4096));
        m_socket.connect(server.endpoint());
        m_socket.set_option(tcp::no_delay(true));
    }

    /** Sends up to @p limit requests, each body after its head. @return how many the server read before it stopped. */
    std::size_t sendWhileServed(std::size_t limit)
    {
        std::size_t served = 0;
        while (served < limit && sendOne()) {
            ++served;
        }
        return served;
    }

    /** @return the bytes that were sent to the caller, once no more arrive. */
    std::string readAll()
    {
        setReadTimeout(m_socket, 300ms);
        std::string all;
        std::array<char, 65536> buffer {};
        for (ssize_t got = 0; (got = ::recv(m_socket.native_handle(), buffer.data(), buffer.size(), 0)) > 0;) {
            all.append(buffer.data(), static_cast<std::size_t>(got));
        }
        return all;
    }

private:
    bool sendOne()
    {
        constexpr std::string_view head =
            "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nExpect: 100-continue\r\n\r\n";
        const std::size_t before = m_listener.requests;
        boost::asio::write(m_socket, boost::asio::buffer(head));
        std::this_thread::sleep_for(100us);
        boost::asio::write(m_socket, boost::asio::buffer("b", 1));
        const auto end = std::chrono::steady_clock::now() + 300ms;
        while (m_listener.requests == before && std::chrono::steady_clock::now() < end) {
            std::this_thread::sleep_for(20us);
        }
        return m_listener.requests > before;
    }

    answering_listener &m_listener;
    boost::asio::io_context m_reactor;
    tcp::socket m_socket;
};

bool isServed(running_server &server)
{
    boost::asio::io_context reactor;
    tcp::socket socket(reactor);
    socket.connect(server.endpoint());
    setReadTimeout(socket, 900ms);
    boost::asio::write(socket, boost::asio::buffer(std::string_view("GET /a HTTP/1.1\r\nHost: h\r\n\r\n")));
    char byte = 0;
    return ::recv(socket.native_handle(), &byte, 1, 0) == 1;
}

/** Sends after a refused request. @return the bytes sent until the server closed the connection. */
std::size_t sendUntilClosed(running_server &server, std::size_t limit)
{
    boost::asio::io_context reactor;
    tcp::socket socket(reactor);
    socket.connect(server.endpoint());
    boost::system::error_code error;
    boost::asio::write(socket, boost::asio::buffer(std::string_view("BAD\r\n\r\n")), error);
    const std::string piece(65536, 'x');
    std::size_t sent = 0;
    while (!error && sent < limit) {
        sent += boost::asio::write(socket, boost::asio::buffer(piece), error);
    }
    return sent;
}

} // namespace

// Guards against input that is read for as long as it comes, though it is not kept.
BOOST_AUTO_TEST_CASE(a_refused_caller_that_does_not_stop_sending_is_cut_off)
{
    running_server server;
    constexpr std::size_t fourMegabytes = 4U << 20U;
    constexpr std::size_t kernelBuffers = 16U << 20U;
    BOOST_TEST(sendUntilClosed(server, 10 * kernelBuffers) <= fourMegabytes + kernelBuffers);
    BOOST_TEST(sendUntilClosed(server, fourMegabytes / 2) == fourMegabytes / 2);
    BOOST_TEST(isServed(server));
}

// Guards against a process that ends because the input of one connection could not be read.
BOOST_AUTO_TEST_CASE(an_exception_in_reading_ends_one_connection)
{
    input_guard guard("leaf");
    const auto failing = [](const auto &problem) { return [&problem]() -> read_state { throw problem; }; };
    BOOST_CHECK(guard.read(failing(std::bad_alloc())) == read_state::ReadFailed);
    BOOST_CHECK(guard.read(failing(std::length_error("too long"))) == read_state::ReadFailed);
    BOOST_CHECK(guard.read([] { return read_state::NeedMore; }) == read_state::NeedMore);
    BOOST_TEST(isCutOff(read_state::ReadFailed));
}

// Guards against an interim response that is cut for want of room in the socket, or delays all other callers.
BOOST_AUTO_TEST_CASE(a_caller_that_reads_no_answers_does_not_delay_others)
{
    running_server server;
    constexpr std::size_t noLimit = 100000;
    const std::size_t longAnswers = unreading_caller(server).sendWhileServed(noLimit);
    constexpr std::size_t roomForShortOnes = 6;
    BOOST_REQUIRE(longAnswers > roomForShortOnes);

    unreading_caller caller(server);
    BOOST_REQUIRE(caller.sendWhileServed(longAnswers - roomForShortOnes) == longAnswers - roomForShortOnes);
    server.listener().answerBytes = shortAnswerBytes;
    BOOST_TEST(caller.sendWhileServed(noLimit) < noLimit);
    BOOST_TEST(isServed(server));
    BOOST_TEST(withoutInterimResponses(caller.readAll()).find_first_not_of('x') == std::string::npos);
}
