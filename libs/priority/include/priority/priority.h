#pragma once

/**
 * @file
 * The order in which a VM serves its work. More urgent work goes first, but the time by which other work yields is
 * bounded, so that none starves. No input or output, no thread, no clock.
 */

#include <base/base.h>

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <tuple>
#include <utility>
#include <vector>

namespace chivelock {

/** Orders the ranks of the configured routes; rank 0 is the most urgent. */
class priority_scale
{
public:
    priority_scale() = default;
    explicit priority_scale(std::span<const std::uint32_t> ranks);

    /** @return 1 for the most urgent configured rank, 0 for the least. A rank that is not configured counts as the next
     *  less urgent one that is, or as the least urgent one; if the scale is uniform, all ranks count as most urgent. */
    [[nodiscard]] double urgencyOf(std::uint32_t rank) const;

    /** Whether fewer than two ranks exist, so that there is nothing to order. */
    [[nodiscard]] bool isUniform() const
    {
        return m_ranks.size() < 2;
    }

private:
    std::vector<std::uint32_t> m_ranks; ///< distinct, in ascending order
};

/** When work arrived and how long it may yield. */
struct queue_terms {
    double urgency = 1; ///< as @ref priority_scale::urgencyOf when the work arrived; later changes have no effect
    millis arrivedAt;
    millis objective; ///< target latency of the work's route

    /** @return the time up to which more urgent work that arrives later may go first, unless this work is late before:
     *  up to one objective after the arrival, for the least urgent work. */
    [[nodiscard]] millis dueAt() const;

    /** @return the time from which the work can hardly be answered within its objective. */
    [[nodiscard]] millis lateAt() const;
};

/**
 * Work that was read and not begun. It is begun in the order of its due times; work of equal due time in the order of
 * arrival. Work that has become late loses little by waiting on, so it is begun after work that can still be in time:
 * if it went first, a VM that is behind would answer every request late. A fixed share of the turns is left to it.
 */
template<std::movable item_type>
class run_queue
{
public:
    struct entry {
        item_type item;
        queue_terms terms;
    };

    void push(item_type item, const queue_terms &terms)
    {
        m_inTime.try_emplace({terms.dueAt(), m_nextNumber++}, entry {std::move(item), terms});
    }

    /** Removes the work to begin next. @return nothing if the queue is empty. */
    [[nodiscard]] std::optional<entry> pop(millis now)
    {
        separateLate(now);
        entries &from = takesLate() ? m_late : m_inTime;
        if (from.empty()) {
            return std::nullopt;
        }
        auto first = from.extract(from.begin());
        const std::uint64_t number = first.key().second;
        m_yielded += number < m_newestPopped ? 1 : 0;
        m_newestPopped = std::max(m_newestPopped, number);
        return std::move(first.mapped());
    }

    /** Removes all work that meets the condition. @return how much was removed. */
    template<std::predicate<const item_type &> condition>
    std::size_t removeIf(condition matches)
    {
        const auto isMatch = [&](const auto &one) { return matches(one.second.item); };
        return std::erase_if(m_inTime, isMatch) + std::erase_if(m_late, isMatch);
    }

    template<std::predicate<const item_type &> condition>
    [[nodiscard]] bool contains(condition matches) const
    {
        const auto isMatch = [&](const auto &one) { return matches(one.second.item); };
        return std::ranges::any_of(m_inTime, isMatch) || std::ranges::any_of(m_late, isMatch);
    }

    [[nodiscard]] bool isEmpty() const
    {
        return size() == 0;
    }

    [[nodiscard]] std::size_t size() const
    {
        return m_inTime.size() + m_late.size();
    }

    /** @return how many items were begun after one that had arrived later. */
    [[nodiscard]] std::uint64_t yielded() const
    {
        return m_yielded;
    }

private:
    using entries = std::map<std::pair<millis, std::uint64_t>, entry>; // by due time and number of arrival

    /** Moves the work that has become late. Work that is due later than late work can be late as well; it is found when
     *  it comes first. */
    void separateLate(millis now)
    {
        while (!m_inTime.empty() && now >= m_inTime.begin()->second.terms.lateAt()) {
            m_late.insert(m_inTime.extract(m_inTime.begin()));
        }
    }

    /** @return whether late work goes next. */
    bool takesLate()
    {
        constexpr unsigned lateInterval = 4; // late work gets every fourth turn while other work is queued
        if (m_late.empty() || m_inTime.empty()) {
            m_turnsSinceLate = 0;
            return m_inTime.empty();
        }
        m_turnsSinceLate = (m_turnsSinceLate + 1) % lateInterval;
        return m_turnsSinceLate == 0;
    }

    entries m_inTime;
    entries m_late;
    std::uint64_t m_nextNumber = 0;
    std::uint64_t m_newestPopped = 0;
    std::uint64_t m_yielded = 0;
    unsigned m_turnsSinceLate = 0;
};

/** Position of a call that waits for a leaf; the smaller one is served first. */
struct waiting_position {
    double urgency = 1;
    millis arrivedAt; ///< of the call's request
    std::uint64_t exchange = 0;
    std::size_t call = 0;

    auto operator<=>(const waiting_position &other) const
    {
        return std::tuple(-urgency, arrivedAt, exchange, call)
            <=> std::tuple(-other.urgency, other.arrivedAt, other.exchange, other.call);
    }
    bool operator==(const waiting_position &) const = default;
};

/**
 * The share of the retry and hedge budget of a service that a route must leave unused.
 * @param reserve share that all routes leave for this use of the budget.
 * @param urgency of the route. @param highestUrgency of the routes that use the service.
 */
[[nodiscard]] double budgetReserve(double reserve, double urgency, double highestUrgency);

} // namespace chivelock
