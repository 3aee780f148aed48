#include "timer_thread.h"

#include <chrono>

namespace chivelock::standin {

timer_thread::timer_thread()
    : m_thread([this] { run(); })
{
}

timer_thread::~timer_thread()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_thread.join();
}

void timer_thread::after(millis delay, std::function<void()> task)
{
    const std::lock_guard lock(m_mutex);
    m_tasks.emplace(m_clock.now() + delay, std::move(task));
    m_changed.notify_all();
}

void timer_thread::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        if (m_tasks.empty()) {
            m_changed.wait(lock);
            continue;
        }
        const millis wait = m_tasks.begin()->first - m_clock.now();
        if (wait > millis()) {
            m_changed.wait_for(lock, std::chrono::microseconds(wait.micros()));
            continue;
        }
        const std::function<void()> task = std::move(m_tasks.begin()->second);
        m_tasks.erase(m_tasks.begin());
        lock.unlock();
        task();
        lock.lock();
    }
}

} // namespace chivelock::standin
