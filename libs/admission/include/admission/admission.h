#pragma once

/**
 * @file
 * Admission of requests under overload: which requests are refused before anything of them is sent, and when their
 * callers come back. All state is local to the process. No input or output, no thread, no clock: each event is passed
 * in with its time.
 */

#include <base/base.h>
#include <quarantine/quarantine.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

namespace chivelock {

/** Shortest time after which a refused caller is asked to come back: most short pauses of leafs are over by then. */
inline constexpr millis minRetryAfter(50);

/** Identifies a client account: a digest of its credentials or of the client's address; 0 if unknown. */
using account_id = std::uint64_t;

/** Rate at which requests are completed, as an exponentially decaying average. */
class completion_rate
{
public:
    void add(millis now);

    /** @return completions per second. */
    [[nodiscard]] double perSecond(millis now) const;

private:
    double m_weight = 0; ///< number of completions, each decayed since its time
    millis m_updatedAt;
};

/** The times within which a refused caller may be asked to come back. */
struct retry_window {
    millis earliest;
    millis latest; ///< the caller would give up rather than wait longer
};

/**
 * Staggers the times at which refused callers come back: one after the other, at a share of the rate at which requests
 * are completed, so that they find the room that the rest of the rate leaves.
 */
class retry_times
{
public:
    /** @param completedPerSecond by the service that refused. @return how long the next refused caller shall wait. */
    [[nodiscard]] millis next(double completedPerSecond, const retry_window &window, millis now);

private:
    millis m_lastPromised = millis() - millis::never(); ///< the latest time given to a caller
    double m_spread = 0; ///< position of the last caller that got a time within a window without a free time
};

/** Requests that this process refused and that have not come back; bounded. */
class returning_requests
{
public:
    /** Records that the caller was asked to come back after @p retryAfter. */
    void add(const request_fingerprint &key, millis retryAfter, millis now);

    /** @return whether the request was refused and comes back at about the time that it was given; counts once for each
     *  refusal. */
    [[nodiscard]] bool take(const request_fingerprint &key, millis now);

    [[nodiscard]] std::size_t size() const
    {
        return m_byKey.size();
    }

private:
    struct promise {
        millis at;
        millis keptUntil;
    };

    void expire(millis now);

    std::multimap<request_fingerprint, promise> m_byKey;
    std::multimap<millis, request_fingerprint> m_expiries;
};

/** Counts the open requests of each client account. */
class fair_shares
{
public:
    void begin(account_id account);
    void end(account_id account);

    /** @return whether the account holds clearly more open requests than the average of the other accounts. */
    [[nodiscard]] bool isAboveShare(account_id account) const;

    [[nodiscard]] std::size_t accounts() const
    {
        return m_open.size();
    }

private:
    std::unordered_map<account_id, std::size_t> m_open;
    std::size_t m_total = 0;
};

/**
 * Bounds the share of requests that are refused in any second because of an estimate, so that a wrong estimate has a
 * bounded effect.
 */
class refusal_bound
{
public:
    void countRequest(millis now);

    /** Counts a refusal, if the bound permits it. @return whether it does. */
    [[nodiscard]] bool tryRefuse(millis now);

private:
    void decay(millis now);

    double m_requests = 0;
    double m_refusals = 0;
    millis m_updatedAt;
};

/** What is known of a new request and of the capacity that it would use. Times are counted from its arrival. */
struct admission_request {
    request_fingerprint key;
    account_id account = 0;
    double urgency = 0; ///< 1 for the most urgent route, 0 for the least and if all are equally urgent
    millis objective; ///< the answer must be made by then to be in time
    millis timeLeft; ///< the caller gives up then
    millis usual; ///< time at a leaf without a queue
    millis expected; ///< time at the least loaded leaf, with its queue
    millis lag; ///< how late this VM handles events; 0 if unknown
    bool freeSlot = false; ///< a leaf that can serve the request has a free slot, as far as is known
    bool estimated = false; ///< that no leaf has a free slot follows from reports that may be outdated
};

enum class admission_verdict : std::uint8_t {
    Admitted,
    Returned, ///< admitted because this process had refused it before
    VmOverloaded,
    LeafsOverloaded,
    AccountAboveShare
};

/** @return the cause of a refusal for logs and callers, as a string constant. */
[[nodiscard]] std::string_view toString(admission_verdict verdict);

/** Numbers of decisions, for metrics. */
struct admission_counts {
    std::uint64_t vmOverloaded = 0;
    std::uint64_t leafsOverloaded = 0;
    std::uint64_t accountAboveShare = 0;
    std::uint64_t returned = 0;
    std::uint64_t refusalsWithheld = 0; ///< admitted because the bound on refusals was reached
};

/** Decides which requests are refused under overload, and when their callers come back. */
class overload_control
{
public:
    /** Decides on a new request. @param service that would serve it. */
    [[nodiscard]] admission_verdict judge(std::string_view service, const admission_request &request, millis now);

    /** @return Retry-After of a request that is refused. */
    [[nodiscard]] millis
    retryAfter(std::string_view service, const request_fingerprint &key, const retry_window &window, millis now);

    /** Records that the service answered a request. @param took from the request's arrival. */
    void onCompleted(std::string_view service, millis took, millis now);

    /** @return the usual time from the arrival of a request to its answer during the last moments, with all queues; 0
     *  if none is known. */
    [[nodiscard]] millis recentTime(std::string_view service, millis now) const;

    [[nodiscard]] fair_shares &accounts()
    {
        return m_accounts;
    }

    [[nodiscard]] const fair_shares &accounts() const
    {
        return m_accounts;
    }

    [[nodiscard]] const admission_counts &counts() const
    {
        return m_counts;
    }

private:
    struct service_state {
        completion_rate completed;
        millis recentTime; ///< moving average
        millis recentTimeAt = millis() - millis::never();
        retry_times retries;
        millis refusingUntil; ///< requests were refused shortly before: accounts above their share are refused first
        millis heavyRefusedUntil; ///< such an account was refused shortly before, which leaves room to the others
    };

    [[nodiscard]] service_state &stateOf(std::string_view service);
    [[nodiscard]] admission_verdict
    decide(service_state &state, const admission_request &request, bool returned, millis now);
    [[nodiscard]] bool isWithheld(const admission_request &request, millis now);

    std::map<std::string, service_state, std::less<>> m_services;
    returning_requests m_returning;
    fair_shares m_accounts;
    refusal_bound m_bound;
    admission_counts m_counts;
};

} // namespace chivelock
