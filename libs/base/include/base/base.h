#pragma once

/**
 * @file
 * Types that every other library uses: time, identifiers, the bounded ring between threads, preconditions, log lines.
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
 * A time in milliseconds, with microsecond resolution. It serves as a duration and as an instant since the origin of
 * the clock that gave it. Instants of two processes are never compared: deadlines travel as remaining time.
 */
class millis
{
public:
    constexpr millis() = default;

    /** @param value milliseconds; parts of a microsecond are cut off. */
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

    /** Later than any instant a process reaches. */
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

    /** Whole milliseconds, rounded up: a caller that waits this long has waited long enough. */
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

/** What a clock must offer; tests and the bench use one that they set by hand. */
template<typename clock_type>
concept millis_clock = requires(const clock_type &clock)
{
    {
        clock.now()
        } -> std::same_as<millis>;
};

/** The process's clock: counts while the process is stopped, never steps with the wall clock. */
class steady_clock
{
public:
    [[nodiscard]] millis now() const;
};

/**
 * Counts on while the whole VM is suspended, which @ref steady_clock does not: a deadline that passed in such a gap has
 * passed for the caller too, and a connection that idled through it is as old as the other side thinks.
 */
class boot_clock
{
public:
    [[nodiscard]] millis now() const;
};

/** A number that names one thing of the kind given by the tag. */
template<typename tag>
struct numbered {
    std::uint32_t value = 0;
    constexpr auto operator<=>(const numbered &) const = default;
};

/** A name for one thing of the kind given by the tag. */
template<typename tag>
struct named {
    std::string value;
    auto operator<=>(const named &) const = default;
};

using vm_id = numbered<struct vm_tag>;
using leaf_id = numbered<struct leaf_tag>;
using shard_id = numbered<struct shard_tag>;
using snapshot_id = numbered<struct snapshot_tag>;
using map_version = numbered<struct map_version_tag>;
using service_name = named<struct service_tag>;
using kind_name = named<struct kind_tag>;
using zone_name = named<struct zone_tag>;

/** Whether a lookup goes before others at a full target. */
enum class urgency : std::uint8_t {
    Urgent,
    Ordinary
};

[[nodiscard]] std::string_view toString(urgency value);

/** A pure source of pseudo-random numbers (splitmix64); the seed is part of the input, so runs repeat exactly. */
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

/** Stops the process with the message if a caller broke a precondition: going on would spread a wrong state. */
void require(bool condition, std::string_view message);

/**
 * Bounded ring from many threads to one. A full ring refuses, so a slow reader never blocks a writer: the writer must
 * have an answer for that case. The reader waits on @ref wakeFd.
 */
template<typename item>
class bounded_ring
{
public:
    explicit bounded_ring(std::size_t capacity);
    bounded_ring(const bounded_ring &) = delete;
    bounded_ring &operator=(const bounded_ring &) = delete;
    ~bounded_ring();

    /** @return false if the ring is full; @p value is then left as it was. */
    [[nodiscard]] bool push(item &&value);

    /** Hands every waiting item, oldest first, to @p take. @return how many. */
    template<typename consumer>
    std::size_t drain(consumer &&take);

    /** Readable while items wait. */
    [[nodiscard]] int wakeFd() const
    {
        return m_wake.fd();
    }

private:
    /** An eventfd; kept apart so that the template holds no system calls. */
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

/** Prepares logging to standard output for the process; nothing is written to files. Call it once, first. */
void startLogging(log_level least);

/**
 * While it lives, log lines are handed to a thread of its own that writes them: whoever logs never waits for standard
 * output. Lines beyond @p linesPerSecond, or those that find the ring full, are left out and counted in a line of their
 * own. At most one at a time.
 */
class log_writer
{
public:
    explicit log_writer(std::uint32_t linesPerSecond);
    log_writer(const log_writer &) = delete;
    log_writer &operator=(const log_writer &) = delete;
    /** Writes what is left. */
    ~log_writer();

    /** Lines left out since the start. */
    [[nodiscard]] std::uint64_t dropped() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

/** Writes one line: level, event and the fields as key=value pairs; values with blanks are quoted. */
void logEvent(log_level level, std::string_view event, std::initializer_list<log_field> fields);

/** Limits how often one repeated cause is logged; tells how many lines were left out. */
class log_limiter
{
public:
    explicit log_limiter(millis interval)
        : m_interval(interval)
    {
    }

    /** @return true if a line may be written now. */
    [[nodiscard]] bool allow(millis now);

    /** Lines left out since the last one that was allowed; reading it starts the count anew. */
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
std::size_t bounded_ring<item>::drain(consumer &&take)
{
    // The signal is cleared before reading: an item pushed after the last read then raises it again.
    m_wake.clear();
    return m_queue.consume_all([&take](item *value) {
        const std::unique_ptr<item> owned(value);
        take(std::move(*owned));
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
struct std::hash<chivelock::numbered<tag>> {
    std::size_t operator()(const chivelock::numbered<tag> &id) const noexcept
    {
        return std::hash<std::uint32_t>()(id.value);
    }
};

template<typename tag>
struct std::hash<chivelock::named<tag>> {
    std::size_t operator()(const chivelock::named<tag> &name) const noexcept
    {
        return std::hash<std::string>()(name.value);
    }
};
