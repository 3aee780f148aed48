#include "status_pages.h"

#include <platform/platform.h>

namespace chivelock {

namespace {

std::string emptyAnswer(unsigned status)
{
    return writeResponse(status, reasonPhrase(status), {}, {}, false);
}

std::string readinessAnswer(status_source &source, const http_request &request)
{
    constexpr unsigned ok = 200;
    constexpr unsigned notFound = 404;
    constexpr unsigned unavailable = 503;
    if (request.target != platform::readinessPath) {
        return emptyAnswer(notFound);
    }
    return emptyAnswer(source.answerReadinessProbe() ? ok : unavailable);
}

std::string metricsAnswer(const status_source &source)
{
    constexpr unsigned ok = 200;
    const http_headers headers = {{"Content-Type", "text/plain; version=0.0.4"}};
    return writeResponse(ok, reasonPhrase(ok), headers, source.metricsPage(), false);
}

} // namespace

std::string writeReadErrorAnswer(read_state fault)
{
    constexpr unsigned badRequest = 400;
    constexpr unsigned timeout = 408;
    constexpr unsigned bodyTooLarge = 413;
    constexpr unsigned headTooLarge = 431;
    switch (fault) {
    case read_state::NeedMore:
        return platform::writeOwnAnswer(timeout, "too_slow", std::nullopt, true);
    case read_state::HeadTooLarge:
        return platform::writeOwnAnswer(headTooLarge, "head_too_large", std::nullopt, true);
    case read_state::BodyTooLarge:
        return platform::writeOwnAnswer(bodyTooLarge, "body_too_large", std::nullopt, true);
    default:
        return platform::writeOwnAnswer(badRequest, "bad_request", std::nullopt, true);
    }
}

std::string writeRefusalAnswer(std::string_view cause, millis retryAfter)
{
    constexpr unsigned unavailable = 503;
    return platform::writeOwnAnswer(unavailable, cause, retryAfter, true);
}

void status_pages::page::onRequest(session_id session, http_request request)
{
    server->reply(session, answer(request), false);
}

void status_pages::page::onCallerLeft(session_id session)
{
    (void)session; // every request is answered immediately, so none is pending
}

status_pages::status_pages(boost::asio::io_context &reactor, status_source &source)
    : m_readinessServer(reactor, m_readinessPage, {writeReadErrorAnswer, writeRefusalAnswer, "readiness"})
    , m_metricsServer(reactor, m_metricsPage, {writeReadErrorAnswer, writeRefusalAnswer, "metrics"})
{
    m_readinessPage.server = &m_readinessServer;
    m_readinessPage.answer = [&source](const http_request &request) { return readinessAnswer(source, request); };
    m_metricsPage.server = &m_metricsServer;
    m_metricsPage.answer = [&source](const http_request &request) {
        (void)request;
        return metricsAnswer(source);
    };
}

} // namespace chivelock
