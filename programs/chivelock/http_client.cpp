#include "http_client.h"

#include <curl/curl.h>

#include <memory>

namespace chivelock {

namespace {

constexpr std::size_t maxAnswerBytes = 16U << 20U; // far above a status page or the answer to a lookup

tl::expected<http_result, http_error> performRequest(const std::string &url, const std::string *body, millis timeout)
{
    const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> handle(curl_easy_init(), &curl_easy_cleanup);
    http_result result;
    curl_easy_setopt(handle.get(), CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle.get(), CURLOPT_WRITEFUNCTION, appendAnswer);
    curl_easy_setopt(handle.get(), CURLOPT_WRITEDATA, &result.body);
    curl_easy_setopt(handle.get(), CURLOPT_TIMEOUT_MS, static_cast<long>(timeout.ceiled()));
    curl_easy_setopt(handle.get(), CURLOPT_NOSIGNAL, 1L);
    if (body != nullptr) {
        curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDS, body->c_str());
        curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDSIZE, static_cast<long>(body->size()));
    }
    const CURLcode code = curl_easy_perform(handle.get());
    if (code != CURLE_OK) {
        return tl::unexpected(http_error {url, curl_easy_strerror(code)});
    }
    curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &result.status);
    return result;
}

} // namespace

std::size_t appendAnswer(char *data, std::size_t size, std::size_t count, void *target)
{
    auto &answer = *static_cast<std::string *>(target);
    const std::size_t bytes = size * count;
    if (bytes > maxAnswerBytes - answer.size()) {
        return 0; // libcurl takes fewer bytes than it gave as an error
    }
    answer.append(data, bytes);
    return bytes;
}

tl::expected<http_result, http_error> httpGet(const std::string &url, millis timeout)
{
    return performRequest(url, nullptr, timeout);
}

tl::expected<http_result, http_error> httpPost(const std::string &url, const std::string &body, millis timeout)
{
    return performRequest(url, &body, timeout);
}

} // namespace chivelock
