#pragma once

/** @file HTTP pages for readiness and metrics, each with its own listening address. */

#include "caller_server.h"

#include <functional>
#include <string>

namespace chivelock {

/** Provides the contents of the pages. */
class status_source
{
public:
    status_source() = default;
    status_source(const status_source &) = delete;
    status_source &operator=(const status_source &) = delete;
    virtual ~status_source() = default;

    /** @return whether this VM accepts callers. Called once per readiness probe: a planned stop counts the probes. */
    [[nodiscard]] virtual bool answerReadinessProbe() = 0;
    [[nodiscard]] virtual std::string metricsPage() const = 0;
};

/** @return the error response to input that is not a valid request. */
[[nodiscard]] std::string writeReadErrorAnswer(read_state fault);

/** @return the 503 to a request that was not read for lack of connections or memory, so that it never runs. */
[[nodiscard]] std::string writeRefusalAnswer(std::string_view cause, millis retryAfter);

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
    /** Answers each request immediately. */
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
