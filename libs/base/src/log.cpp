#include <base/base.h>

#include <easylogging++.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cctype>
#include <chrono>
#include <ctime>
#include <thread>

INITIALIZE_EASYLOGGINGPP

namespace chivelock {

namespace {

std::string quote(std::string_view text)
{
    std::string result = "\"";
    for (const char c : text) {
        if (c == '"' || c == '\\') {
            result += '\\';
        }
        result += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
    }
    return result + '"';
}

struct value_formatter {
    std::string operator()(const std::string &text) const
    {
        const bool needsNoQuotes = !text.empty() && std::ranges::all_of(text, [](unsigned char c) {
            return std::isalnum(c) != 0
                || std::string_view("-_./:+,%").find(static_cast<char>(c)) != std::string_view::npos;
        });
        return needsNoQuotes ? text : quote(text);
    }

    std::string operator()(bool flag) const
    {
        return flag ? "true" : "false";
    }

    template<typename number>
    std::string operator()(number value) const
    {
        return std::to_string(value);
    }
};

/** The current time in UTC. Called when the event occurs, because the line may be written later. */
std::string utcTimestamp()
{
    const auto currentTime = std::chrono::system_clock::now();
    const std::time_t seconds = std::chrono::system_clock::to_time_t(currentTime);
    const auto sinceEpoch =
        std::chrono::duration_cast<std::chrono::milliseconds>(currentTime.time_since_epoch()).count();
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    std::array<char, 40> text {};
    const std::size_t length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    constexpr int millisPerSecond = 1000;
    const int millisLength = std::snprintf(
        text.data() + length, text.size() - length, ".%03d", static_cast<int>(sinceEpoch % millisPerSecond));
    return {text.data(), length + static_cast<std::size_t>(millisLength)};
}

struct log_line {
    log_level level = log_level::Info;
    std::string text;
};

void write(const log_line &line)
{
    switch (line.level) {
    case log_level::Debug:
        LOG(DEBUG) << line.text;
        break;
    case log_level::Info:
        LOG(INFO) << line.text;
        break;
    case log_level::Warning:
        LOG(WARNING) << line.text;
        break;
    case log_level::Error:
        LOG(ERROR) << line.text;
        break;
    }
}

constexpr std::string_view levelName(log_level level)
{
    constexpr std::array<std::string_view, 4> names = {"debug", "info", "warning", "error"};
    return names.at(static_cast<std::size_t>(level));
}

std::atomic<log_level> minimumLevel = log_level::Debug;

} // namespace

/** The queue of lines for the writer thread, and the thread's loop. */
struct log_writer::state {
    explicit state(std::uint32_t limit)
        : linesPerInterval(std::max(1U, limit * flushMillis / 1000))
        , lines(ringCapacity)
    {
    }

    static constexpr std::uint32_t flushMillis =
        100; // longest delay of a line; ten wake-ups per second use little CPU time
    static constexpr std::size_t ringCapacity = 8192;

    std::uint32_t linesPerInterval;
    boost::lockfree::queue<log_line *, boost::lockfree::fixed_sized<true>> lines;
    std::atomic<std::uint32_t> offeredInInterval = 0; ///< lines offered since the last flush
    std::atomic<std::uint64_t> dropped = 0;
    std::atomic<bool> stopping = false;
    std::thread thread;

    void enqueue(log_line line)
    {
        auto owned = std::make_unique<log_line>(std::move(line));
        if (offeredInInterval.fetch_add(1) >= linesPerInterval || !lines.bounded_push(owned.get())) {
            dropped += 1;
            return;
        }
        (void)owned.release();
    }

    void run()
    {
        std::uint64_t reportedDrops = 0;
        while (!stopping) {
            std::this_thread::sleep_for(std::chrono::milliseconds(flushMillis));
            offeredInInterval = 0;
            writeAll();
            if (const std::uint64_t totalDrops = dropped; totalDrops != reportedDrops) {
                write({log_level::Warning,
                       "time=" + utcTimestamp() + " level=warning event=log_lines_dropped count="
                           + std::to_string(totalDrops - reportedDrops)});
                reportedDrops = totalDrops;
            }
        }
        writeAll();
    }

    void writeAll()
    {
        lines.consume_all([](log_line *line) {
            const std::unique_ptr<log_line> owned(line);
            write(*owned);
        });
    }
};

namespace {

std::atomic<log_writer *> activeWriter = nullptr;
std::function<void(log_line)> enqueueLine;

} // namespace

log_writer::log_writer(std::uint32_t linesPerSecond)
    : m_state(std::make_unique<state>(linesPerSecond))
{
    require(activeWriter == nullptr, "at most one log_writer may exist at a time");
    enqueueLine = [writerState = m_state.get()](log_line line) { writerState->enqueue(std::move(line)); };
    activeWriter = this;
    m_state->thread = std::thread([writerState = m_state.get()] { writerState->run(); });
}

log_writer::~log_writer()
{
    activeWriter = nullptr;
    m_state->stopping = true;
    m_state->thread.join();
}

std::uint64_t log_writer::dropped() const
{
    return m_state->dropped;
}

void startLogging(log_level minLevel)
{
    el::Configurations settings;
    settings.setToDefault();
    settings.setGlobally(el::ConfigurationType::ToFile, "false");
    settings.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    settings.setGlobally(el::ConfigurationType::Format, "%msg");
    minimumLevel = minLevel;
    if (minLevel > log_level::Debug) {
        settings.set(el::Level::Debug, el::ConfigurationType::Enabled, "false");
    }
    if (minLevel > log_level::Info) {
        settings.set(el::Level::Info, el::ConfigurationType::Enabled, "false");
    }
    if (minLevel > log_level::Warning) {
        settings.set(el::Level::Warning, el::ConfigurationType::Enabled, "false");
    }
    el::Loggers::reconfigureAllLoggers(settings);
}

void logEvent(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    if (level < minimumLevel) {
        return;
    }
    std::string text =
        "time=" + utcTimestamp() + " level=" + std::string(levelName(level)) + " event=" + std::string(event);
    for (const log_field &field : fields) {
        text += ' ';
        text += field.key;
        text += '=';
        text += std::visit(value_formatter(), field.value);
    }
    log_line line {level, std::move(text)};
    if (activeWriter != nullptr) {
        enqueueLine(std::move(line));
    } else {
        write(line);
    }
}

} // namespace chivelock
