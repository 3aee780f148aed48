#pragma once

#include <base/base.h>

#include <functional>
#include <queue>
#include <vector>

namespace chivelock::fakes {

/** Event loop with a simulated clock. Runs tasks in order of due time, and in insertion order for equal times. */
class virtual_time
{
public:
    [[nodiscard]] millis now() const
    {
        return m_now;
    }

    void at(millis time, std::function<void()> task)
    {
        m_tasks.push({std::max(time, m_now), m_nextOrder++, std::move(task)});
    }

    void after(millis delay, std::function<void()> task)
    {
        at(m_now + delay, std::move(task));
    }

    /** Runs all tasks that are due up to and including @p end, then sets the clock to @p end. */
    void runUntil(millis end)
    {
        while (!m_tasks.empty() && m_tasks.top().time <= end) {
            // Moving is safe because the element is popped right after; copying it instead doubles the run time.
            const scheduled_task next = std::move(const_cast<scheduled_task &>(m_tasks.top()));
            m_tasks.pop();
            m_now = next.time;
            next.task();
        }
        m_now = end;
    }

private:
    struct scheduled_task {
        millis time;
        std::uint64_t order;
        std::function<void()> task;
        bool operator<(const scheduled_task &other) const
        {
            return time != other.time ? time > other.time : order > other.order;
        }
    };

    millis m_now {1000}; // Not 0: a clock that starts at 0 hides errors in the handling of unset and long past times.
    std::uint64_t m_nextOrder = 0;
    std::priority_queue<scheduled_task> m_tasks;
};

} // namespace chivelock::fakes
