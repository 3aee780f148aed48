#include "platform_watch.h"

#include "decision_service.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace chivelock {

namespace {

constexpr long okStatus = 200;
constexpr long waitEndedStatus = 204;
constexpr long maxDocumentBytes = 4L << 20L;
constexpr millis logPause {5000};

std::size_t appendText(char *data, std::size_t size, std::size_t count, void *target)
{
    static_cast<std::string *>(target)->append(data, size * count);
    return size * count;
}

std::uint64_t revisionOf(const std::string &text)
{
    const nlohmann::json document = nlohmann::json::parse(text, nullptr, false);
    const bool numbered =
        document.is_object() && document.contains("revision") && document.at("revision").is_number_unsigned();
    return numbered ? document.at("revision").get<std::uint64_t>() : 0;
}

} // namespace

platform_watch::platform_watch(const daemon_settings &settings)
    : m_settings(settings)
    , m_random(settings.entry.seed)
    , m_failureLog(logPause)
    , m_documents {watched {platform_document::VmList, "vms"},
                   watched {platform_document::Topology, "topology"},
                   watched {platform_document::Catalogue, "catalogue"}}
{
}

void platform_watch::connect(kernel &services)
{
    m_decision = &services.find<decision_service>(decision_service::serviceName);
}

tl::expected<void, kernel_error> platform_watch::start()
{
    m_multi = curl_multi_init();
    for (watched &document : m_documents) {
        document.handle = curl_easy_init();
        curl_easy_setopt(document.handle, CURLOPT_WRITEFUNCTION, appendText);
        curl_easy_setopt(document.handle, CURLOPT_WRITEDATA, &document.text);
        curl_easy_setopt(document.handle, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(document.handle, CURLOPT_MAXFILESIZE, maxDocumentBytes);
    }
    m_thread = std::thread([this] { run(); });
    return {};
}

void platform_watch::stop()
{
    m_end = true;
    curl_multi_wakeup(m_multi);
    m_thread.join();
    for (watched &document : m_documents) {
        curl_multi_remove_handle(m_multi, document.handle);
        curl_easy_cleanup(document.handle);
    }
    curl_multi_cleanup(m_multi);
}

void platform_watch::hurry()
{
    m_hurry = true;
    curl_multi_wakeup(m_multi);
}

void platform_watch::run()
{
    constexpr int roundMs = 50;
    while (!m_end) {
        const millis now = m_clock.now();
        const bool hurried = m_hurry.exchange(false);
        for (watched &document : m_documents) {
            if (!document.running && (hurried || now >= document.startAt)) {
                begin(document);
            }
        }
        int running = 0;
        curl_multi_perform(m_multi, &running);
        int left = 0;
        while (const CURLMsg *message = curl_multi_info_read(m_multi, &left)) {
            if (message->msg == CURLMSG_DONE) {
                finish(message->easy_handle, message->data.result, m_clock.now());
            }
        }
        // A watch that has just ended is begun anew at once: a change published in between is seen without a round's
        // wait.
        const bool due = std::ranges::any_of(m_documents, [this](const watched &document) {
            return !document.running && m_clock.now() >= document.startAt;
        });
        curl_multi_poll(m_multi, nullptr, 0, due ? 0 : roundMs, nullptr);
    }
}

void platform_watch::begin(watched &document)
{
    constexpr std::int64_t replyGraceMs = 2000;
    const std::int64_t wait = m_settings.platform.watchFor.ceiled();
    const std::string url = m_settings.platform.url + "/v1/config/" + std::string(document.path)
        + "?after=" + std::to_string(document.revision) + "&wait_ms=" + std::to_string(wait);
    document.text.clear();
    document.running = true;
    curl_easy_setopt(document.handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(document.handle, CURLOPT_TIMEOUT_MS, static_cast<long>(wait + replyGraceMs));
    curl_multi_add_handle(m_multi, document.handle);
}

void platform_watch::finish(CURL *handle, CURLcode result, millis now)
{
    watched &document = *std::ranges::find(m_documents, handle, &watched::handle);
    long status = 0;
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    curl_multi_remove_handle(m_multi, handle);
    document.running = false;
    document.startAt = now;
    if (result == CURLE_OK && status == okStatus) {
        takeText(document);
    } else if (result != CURLE_OK || status != waitEndedStatus) {
        document.startAt = now + pauseAfterFailure();
        if (m_failureLog.allow(now)) {
            logEvent(log_level::Warning,
                     "platform_read_failed",
                     {{"document", std::string(document.path)},
                      {"status", std::int64_t {status}},
                      {"problem", std::string(curl_easy_strerror(result))},
                      {"lines_left_out", m_failureLog.takeSuppressed()}});
        }
    }
}

void platform_watch::takeText(watched &document)
{
    const std::uint64_t revision = revisionOf(document.text);
    // A service that answers at once with what was already read would be asked in a tight loop.
    const bool sameAgain = revision <= document.revision;
    document.startAt = sameAgain ? document.startAt + pauseAfterFailure() : document.startAt;
    if (m_decision->offer(document_read {document.which, document.text})) {
        document.revision = std::max(document.revision, revision);
    } else {
        document.startAt = document.startAt + pauseAfterFailure();
    }
}

millis platform_watch::pauseAfterFailure()
{
    return m_settings.platform.retryAfter * (0.5 + m_random.uniform());
}

} // namespace chivelock
