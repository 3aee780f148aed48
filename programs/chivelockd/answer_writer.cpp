#include "answer_writer.h"

#include "caller_http.h"
#include "decision_service.h"
#include "reports.h"

#include <poll.h>

namespace chivelock {

namespace {

/** More than callers and pages that can wait at once; see caller_http::maxWaiting. */
constexpr std::size_t answerCapacity = 65000;
static_assert(answerCapacity > caller_http::maxWaiting);

constexpr int waitMs = 50;

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
    m_end = true;
    m_thread.join();
}

/** Writes each kind of item. */
struct answer_writer::item_handler {
    answer_writer &writer;

    void operator()(const caller_answer &item) const
    {
        const std::optional<waiting_caller> caller = writer.m_http->take(item.caller);
        if (!caller) {
            return;
        }
        http_reply reply {httpStatusOf(item.answer),
                          "application/json",
                          writeAnswer(item.answer),
                          item.answer.retryAfter,
                          writer.m_decision->isStopping()};
        caller_http::send(*caller, reply);
        // Names that callers made up would make as many series in the metrics as callers care to invent.
        const bool known =
            item.answer.reason != answer_reason::UnknownKind && item.answer.reason != answer_reason::NoCatalogue;
        const std::string kind = known ? item.answer.kind.value : "unknown";
        writer.m_metrics.add(
            {kind, std::string(toString(item.answer.priority)), std::string(toString(item.answer.outcome))},
            item.answer.elapsed);
        writer.logAnswer(item.answer);
    }

    void operator()(const report_page &item) const
    {
        if (const std::optional<waiting_caller> caller = writer.m_http->take(item.caller)) {
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
    while (!m_end) {
        pollfd readable {m_ring.wakeFd(), POLLIN, 0};
        poll(&readable, 1, waitMs);
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
