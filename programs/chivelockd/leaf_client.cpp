#include "leaf_client.h"

#include "decision_service.h"
#include "leaf_protocol.h"

#include <algorithm>

namespace chivelock {

namespace {

constexpr millis connectTimeout {300};
constexpr millis probeTimeout {500};
constexpr millis cancelTimeout {500};
constexpr millis replyGrace {100}; ///< a leaf is told its deadline; this much later its silence is a failure
constexpr long maxReplyBytes = 16L << 20L;
constexpr std::size_t maxIdleHandles = 256;

std::size_t appendText(char *data, std::size_t size, std::size_t count, void *target)
{
    static_cast<std::string *>(target)->append(data, size * count);
    return size * count;
}

/** Proof that the leaf saw nothing: no connection, or not one byte of the request written. */
bool neverSent(CURL *handle, CURLcode result)
{
    long requestBytes = 0;
    curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &requestBytes);
    return result == CURLE_COULDNT_CONNECT || (result != CURLE_OK && requestBytes == 0);
}

} // namespace

leaf_client::leaf_client(const daemon_settings &settings)
    : m_settings(settings)
    , m_ring(settings.ringCapacity)
{
}

void leaf_client::connect(kernel &services)
{
    m_decision = &services.find<decision_service>(decision_service::serviceName);
}

tl::expected<void, kernel_error> leaf_client::start()
{
    constexpr long keptConnections = 1024;
    m_multi = curl_multi_init();
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, keptConnections);
    m_headers = curl_slist_append(nullptr, "Content-Type: application/json");
    m_headers = curl_slist_append(m_headers, "Expect:"); // No wait for "100 Continue" before a small body.
    m_thread = std::thread([this] { run(); });
    return {};
}

void leaf_client::stop()
{
    m_end = true;
    curl_multi_wakeup(m_multi);
    m_thread.join();
    for (const auto &[handle, open] : m_transfers) {
        curl_multi_remove_handle(m_multi, handle);
        curl_easy_cleanup(handle);
    }
    std::ranges::for_each(m_idleHandles, curl_easy_cleanup);
    curl_multi_cleanup(m_multi);
    curl_slist_free_all(m_headers);
}

/** Begins what each command asks for. */
struct leaf_client::command_handler {
    leaf_client &client;

    void operator()(leaf_call_command &command) const
    {
        client.beginSearch(std::move(command.call), command.endpoint);
    }

    void operator()(const leaf_cancel_command &command) const
    {
        client.beginCancel(command.cancel);
    }

    void operator()(const leaf_probe_command &command) const
    {
        client.beginProbe(command.probe, command.endpoint);
    }
};

void leaf_client::run()
{
    constexpr int roundMs = 100;
    while (!m_end) {
        std::vector<decision_event> untold = std::exchange(m_untold, {});
        std::ranges::for_each(untold, [this](decision_event &event) { tell(std::move(event)); });
        m_ring.drain([this](leaf_command &&command) { std::visit(command_handler {*this}, command); });
        int running = 0;
        curl_multi_perform(m_multi, &running);
        int left = 0;
        while (const CURLMsg *message = curl_multi_info_read(m_multi, &left)) {
            if (message->msg == CURLMSG_DONE) {
                finish(message->easy_handle, message->data.result);
            }
        }
        curl_waitfd ring {m_ring.wakeFd(), CURL_WAIT_POLLIN, 0};
        curl_multi_poll(m_multi, &ring, 1, m_untold.empty() ? roundMs : 1, nullptr);
    }
}

void leaf_client::beginSearch(leaf_call call, const leaf_endpoint &endpoint)
{
    // The decision may have been made before this process was stopped and woken. Sending it now could put work on a
    // leaf that has since begun to leave, or start what the caller was told is given up.
    const millis now = m_clock.now();
    if (now > call.notAfter) {
        refuseUnsent(call);
        return;
    }
    transfer &started = prepare(purpose::Search, endpoint, leaf_protocol::searchPath);
    const millis remaining = call.deadline - now;
    m_openSearches.emplace(call.id, endpoint);
    started.body = leaf_protocol::searchBody(call, callName(call.id), remaining);
    started.call = std::move(call);
    curl_easy_setopt(started.handle, CURLOPT_POSTFIELDS, started.body.c_str());
    curl_easy_setopt(started.handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(started.body.size()));
    curl_easy_setopt(started.handle, CURLOPT_HTTPHEADER, m_headers);
    if (started.call.once) {
        // On a kept connection that breaks before the first byte of a reply, libcurl sends the request again by
        // itself; the leaf may have run the first one. On a fresh connection it never does.
        curl_easy_setopt(started.handle, CURLOPT_FRESH_CONNECT, 1L);
    }
    launch(started, remaining + replyGrace);
}

