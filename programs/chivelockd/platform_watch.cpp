#include "platform_watch.h"

#include "decision_service.h"

#include <nlohmann/json.hpp>
#include <schema/schema.h>

#include <algorithm>

namespace chivelock {

namespace {

constexpr long okStatus = 200;
constexpr long noChangeStatus = 204;
constexpr long maxDocumentBytes = 4L << 20L;
constexpr millis failureLogInterval {5000};

std::size_t appendBody(char *data, std::size_t size, std::size_t count, void *target)
{
    static_cast<std::string *>(target)->append(data, size * count);
    return size * count;
}

std::uint64_t revisionOf(const std::string &text)
{
    const auto document = parseDocument(text);
    const bool hasRevision = document && document->is_object() && document->contains("revision")
        && document->at("revision").is_number_unsigned();
    return hasRevision ? document->at("revision").get<std::uint64_t>() : 0;
}

} // namespace

platform_watch::platform_watch(const daemon_settings &settings)
    : m_settings(settings)
    , m_random(settings.entry.seed)
    , m_failureLog(failureLogInterval)
    , m_documents {watched_document {platform_document::VmList, "vms"},
                   watched_document {platform_document::Topology, "topology"},
                   watched_document {platform_document::Catalogue, "catalogue"}}
{
}

void platform_watch::connect(kernel &services)
{
    m_decision = &services.find<decision_service>(decision_service::serviceName);
}

tl::expected<void, kernel_error> platform_watch::start()
{
    m_multi = curl_multi_init();
    for (watched_document &watched : m_documents) {
        watched.handle = curl_easy_init();
        curl_easy_setopt(watched.handle, CURLOPT_WRITEFUNCTION, appendBody);
        curl_easy_setopt(watched.handle, CURLOPT_WRITEDATA, &watched.text);
        curl_easy_setopt(watched.handle, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(watched.handle, CURLOPT_MAXFILESIZE, maxDocumentBytes);
    }
    m_thread = std::thread([this] { run(); });
    return {};
}

void platform_watch::stop()
{
    m_stopThread = true;
    curl_multi_wakeup(m_multi);
    m_thread.join();
    for (watched_document &watched : m_documents) {
        curl_multi_remove_handle(m_multi, watched.handle);
        curl_easy_cleanup(watched.handle);
    }
    curl_multi_cleanup(m_multi);
}

void platform_watch::retryNow()
{
    m_retryNow = true;
    curl_multi_wakeup(m_multi);
}

void platform_watch::run()
{
    constexpr int maxPollMs = 50;
    while (!m_stopThread) {
        const millis now = m_clock.now();
        const bool skipDelay = m_retryNow.exchange(false);
        for (watched_document &watched : m_documents) {
            if (!watched.reading && (skipDelay || now >= watched.nextReadAt)) {
                startRead(watched);
            }
        }
        int running = 0;
        curl_multi_perform(m_multi, &running);
        int left = 0;
        while (const CURLMsg *message = curl_multi_info_read(m_multi, &left)) {
            if (message->msg == CURLMSG_DONE) {
                finishRead(message->easy_handle, message->data.result, m_clock.now());
            }
        }
        // A read that has just completed is restarted without waiting for the poll, so that a change published in
        // between is seen immediately.
        const bool isReadDue = std::ranges::any_of(m_documents, [this](const watched_document &watched) {
            return !watched.reading && m_clock.now() >= watched.nextReadAt;
        });
        curl_multi_poll(m_multi, nullptr, 0, isReadDue ? 0 : maxPollMs, nullptr);
    }
}

void platform_watch::startRead(watched_document &watched)
{
    constexpr std::int64_t replyMarginMs = 2000;
    const std::int64_t waitMs = m_settings.platform.watchTimeout.ceiled();
    const std::string url = m_settings.platform.url + "/v1/config/" + std::string(watched.path)
        + "?after=" + std::to_string(watched.revision) + "&wait_ms=" + std::to_string(waitMs);
    watched.text.clear();
    watched.reading = true;
    curl_easy_setopt(watched.handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(watched.handle, CURLOPT_TIMEOUT_MS, static_cast<long>(waitMs + replyMarginMs));
    curl_multi_add_handle(m_multi, watched.handle);
}

void platform_watch::finishRead(CURL *handle, CURLcode result, millis now)
{
    watched_document &watched = *std::ranges::find(m_documents, handle, &watched_document::handle);
    long status = 0;
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    curl_multi_remove_handle(m_multi, handle);
    watched.reading = false;
    watched.nextReadAt = now;
    if (result == CURLE_OK && status == okStatus) {
        forwardDocument(watched);
    } else if (result != CURLE_OK || status != noChangeStatus) {
        watched.nextReadAt = now + retryDelay();
        if (m_failureLog.allow(now)) {
            logEvent(log_level::Warning,
                     "platform_read_failed",
                     {{"document", std::string(watched.path)},
                      {"status", std::int64_t {status}},
                      {"problem", std::string(curl_easy_strerror(result))},
                      {"lines_left_out", m_failureLog.takeSuppressed()}});
        }
    }
}

void platform_watch::forwardDocument(watched_document &watched)
{
    const std::uint64_t revision = revisionOf(watched.text);
    // Without this delay, a service that keeps returning a revision that was already read would be polled in a tight
    // loop.
    const bool isUnchanged = revision <= watched.revision;
    watched.nextReadAt = isUnchanged ? watched.nextReadAt + retryDelay() : watched.nextReadAt;
    if (m_decision->offer(document_read {watched.document, watched.text})) {
        watched.revision = std::max(watched.revision, revision);
    } else {
        watched.nextReadAt = watched.nextReadAt + retryDelay();
    }
}

millis platform_watch::retryDelay()
{
    return m_settings.platform.retryAfter * (0.5 + m_random.uniform());
}

} // namespace chivelock
