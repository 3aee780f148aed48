#pragma once

/**
 * @file
 * When a second leaf is asked for a request that has no answer yet, and how fast a leaf usually is. No input or output,
 * no thread, no clock: response times are passed in as they are measured.
 */

#include <base/base.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string_view>

namespace chivelock {

/**
 * Distribution of the response times of one route in buckets that grow by a fixed factor. Older times lose weight with
 * each new one, so the distribution follows a change of the load within some hundred answers.
 */
class response_times
{
public:
    /** @param took time to the answer; for a request that was given up, the time until then. */
    void add(millis took);

    /** @return the share of the requests that were answered within @p time, interpolated inside a bucket. */
    [[nodiscard]] double shareWithin(millis time) const;

    /** @return the time within which @p share of the requests were answered; of the last bucket if it is higher. */
    [[nodiscard]] millis quantile(double share) const;

    /** @return the number of times by their present weight. */
    [[nodiscard]] double samples() const
    {
        return m_total;
    }

    [[nodiscard]] bool hasEnoughSamples() const;

private:
    static constexpr std::size_t bucketCount = 80;

    [[nodiscard]] static double positionOf(millis time);
    [[nodiscard]] static millis lowerBoundOf(double position);

    std::array<float, bucketCount> m_weights {};
    double m_total = 0;
};

/** What the time of a hedge depends on besides the response times. */
struct hedge_conditions {
    millis timeLeft; ///< from the first request until an answer is no longer useful
    millis hop; ///< time that the second leaf needs in addition to its usual response time
    double maxShare = 0; ///< share of the requests that may be hedged
};

/** Why a hedge is sent when it is sent. */
enum class hedge_reason : std::uint8_t {
    Pays, ///< the second answer is clearly more likely in time than the first, and the share of hedges is low enough
    LastChance, ///< as before, with too high a share of hedges; a later hedge could not be answered in time
    Late ///< no hedge helps before the time is over; one that is sent later completes a late answer
};

[[nodiscard]] std::string_view toString(hedge_reason reason);

/** A decision of @ref hedge_timing. */
struct hedge_decision {
    millis delay; ///< time without an answer after which the hedge is sent
    hedge_reason reason = hedge_reason::Late;
};

/**
 * Decides when to send a hedge. After a time t without an answer, the chance that the first answer still comes in time
 * is (F(left) - F(t)) / (1 - F(t)), where F is the share of the requests that are answered within a time. A hedge is
 * sent once this chance is clearly below that of a second answer, F(left - t - hop).
 */
class hedge_timing
{
public:
    explicit hedge_timing(const response_times &times)
        : m_times(times)
    {
    }

    /** @return nothing if there are too few response times. */
    [[nodiscard]] std::optional<hedge_decision> decide(const hedge_conditions &given) const;

    /** @return the chance that a request without an answer after @p age is answered within @p timeLeft of its send. */
    [[nodiscard]] double firstChance(millis age, millis timeLeft) const;

    /** @return the chance that a second request, sent after @p age, is answered in time. */
    [[nodiscard]] double secondChance(millis age, const hedge_conditions &given) const;

private:
    const response_times &m_times;
};

/** @return the share of the requests of a route that may be hedged, of which the most urgent routes may use more.
 *  @param budgetRatio extra requests that the fleet allows per request. @param urgency from 0 to 1. */
[[nodiscard]] double hedgeShare(double budgetRatio, double urgency);

/**
 * Limits the second sends of one lookup that have brought no part yet. While second leafs answer, further ones may be
 * asked, so that a lookup survives the loss of a zone. When all leafs are late, second sends bring nothing and lengthen
 * the queues, so that only a share of the shards is asked twice, however many are late.
 */
class second_send_limit
{
public:
    /** Without a limit, for a request to one leaf. */
    second_send_limit() = default;

    /** @param shards of the lookup. */
    explicit second_send_limit(std::size_t shards);

    [[nodiscard]] bool isReached() const
    {
        return m_unanswered >= m_limit;
    }

    void onSent();

    /** A second send brought its part, or its leaf did not run the request. */
    void onReleased();

private:
    std::size_t m_limit = std::numeric_limits<std::size_t>::max();
    std::size_t m_unanswered = 0; ///< including those whose part came from the first leaf
};

/**
 * How fast a leaf usually is: the ratio of its response times to those that are typical of the routes, averaged over
 * some tens of answers. Single pauses hardly change it.
 */
class leaf_speed
{
public:
    /** @param ratio of the response time to the typical one for the same queue. */
    void add(double ratio);

    /** @return factor of the typical response time, from 0.5 to 4; 1 without enough answers. */
    [[nodiscard]] double factor() const
    {
        return m_factor;
    }

    /** Forgets the leaf's speed, since another incarnation of it may run on another machine. */
    void reset()
    {
        *this = leaf_speed();
    }

private:
    double m_log = 0; ///< logarithm of the ratio
    double m_samples = 0;
    double m_factor = 1;
};

} // namespace chivelock
