#include "leaf_client.h"

#include "decision_service.h"
#include "leaf_protocol.h"

#include <algorithm>

namespace chivelock {

namespace {

constexpr millis connectTimeout {300};
constexpr millis probeTimeout {500};
constexpr millis cancelTimeout {500};
constexpr millis replyMargin {100}; ///< added to the leaf's deadline; without a reply by then, the request fails
constexpr long maxReplyBytes = 16L << 20L;
constexpr std::size_t maxIdleHandles = 256;

std::size_t appendBody(char *data, std::size_t size, std::size_t count, void *target)
{
    static_cast<std::string *>(target)->append(data, size * count);
    return size * count;
}

/** Whether it is certain that the leaf received nothing: no connection, or no byte of the request was sent. */
bool wasNeverSent(CURL *handle, CURLcode result)
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
    m_multi = curl_multi_init();
    m_headers = curl_slist_append(nullptr, "Content-Type: application/json");
    m_headers = curl_slist_append(m_headers, "Expect:"); // Bodies are small: sent without waiting for "100 Continue".
    m_thread = std::thread([this] { run(); });
    return {};
}

void leaf_client::stop()
{
    m_stopThread = true;
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

/** Starts the transfer for each command. */
struct leaf_client::command_handler {
    leaf_client &client;

    void operator()(leaf_call_command &command) const
    {
        client.startSearch(std::move(command.call), command.endpoint);
    }

    void operator()(const leaf_cancel_command &command) const
    {
        client.startCancel(command.cancel);
    }

    void operator()(const leaf_probe_command &command) const
    {
        client.startProbe(command.probe, command.endpoint);
    }
};

void leaf_client::run()
{
    constexpr int maxPollMs = 100;
    while (!m_stopThread) {
        std::vector<decision_event> undelivered = std::exchange(m_undelivered, {});
        std::ranges::for_each(undelivered, [this](decision_event &event) { notifyDecision(std::move(event)); });
        m_ring.drain([this](leaf_command &&command) { std::visit(command_handler {*this}, command); });
        int running = 0;
        curl_multi_perform(m_multi, &running);
        int left = 0;
        while (const CURLMsg *message = curl_multi_info_read(m_multi, &left)) {
            if (message->msg == CURLMSG_DONE) {
                finishTransfer(message->easy_handle, message->data.result);
            }
        }
        curl_waitfd ring {m_ring.wakeFd(), CURL_WAIT_POLLIN, 0};
        curl_multi_poll(m_multi, &ring, 1, m_undelivered.empty() ? maxPollMs : 1, nullptr);
    }
}

void leaf_client::startSearch(leaf_call call, const leaf_endpoint &endpoint)
{
    // The process may have been paused since the core made the call. A request sent this late could reach a leaf that
    // has started leaving, or start work that the caller was already told is abandoned.
    const millis now = m_clock.now();
    if (now > call.notAfter) {
        reportNotSent(call);
        return;
    }
    transfer &request = createTransfer(transfer_kind::Search, endpoint, leaf_protocol::searchPath);
    const millis remaining = call.deadline - now;
    m_openSearches.emplace(call.id, endpoint);
    request.body = leaf_protocol::searchBody(call, leafRequestName(call.id), remaining);
    request.call = std::move(call);
    curl_easy_setopt(request.handle, CURLOPT_POSTFIELDS, request.body.c_str());
    curl_easy_setopt(request.handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(request.body.size()));
    curl_easy_setopt(request.handle, CURLOPT_HTTPHEADER, m_headers);
    startTransfer(request, remaining + replyMargin);
}

void leaf_client::startCancel(const leaf_cancel &cancel)
{
    const auto open = m_openSearches.find(cancel.id);
    if (open == m_openSearches.end()) {
        return; // The search has already ended.
    }
    transfer &request = createTransfer(
        transfer_kind::Cancel, open->second, std::string(leaf_protocol::requestsPath) + leafRequestName(cancel.id));
    curl_easy_setopt(request.handle, CURLOPT_CUSTOMREQUEST, "DELETE");
    startTransfer(request, cancelTimeout);
}

void leaf_client::startProbe(const leaf_probe &probe, const leaf_endpoint &endpoint)
{
    transfer &request = createTransfer(transfer_kind::Probe, endpoint, leaf_protocol::healthPath);
    request.probe = probe;
    startTransfer(request, probeTimeout);
}

leaf_client::transfer &
leaf_client::createTransfer(transfer_kind kind, const leaf_endpoint &endpoint, std::string_view path)
{
    auto owned = std::make_unique<transfer>();
    transfer &request = *owned;
    request.kind = kind;
    request.endpoint = endpoint;
    request.handle = acquireHandle();
    request.url = "http://" + endpoint.address + ":" + std::to_string(endpoint.port) + std::string(path);
    m_transfers.emplace(request.handle, std::move(owned));
    return request;
}

void leaf_client::startTransfer(transfer &request, millis timeout)
{
    // Nothing in a reply names its request. On a kept connection a duplicate of an earlier reply would be taken for the
    // reply to the next request. libcurl would also resend a request on its own if a kept connection breaks, although
    // the leaf may have run it already.
    curl_easy_setopt(request.handle, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(request.handle, CURLOPT_FORBID_REUSE, 1L);
    curl_easy_setopt(request.handle, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(request.handle, CURLOPT_WRITEFUNCTION, appendBody);
    curl_easy_setopt(request.handle, CURLOPT_WRITEDATA, &request.reply);
    curl_easy_setopt(request.handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(request.handle, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(request.handle, CURLOPT_MAXFILESIZE, maxReplyBytes);
    curl_easy_setopt(
        request.handle, CURLOPT_TIMEOUT_MS, static_cast<long>(std::max<std::int64_t>(1, timeout.ceiled())));
    curl_easy_setopt(request.handle, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(connectTimeout.ceiled()));
    curl_multi_add_handle(m_multi, request.handle);
}

void leaf_client::finishTransfer(CURL *handle, CURLcode result)
{
    const auto found = m_transfers.find(handle);
    const std::unique_ptr<transfer> ended = std::move(found->second);
    m_transfers.erase(found);
    long status = 0;
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    if (ended->kind == transfer_kind::Search) {
        finishSearch(*ended, result, status);
    } else if (ended->kind == transfer_kind::Probe) {
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
        notifyDecision(leaf_protocol::readSearchReply(ended.call, status, ended.reply));
        return;
    }
    leaf_reply reply;
    reply.id = ended.call.id;
    reply.shard = ended.call.shard;
    reply.status = wasNeverSent(ended.handle, result) ? call_status::NotSent : call_status::Failed;
    logEvent(log_level::Debug,
             "leaf_request_failed",
             {{"request_id", ended.call.requestId},
              {"leaf", std::uint64_t {ended.call.leaf.value}},
              {"shard", std::uint64_t {ended.call.shard.value}},
              {"problem", std::string(curl_easy_strerror(result))}});
    notifyDecision(std::move(reply));
}

void leaf_client::finishProbe(const transfer &ended, CURLcode result, long status)
{
    notifyDecision(leaf_protocol::readHealth(ended.probe, result == CURLE_OK ? status : 0, ended.reply));
}

void leaf_client::reportNotSent(const leaf_call &call)
{
    leaf_reply reply;
    reply.id = call.id;
    reply.shard = call.shard;
    reply.status = call_status::NotSent;
    notifyDecision(std::move(reply));
}

void leaf_client::notifyDecision(decision_event &&event)
{
    // The result of a search must not be lost: the core would count its slot as occupied forever.
    if (!m_decision->offer(std::move(event))) {
        m_undelivered.push_back(std::move(event)); // NOLINT(bugprone-use-after-move): a rejected push restores the item
    }
}

std::string leaf_client::leafRequestName(call_id id) const
{
    return std::to_string(m_settings.vm.value) + "-" + std::to_string(m_settings.entry.incarnation) + "-"
        + std::to_string(id);
}

CURL *leaf_client::acquireHandle()
{
    if (m_idleHandles.empty()) {
        return curl_easy_init();
    }
    CURL *handle = m_idleHandles.back();
    m_idleHandles.pop_back();
    return handle;
}

} // namespace chivelock
