#pragma once

/**
 * @file
 * Types shared by all libraries: time, identifiers, the bounded ring buffer between threads, precondition checks, and
 * structured logging.
 */

#include <boost/lockfree/queue.hpp>

#include <compare>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace chivelock {

/**
 * A time in milliseconds, with microsecond resolution. It represents a duration, or an instant relative to the origin
 * of the clock that returned it. Instants of two processes are not comparable, so deadlines are sent as remaining time.
 */
class millis
{
public:
    constexpr millis() = default;

    /** @param value milliseconds; truncated to whole microseconds. */
    constexpr explicit millis(double value)
        : m_micros(static_cast<std::int64_t>(value * microsPerMilli))
    {
    }

    static constexpr millis fromMicros(std::int64_t micros)
    {
        millis result;
        result.m_micros = micros;
        return result;
    }

    /** An instant later than any that a clock returns. */
    static constexpr millis never()
    {
        return fromMicros(INT64_MAX / 4);
    }

    [[nodiscard]] constexpr double count() const
    {
        return static_cast<double>(m_micros) / microsPerMilli;
    }

    [[nodiscard]] constexpr std::int64_t micros() const
    {
        return m_micros;
    }

    /** Whole milliseconds, rounded up so that a caller that waits this long waits at least this time. */
    [[nodiscard]] constexpr std::int64_t ceiled() const
    {
        return (m_micros + 999) / 1000;
    }

    constexpr auto operator<=>(const millis &) const = default;

    constexpr millis operator+(millis other) const
    {
        return fromMicros(m_micros + other.m_micros);
    }

    constexpr millis operator-(millis other) const
    {
        return fromMicros(m_micros - other.m_micros);
    }

    constexpr millis operator*(double factor) const
    {
        return millis(count() * factor);
    }

private:
    static constexpr double microsPerMilli = 1000.0;
    std::int64_t m_micros = 0;
};

/** Requirements on a clock type; tests and benchmarks use a clock that they set manually. */
template<typename clock_type>
concept millis_clock = requires(const clock_type &clock)
{
    {
        clock.now()
        } -> std::same_as<millis>;
};

/** Monotonic clock: advances while the process is paused and is not affected by changes of the wall clock. */
class steady_clock
{
public:
    [[nodiscard]] millis now() const;
};

/**
 * Monotonic clock that also advances while the whole VM is suspended, unlike @ref steady_clock. A deadline that expires
 * during the suspension has expired for the caller too, and the idle time of a connection matches what the remote end
 * measures.
 */
class boot_clock
{
public:
    [[nodiscard]] millis now() const;
};

/** A numeric identifier; the tag makes identifiers of different kinds distinct types. */
template<typename tag>
struct numeric_id {
    std::uint32_t value = 0;
    constexpr auto operator<=>(const numeric_id &) const = default;
};

/** A string identifier; the tag makes identifiers of different kinds distinct types. */
template<typename tag>
struct string_id {
    std::string value;
    auto operator<=>(const string_id &) const = default;
};

using vm_id = numeric_id<struct vm_tag>;
using leaf_id = numeric_id<struct leaf_tag>;
using shard_id = numeric_id<struct shard_tag>;
using snapshot_id = numeric_id<struct snapshot_tag>;
using map_version = numeric_id<struct map_version_tag>;
using service_name = string_id<struct service_tag>;
using kind_name = string_id<struct kind_tag>;
using zone_name = string_id<struct zone_tag>;
using region_name = string_id<struct region_tag>;

/** Whether a lookup takes precedence over others when a target is at capacity. */
enum class urgency : std::uint8_t {
    Urgent,
    Ordinary
};

[[nodiscard]] std::string_view toString(urgency value);

/** Deterministic pseudo-random number generator (splitmix64): the same seed always gives the same sequence. */
class seeded_random
{
public:
    explicit seeded_random(std::uint64_t seed)
        : m_state(seed)
    {
    }

    std::uint64_t next();

    /** Uniform in [0, 1). */
    double uniform();

    /** Uniform in [0, bound). @pre bound > 0. */
    std::size_t below(std::size_t bound);

private:
    std::uint64_t m_state;
};

/** Prints the message and aborts the process if the condition is false: continuing could propagate corrupt state. */
void require(bool condition, std::string_view message);

/**
 * Bounded multi-producer, single-consumer queue. @ref push fails when the ring is full, so a slow consumer never blocks
 * a producer; the producer must handle the failure. The consumer waits on @ref wakeFd.
 */
template<typename item>
class bounded_ring
{
public:
    explicit bounded_ring(std::size_t capacity);
    bounded_ring(const bounded_ring &) = delete;
    bounded_ring &operator=(const bounded_ring &) = delete;
    ~bounded_ring();

