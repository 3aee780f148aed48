#pragma once

#include <base/base.h>

#include <functional>
#include <queue>
#include <vector>

namespace chivelock::fakes {

/** Runs tasks in the order of their virtual times; equal times run in the order they were added. */
class virtual_time
{
public:
    [[nodiscard]] millis now() const
    {
        return m_now;
    }

    void at(millis time, std::function<void()> task)
    {
        m_tasks.push({std::max(time, m_now), m_next++, std::move(task)});
    }

    void after(millis delay, std::function<void()> task)
    {
        at(m_now + delay, std::move(task));
    }

    /** Runs everything due up to @p end. */
    void runUntil(millis end)
    {
        while (!m_tasks.empty() && m_tasks.top().time <= end) {
            const entry next =
                std::move(const_cast<entry &>(m_tasks.top())); // Popped at once; a copy costs half the run.
            m_tasks.pop();
            m_now = next.time;
            next.task();
        }
        m_now = end;
    }

private:
    struct entry {
        millis time;
        std::uint64_t order;
        std::function<void()> task;
        bool operator<(const entry &other) const
        {
            return time != other.time ? time > other.time : order > other.order;
        }
    };

    millis m_now {1000}; // Not 0: a clock that starts at 0 hides mistakes with "never" and "long ago".
    std::uint64_t m_next = 0;
    std::priority_queue<entry> m_tasks;
};

} // namespace chivelock::fakes
