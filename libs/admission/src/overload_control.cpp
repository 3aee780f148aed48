#include <admission/admission.h>

#include <algorithm>
#include <cmath>

namespace chivelock {

namespace {

constexpr millis boundWindow(1000);
constexpr double maxRefusedShare = 0.3; // of the requests in a window, while leafs have free slots
constexpr double initialRefusals = 1; // permitted besides the share, so that the first request can be refused

// Of the objective: expected time above which a request is refused. Work varies by a third, so that of the requests
// admitted at their expected time, half would be late.
constexpr double ordinaryLimit = 0.8;
constexpr double returningAllowance = 0.05; // of the objective, for returning callers; more would delay new ones
constexpr double urgentAllowance = 0.2; // of the objective, in addition for the most urgent route
constexpr double heavyAccountLimit = 0.5; // of the objective, for an account above its share while requests are refused
constexpr double lightAccountAllowance = 0.2; // of the objective, for other accounts meanwhile
constexpr double maxShareOfTimeLeft = 0.5; // of the time left: an expected time above this hardly ends before the limit
constexpr millis refusingMemory(1000); // after a refusal, others are likely to follow for this long
constexpr double newestTimeShare = 0.25; // the average covers about four answers
constexpr millis recentTimeValidity(2000);
constexpr double lagsOfRequest = 2; // the request waited before it was read, and the leaf's answer waits again

/** @return whether a refused caller that comes back at once to a place with capacity is still served in time. */
bool canReturnInTime(const admission_request &request)
{
    return minRetryAfter + request.usual <= request.objective;
}

bool isBeyondTimeLimit(millis expected, const admission_request &request)
{
    return expected > request.timeLeft * maxShareOfTimeLeft;
}

bool isTooLate(millis expected, double limit, const admission_request &request)
{
    return expected > request.objective * limit && (canReturnInTime(request) || isBeyondTimeLimit(expected, request));
}

double limitOf(const admission_request &request)
{
    return ordinaryLimit + urgentAllowance * request.urgency;
}

bool isVmTooLate(const admission_request &request)
{
    return request.lag > millis() && isTooLate(request.usual + request.lag * lagsOfRequest, limitOf(request), request);
}

} // namespace

std::string_view toString(admission_verdict verdict)
{
    switch (verdict) {
    case admission_verdict::Admitted:
        return "admitted";
    case admission_verdict::Returned:
        return "came_back";
    case admission_verdict::VmOverloaded:
        return "vm_overloaded";
    case admission_verdict::LeafsOverloaded:
        return "leafs_overloaded";
    case admission_verdict::AccountAboveShare:
        return "account_above_share";
    }
    return "unknown";
}

void refusal_bound::decay(millis now)
{
    const double kept = std::exp(-std::max((now - m_updatedAt).count(), 0.0) / boundWindow.count());
    m_requests *= kept;
    m_refusals *= kept;
    m_updatedAt = now;
}

void refusal_bound::countRequest(millis now)
{
    decay(now);
    m_requests += 1;
}

bool refusal_bound::tryRefuse(millis now)
{
    decay(now);
    if (m_refusals + 1 > m_requests * maxRefusedShare + initialRefusals) {
        return false;
    }
    m_refusals += 1;
    return true;
}

bool overload_control::isWithheld(const admission_request &request, millis now)
{
    if ((!request.freeSlot && !request.estimated) || m_bound.tryRefuse(now)) {
        return false;
    }
    m_counts.refusalsWithheld += 1;
    return true;
}

admission_verdict
overload_control::decide(service_state &state, const admission_request &request, bool returned, millis now)
{
    if (isVmTooLate(request)) {
        return admission_verdict::VmOverloaded;
    }
    if (request.freeSlot) {
        return admission_verdict::Admitted;
    }
    const bool heavy = m_accounts.isAboveShare(request.account);
    if (heavy && now < state.refusingUntil && isTooLate(request.expected, heavyAccountLimit, request)) {
        state.refusingUntil = now + refusingMemory;
        state.heavyRefusedUntil = now + refusingMemory;
        return admission_verdict::AccountAboveShare;
    }
    const bool lightBesideHeavy = !heavy && now < state.heavyRefusedUntil;
    const double limit =
        limitOf(request) + (lightBesideHeavy ? lightAccountAllowance : 0.0) + (returned ? returningAllowance : 0.0);
    if (!isTooLate(request.expected, limit, request)) {
        return admission_verdict::Admitted;
    }
    state.refusingUntil = now + refusingMemory;
    state.heavyRefusedUntil = heavy ? state.refusingUntil : state.heavyRefusedUntil;
    return heavy ? admission_verdict::AccountAboveShare : admission_verdict::LeafsOverloaded;
}

admission_verdict overload_control::judge(std::string_view service, const admission_request &request, millis now)
{
    m_bound.countRequest(now);
    const bool returned = m_returning.take(request.key, now);
    const admission_verdict verdict = decide(stateOf(service), request, returned, now);
    if (verdict == admission_verdict::Admitted || isWithheld(request, now)) {
        m_counts.returned += returned ? 1 : 0;
        return returned ? admission_verdict::Returned : admission_verdict::Admitted;
    }
    m_counts.vmOverloaded += verdict == admission_verdict::VmOverloaded ? 1 : 0;
    m_counts.leafsOverloaded += verdict == admission_verdict::LeafsOverloaded ? 1 : 0;
    m_counts.accountAboveShare += verdict == admission_verdict::AccountAboveShare ? 1 : 0;
    return verdict;
}

millis overload_control::retryAfter(std::string_view service,
                                    const request_fingerprint &key,
                                    const retry_window &window,
                                    millis now)
{
    service_state &state = stateOf(service);
    const millis result = state.retries.next(state.completed.perSecond(now), window, now);
    m_returning.add(key, result, now);
    return result;
}

void overload_control::onCompleted(std::string_view service, millis took, millis now)
{
    service_state &state = stateOf(service);
    state.completed.add(now);
    const millis known = now - state.recentTimeAt < recentTimeValidity ? state.recentTime : took;
    state.recentTime = known * (1 - newestTimeShare) + took * newestTimeShare;
    state.recentTimeAt = now;
}

millis overload_control::recentTime(std::string_view service, millis now) const
{
    const auto found = m_services.find(service);
    const bool isKnown = found != m_services.end() && now - found->second.recentTimeAt < recentTimeValidity;
    return isKnown ? found->second.recentTime : millis();
}

overload_control::service_state &overload_control::stateOf(std::string_view service)
{
    const auto found = m_services.find(service);
    return found != m_services.end() ? found->second : m_services[std::string(service)];
}

} // namespace chivelock
