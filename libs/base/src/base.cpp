#include <base/base.h>

#include <sys/eventfd.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <ctime>

namespace chivelock {

millis steady_clock::now() const
{
    const auto sinceOrigin = std::chrono::steady_clock::now().time_since_epoch();
    return millis::fromMicros(std::chrono::duration_cast<std::chrono::microseconds>(sinceOrigin).count());
}

millis boot_clock::now() const
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    constexpr std::int64_t microsPerSecond = 1000000;
    constexpr std::int64_t nanosPerMicro = 1000;
    return millis::fromMicros(time.tv_sec * microsPerSecond + time.tv_nsec / nanosPerMicro);
}

std::string_view toString(urgency value)
{
    return value == urgency::Urgent ? "urgent" : "ordinary";
}

std::uint64_t seeded_random::next()
{
    m_state += 0x9e3779b97f4a7c15ULL;
    std::uint64_t mixed = m_state;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31);
}

double seeded_random::uniform()
{
    constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53: a double holds each multiple in [0, 1) exactly
    return static_cast<double>(next() >> 11) * scale;
}

std::size_t seeded_random::below(std::size_t bound)
{
    require(bound > 0, "the bound of seeded_random::below must be positive");
    return static_cast<std::size_t>(next() % bound);
}

void require(bool condition, std::string_view message)
{
    if (condition) {
        return;
    }
    std::fprintf(stderr, "precondition violated: %.*s\n", static_cast<int>(message.size()), message.data());
    std::abort();
}

bool log_limiter::allow(millis now)
{
    if (now - m_last < m_interval) {
        ++m_suppressed;
        return false;
    }
    m_last = now;
    return true;
}

std::uint64_t log_limiter::takeSuppressed()
{
    return std::exchange(m_suppressed, 0);
}

namespace detail {

int openWakeFd()
{
    const int fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    require(fd >= 0, "eventfd() failed; cannot create the wake-up descriptor of a ring");
    return fd;
}

void closeWakeFd(int fd)
{
    close(fd);
}

void raiseWakeFd(int fd)
{
    // If the counter is full, the write fails, but the descriptor is already readable: no wake-up is lost.
    (void)eventfd_write(fd, 1);
}

void clearWakeFd(int fd)
{
    eventfd_t count = 0;
    (void)eventfd_read(fd, &count);
}

} // namespace detail

} // namespace chivelock