void leaf_client::beginCancel(const leaf_cancel &cancel)
{
    const auto open = m_openSearches.find(cancel.id);
    if (open == m_openSearches.end()) {
        return; // Already ended.
    }
    transfer &started =
        prepare(purpose::Cancel, open->second, std::string(leaf_protocol::requestsPath) + callName(cancel.id));
    curl_easy_setopt(started.handle, CURLOPT_CUSTOMREQUEST, "DELETE");
    launch(started, cancelTimeout);
}

void leaf_client::beginProbe(const leaf_probe &probe, const leaf_endpoint &endpoint)
{
    transfer &started = prepare(purpose::Probe, endpoint, leaf_protocol::healthPath);
    started.probe = probe;
    launch(started, probeTimeout);
}

leaf_client::transfer &leaf_client::prepare(purpose what, const leaf_endpoint &endpoint, std::string_view path)
{
    auto owned = std::make_unique<transfer>();
    transfer &started = *owned;
    started.what = what;
    started.endpoint = endpoint;
    started.handle = takeHandle();
    started.url = "http://" + endpoint.address + ":" + std::to_string(endpoint.port) + std::string(path);
    m_transfers.emplace(started.handle, std::move(owned));
    return started;
}

void leaf_client::launch(transfer &started, millis timeout)
{
    curl_easy_setopt(started.handle, CURLOPT_URL, started.url.c_str());
    curl_easy_setopt(started.handle, CURLOPT_WRITEFUNCTION, appendText);
    curl_easy_setopt(started.handle, CURLOPT_WRITEDATA, &started.reply);
    curl_easy_setopt(started.handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(started.handle, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(started.handle, CURLOPT_MAXFILESIZE, maxReplyBytes);
    curl_easy_setopt(
        started.handle, CURLOPT_TIMEOUT_MS, static_cast<long>(std::max<std::int64_t>(1, timeout.ceiled())));
    curl_easy_setopt(started.handle, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(connectTimeout.ceiled()));
    curl_multi_add_handle(m_multi, started.handle);
}

void leaf_client::finish(CURL *handle, CURLcode result)
{
    const auto found = m_transfers.find(handle);
    const std::unique_ptr<transfer> ended = std::move(found->second);
    m_transfers.erase(found);
    long status = 0;
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    if (ended->what == purpose::Search) {
        finishSearch(*ended, result, status);
    } else if (ended->what == purpose::Probe) {
        finishProbe(*ended, result, status);
    }
    curl_multi_remove_handle(m_multi, handle);
    if (m_idleHandles.size() < maxIdleHandles) {
        curl_easy_reset(handle);
        m_idleHandles.push_back(handle);
    } else {
        curl_easy_cleanup(handle);
    }
}

void leaf_client::finishSearch(const transfer &ended, CURLcode result, long status)
{
    m_openSearches.erase(ended.call.id);
    if (result == CURLE_OK) {
        tell(leaf_protocol::readSearchReply(ended.call, status, ended.reply));
        return;
    }
    leaf_reply reply;
    reply.id = ended.call.id;
    reply.shard = ended.call.shard;
    reply.status = neverSent(ended.handle, result) ? call_status::NotSent : call_status::Failed;
    logEvent(log_level::Debug,
             "leaf_request_failed",
             {{"request_id", ended.call.requestId},
              {"leaf", std::uint64_t {ended.call.leaf.value}},
              {"shard", std::uint64_t {ended.call.shard.value}},
              {"problem", std::string(curl_easy_strerror(result))}});
    tell(std::move(reply));
}

void leaf_client::finishProbe(const transfer &ended, CURLcode result, long status)
{
    tell(leaf_protocol::readHealth(ended.probe, result == CURLE_OK ? status : 0, ended.reply));
}

void leaf_client::refuseUnsent(const leaf_call &call)
{
    leaf_reply reply;
    reply.id = call.id;
    reply.shard = call.shard;
    reply.status = call_status::NotSent;
    tell(std::move(reply));
}

void leaf_client::tell(decision_event &&event)
{
    // The end of a search must not be lost: its slot would count as taken for ever.
    if (!m_decision->offer(std::move(event))) {
        m_untold.push_back(std::move(event)); // NOLINT(bugprone-use-after-move): a refused push leaves the item whole
    }
}

std::string leaf_client::callName(call_id id) const
{
    return std::to_string(m_settings.vm.value) + "-" + std::to_string(m_settings.entry.incarnation) + "-"
        + std::to_string(id);
}

CURL *leaf_client::takeHandle()
{
    if (m_idleHandles.empty()) {
        return curl_easy_init();
    }
    CURL *handle = m_idleHandles.back();
    m_idleHandles.pop_back();
    return handle;
}

} // namespace chivelock
