#include "answer_writer.h"

#include "caller_http.h"
#include "decision_service.h"
#include "reports.h"

#include <poll.h>

namespace chivelock {

namespace {

/** Exceeds the number of callers and pages that can wait at the same time, so that each has room in the ring. */
constexpr std::size_t answerCapacity = 65000;
static_assert(answerCapacity > caller_http::maxWaitingCallers);

constexpr int maxPollMs = 50;

} // namespace

answer_writer::answer_writer(const daemon_settings &settings)
    : m_settings(settings)
    , m_ring(answerCapacity)
{
}

void answer_writer::connect(kernel &services)
{
    m_http = &services.find<caller_http>(caller_http::serviceName);
    m_decision = &services.find<decision_service>(decision_service::serviceName);
}

tl::expected<void, kernel_error> answer_writer::start()
{
    m_thread = std::thread([this] { run(); });
    return {};
}

void answer_writer::stop()
{
    m_stopThread = true;
    m_thread.join();
}

/** Sends the reply for each kind of item. */
struct answer_writer::item_handler {
    answer_writer &writer;

    void operator()(const caller_answer &item) const
    {
        const std::optional<waiting_caller> caller = writer.m_http->removeWaiting(item.caller);
        if (!caller) {
            return;
        }
        http_reply reply {httpStatusOf(item.answer),
                          "application/json",
                          writeAnswer(item.answer),
                          item.answer.retryAfter,
                          writer.m_decision->isStopping()};
        caller_http::send(*caller, reply);
        // A kind that is not in the catalogue is counted as "unknown": otherwise callers could create any number of
        // metric series.
        const bool isKnownKind =
            item.answer.reason != answer_reason::UnknownKind && item.answer.reason != answer_reason::NoCatalogue;
        const std::string kind = isKnownKind ? item.answer.kind.value : "unknown";
        writer.m_metrics.add(
            {kind, std::string(toString(item.answer.priority)), std::string(toString(item.answer.outcome))},
            item.answer.elapsed);
        writer.logAnswer(item.answer);
    }

    void operator()(const report_page &item) const
    {
        if (const std::optional<waiting_caller> caller = writer.m_http->removeWaiting(item.caller)) {
            caller_http::send(*caller,
                              {item.status, item.contentType, item.body, millis(), writer.m_decision->isStopping()});
        }
    }

    void operator()(const metrics_page &item) const
    {
        const std::vector<metric_value> values = metricValues(item);
        constexpr std::uint16_t okStatus = 200;
        (*this)(report_page {item.caller, okStatus, "text/plain", writer.m_metrics.write(values)});
    }
};

void answer_writer::run()
{
    while (!m_stopThread) {
        pollfd readable {m_ring.wakeFd(), POLLIN, 0};
        poll(&readable, 1, maxPollMs);
        m_ring.drain([this](answer_item &&item) { std::visit(item_handler {*this}, item); });
    }
    m_ring.drain([this](answer_item &&item) { std::visit(item_handler {*this}, item); });
}

void answer_writer::logAnswer(const lookup_answer &answer) const
{
    if (!m_settings.logAnswers) {
        return;
    }
    logEvent(log_level::Info,
             "lookup_ended",
             {{"request_id", answer.requestId},
              {"kind", answer.kind.value},
              {"outcome", std::string(toString(answer.outcome))},
              {"reason", std::string(toString(answer.reason))},
              {"snapshot", std::uint64_t {answer.snapshot.value}},
              {"covered", std::uint64_t {answer.covered.size()}},
              {"missing", std::uint64_t {answer.missing.size()}},
              {"leaf_requests", std::uint64_t {answer.attempts}},
              {"elapsed_ms", answer.elapsed.count()}});
}

} // namespace chivelock