    /** @return false if the ring is full; @p value is then unchanged. */
    [[nodiscard]] bool push(item &&value);

    /** Removes all queued items and passes each to @p consume, oldest first. @return the number of items. */
    template<typename consumer>
    std::size_t drain(consumer &&consume);

    /** File descriptor that is readable while items are queued. */
    [[nodiscard]] int wakeFd() const
    {
        return m_wake.fd();
    }

private:
    /** Owns an eventfd. Its system calls are in base.cpp, so that this template contains none. */
    class wake_signal
    {
    public:
        wake_signal();
        wake_signal(const wake_signal &) = delete;
        wake_signal &operator=(const wake_signal &) = delete;
        ~wake_signal();
        void raise() const;
        void clear() const;
        [[nodiscard]] int fd() const
        {
            return m_fd;
        }

    private:
        int m_fd;
    };

    boost::lockfree::queue<item *, boost::lockfree::fixed_sized<true>> m_queue;
    wake_signal m_wake;
};

/** One key=value pair of a log line. */
struct log_field {
    std::string_view key;
    std::variant<std::string, std::int64_t, std::uint64_t, double, bool> value;
};

enum class log_level : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error
};

/** Sets up logging to standard output, without log files. Must be called once, before the first @ref logEvent. */
void startLogging(log_level minLevel);

/**
 * Writes log lines on a dedicated thread while an instance exists, so that logging threads never block on standard
 * output. Lines that exceed @p linesPerSecond or do not fit in the ring are dropped; a log_lines_dropped line reports
 * how many. At most one instance may exist at a time.
 */
class log_writer
{
public:
    explicit log_writer(std::uint32_t linesPerSecond);
    log_writer(const log_writer &) = delete;
    log_writer &operator=(const log_writer &) = delete;
    /** Writes the queued lines and stops the thread. */
    ~log_writer();

    /** Number of lines dropped since construction. */
    [[nodiscard]] std::uint64_t dropped() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

/**
 * Writes one line: time, level, event and the fields as key=value pairs. Values that are empty or have blanks or other
 * special characters are quoted.
 */
void logEvent(log_level level, std::string_view event, std::initializer_list<log_field> fields);

/** Limits how often a recurring event is logged and counts the suppressed lines. */
class log_limiter
{
public:
    explicit log_limiter(millis interval)
        : m_interval(interval)
    {
    }

    /** @return true if a line may be written now. */
    [[nodiscard]] bool allow(millis now);

    /** Number of lines suppressed since the previous call; resets the count. */
    [[nodiscard]] std::uint64_t takeSuppressed();

private:
    millis m_interval;
    millis m_last = millis() - millis::never();
    std::uint64_t m_suppressed = 0;
};

template<typename item>
bounded_ring<item>::bounded_ring(std::size_t capacity)
    : m_queue(capacity)
{
}

template<typename item>
bounded_ring<item>::~bounded_ring()
{
    m_queue.consume_all([](item *value) { delete value; });
}

template<typename item>
bool bounded_ring<item>::push(item &&value)
{
    auto owned = std::make_unique<item>(std::move(value));
    if (!m_queue.bounded_push(owned.get())) {
        value = std::move(*owned);
        return false;
    }
    (void)owned.release();
    m_wake.raise();
    return true;
}

template<typename item>
template<typename consumer>
std::size_t bounded_ring<item>::drain(consumer &&consume)
{
    // The signal must be cleared before the queue is read, so that an item pushed after the last read raises it again.
    m_wake.clear();
    return m_queue.consume_all([&consume](item *value) {
        const std::unique_ptr<item> owned(value);
        consume(std::move(*owned));
    });
}

namespace detail {
int openWakeFd();
void closeWakeFd(int fd);
void raiseWakeFd(int fd);
void clearWakeFd(int fd);
} // namespace detail

template<typename item>
bounded_ring<item>::wake_signal::wake_signal()
    : m_fd(detail::openWakeFd())
{
}

template<typename item>
bounded_ring<item>::wake_signal::~wake_signal()
{
    detail::closeWakeFd(m_fd);
}

template<typename item>
void bounded_ring<item>::wake_signal::raise() const
{
    detail::raiseWakeFd(m_fd);
}

template<typename item>
void bounded_ring<item>::wake_signal::clear() const
{
    detail::clearWakeFd(m_fd);
}

} // namespace chivelock

template<typename tag>
struct std::hash<chivelock::numeric_id<tag>> {
    std::size_t operator()(const chivelock::numeric_id<tag> &id) const noexcept
    {
        return std::hash<std::uint32_t>()(id.value);
    }
};

template<typename tag>
struct std::hash<chivelock::string_id<tag>> {
    std::size_t operator()(const chivelock::string_id<tag> &name) const noexcept
    {
        return std::hash<std::string>()(name.value);
    }
};
