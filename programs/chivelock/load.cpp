/**
 * @file
 * Open-loop load generator: each request starts at its intended time, whether or not earlier requests have completed,
 * and its latency is measured from that time. A closed loop would send fewer requests while answers are slow and so
 * hide the slowness (coordinated omission).
 */

#include "commands.h"
#include "http_client.h"

#include <metrics/metrics.h>

#include <curl/curl.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <map>
#include <memory>
#include <vector>

namespace chivelock {

namespace {

using nlohmann::json;

constexpr millis replyMargin {2000};
constexpr long okStatus = 200;

/** A request in flight. */
struct open_request {
    CURL *handle = nullptr;
    std::string url;
    std::string body;
    std::string reply;
    std::size_t kind = 0;
    millis intendedStart;
};

/** Results of all requests of one kind. */
struct kind_results {
    latency_histogram answered;
    latency_histogram refused;
    std::map<std::string, std::uint64_t> outcomes; ///< number of requests by "outcome" or "outcome:reason"
};

class load_run
{
public:
    explicit load_run(const load_command &command)
        : m_command(command)
        , m_multi(curl_multi_init())
    {
        std::ranges::for_each(command.kinds, [this](const std::string &) { m_results.emplace_back(); });
        curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, static_cast<long>(command.connections * 2));
    }

    load_run(const load_run &) = delete;
    load_run &operator=(const load_run &) = delete;

    ~load_run()
    {
        for (const auto &[handle, open] : m_open) {
            curl_multi_remove_handle(m_multi, handle);
            curl_easy_cleanup(handle);
        }
        std::ranges::for_each(m_idle, curl_easy_cleanup);
        curl_multi_cleanup(m_multi);
    }

    int run()
    {
        const millis begin = m_clock.now();
        const millis sendInterval(1000 / m_command.perSecond);
        std::uint64_t sent = 0;
        millis nextProgress = begin + progressInterval;
        while (true) {
            const millis now = m_clock.now();
            while (begin + sendInterval * static_cast<double>(sent) <= now && now - begin < m_command.duration) {
                start(sent, begin + sendInterval * static_cast<double>(sent));
                ++sent;
            }
            processCompletions();
            if (now >= nextProgress && !m_command.quiet) {
                nextProgress = now + progressInterval;
                std::cerr << "sent " << sent << ", open " << m_open.size() << ", answered " << m_answered
                          << ", not answered " << m_notAnswered << '\n';
            }
            if (now - begin >= m_command.duration && m_open.empty()) {
                break;
            }
            curl_multi_poll(m_multi, nullptr, 0, 1, nullptr);
        }
        print(sent);
        return m_answered > 0 ? exit_code::ok : exit_code::failed;
    }

private:
    static constexpr millis progressInterval {1000};

    void start(std::uint64_t number, millis intendedStart)
    {
        const std::size_t kind = number % m_command.kinds.size();
        if (m_open.size() >= m_command.connections) {
            ++m_results[kind].outcomes["not_sent:too_many_open"];
            ++m_notAnswered;
            return;
        }
        auto owned = std::make_unique<open_request>();
        open_request &request = *owned;
        request.handle = acquireHandle();
        request.kind = kind;
        request.intendedStart = intendedStart;
        request.url = m_command.entries[number % m_command.entries.size()] + "/v1/lookups/" + m_command.kinds[kind];
        request.body = json {{"query", {{"n", number}}},
                             {"key", "k" + std::to_string(number)},
                             {"time_limit_ms", m_command.timeLimit.ceiled()}}
                           .dump();
        curl_easy_setopt(request.handle, CURLOPT_URL, request.url.c_str());
        curl_easy_setopt(request.handle, CURLOPT_POSTFIELDS, request.body.c_str());
        curl_easy_setopt(request.handle, CURLOPT_WRITEFUNCTION, appendAnswer);
        curl_easy_setopt(request.handle, CURLOPT_WRITEDATA, &request.reply);
        curl_easy_setopt(request.handle, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(
            request.handle, CURLOPT_TIMEOUT_MS, static_cast<long>((m_command.timeLimit + replyMargin).ceiled()));
        curl_multi_add_handle(m_multi, request.handle);
        m_open.emplace(request.handle, std::move(owned));
    }

    CURL *acquireHandle()
    {
        if (m_idle.empty()) {
            return curl_easy_init();
        }
        CURL *handle = m_idle.back();
        m_idle.pop_back();
        curl_easy_reset(handle);
        return handle;
    }

    void processCompletions()
    {
        int running = 0;
        curl_multi_perform(m_multi, &running);
        int left = 0;
        while (const CURLMsg *message = curl_multi_info_read(m_multi, &left)) {
            if (message->msg == CURLMSG_DONE) {
                finish(message->easy_handle, message->data.result);
            }
        }
    }

    void finish(CURL *handle, CURLcode result)
    {
        const auto found = m_open.find(handle);
        const std::unique_ptr<open_request> ended = std::move(found->second);
        m_open.erase(found);
        long status = 0;
        curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
        curl_multi_remove_handle(m_multi, handle);
        m_idle.push_back(handle);
        const millis latency = m_clock.now() - ended->intendedStart;
        kind_results &results = m_results[ended->kind];
        const bool answered = result == CURLE_OK && status == okStatus;
        (answered ? results.answered : results.refused).add(latency);
        ++(answered ? m_answered : m_notAnswered);
        ++results.outcomes[outcomeOf(*ended, result)];
    }

    static std::string outcomeOf(const open_request &ended, CURLcode result)
    {
        if (result != CURLE_OK) {
            return std::string("connection:") + curl_easy_strerror(result);
        }
        const json reply = json::parse(ended.reply, nullptr, false);
        if (!reply.is_object()) {
            return "unreadable";
        }
        const std::string reason = reply.value("reason", "");
        return reply.value("outcome", "unreadable") + (reason.empty() ? "" : ":" + reason);
    }

    void print(std::uint64_t sent) const
    {
        std::cout << "sent " << sent << " answered " << m_answered << " not_answered " << m_notAnswered << '\n';
        for (std::size_t index = 0; index < m_command.kinds.size(); ++index) {
            const kind_results &results = m_results[index];
            std::cout << "kind=" << m_command.kinds[index] << " answered=" << results.answered.count() << std::fixed
                      << std::setprecision(1) << " p50_ms=" << results.answered.quantile(0.5).count()
                      << " p90_ms=" << results.answered.quantile(0.9).count()
                      << " p99_ms=" << results.answered.quantile(0.99).count()
                      << " p999_ms=" << results.answered.quantile(0.999).count()
                      << " refused=" << results.refused.count()
                      << " refused_p99_ms=" << results.refused.quantile(0.99).count() << '\n';
            for (const auto &[outcome, count] : results.outcomes) {
                std::cout << "  " << outcome << " " << count << '\n';
            }
        }
    }

    const load_command &m_command;
    steady_clock m_clock;
    CURLM *m_multi;
    std::map<CURL *, std::unique_ptr<open_request>> m_open;
    std::vector<CURL *> m_idle;
    std::vector<kind_results> m_results;
    std::uint64_t m_answered = 0;
    std::uint64_t m_notAnswered = 0;
};

} // namespace

int runLoad(const load_command &command)
{
    return load_run(command).run();
}

} // namespace chivelock
