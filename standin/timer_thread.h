#pragma once

#include <base/base.h>

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace chivelock::standin {

/** Runs delayed tasks on one thread of its own. */
class timer_thread
{
public:
    timer_thread();
    ~timer_thread();
    timer_thread(const timer_thread &) = delete;
    timer_thread &operator=(const timer_thread &) = delete;

    void after(millis delay, std::function<void()> task);

private:
    void run();

    steady_clock m_clock;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::multimap<millis, std::function<void()>> m_tasks;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace chivelock::standin
