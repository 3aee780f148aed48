#pragma once

/** @file Readiness and metrics, each at its own address. */

#include "caller_server.h"

#include <functional>
#include <string>

namespace chivelock {

/** What the pages tell. */
class status_source
{
public:
    status_source() = default;
    status_source(const status_source &) = delete;
    status_source &operator=(const status_source &) = delete;
    virtual ~status_source() = default;

    /** Whether this VM takes callers; each call is one question of the platform. */
    [[nodiscard]] virtual bool answerReadiness() = 0;
    [[nodiscard]] virtual std::string metricsPage() const = 0;
};

/** The answer to a message that can't be taken as a request. */
[[nodiscard]] std::string writeFaultAnswer(read_state fault);

class status_pages
{
public:
    status_pages(boost::asio::io_context &reactor, status_source &source);

    [[nodiscard]] caller_server &readiness()
    {
        return m_readinessServer;
    }

    [[nodiscard]] caller_server &metrics()
    {
        return m_metricsServer;
    }

private:
    /** Answers each request at once. */
    class page : public request_listener
    {
    public:
        void onRequest(session_id session, http_request request) override;
        void onCallerLeft(session_id session) override;

        caller_server *server = nullptr;
        std::function<std::string(const http_request &)> answer;
    };

    page m_readinessPage;
    page m_metricsPage;
    caller_server m_readinessServer;
    caller_server m_metricsServer;
};

} // namespace chivelock
