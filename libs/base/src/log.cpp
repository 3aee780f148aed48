#include <base/base.h>

#include <easylogging++.h>

#include <algorithm>
#include <cctype>

INITIALIZE_EASYLOGGINGPP

namespace chivelock {

namespace {

std::string quoted(std::string_view text)
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

struct value_writer {
    std::string operator()(const std::string &text) const
    {
        const bool plain = !text.empty() && std::ranges::all_of(text, [](unsigned char c) {
            return std::isalnum(c) != 0
                || std::string_view("-_./:+,%").find(static_cast<char>(c)) != std::string_view::npos;
        });
        return plain ? text : quoted(text);
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

} // namespace

void startLogging(log_level least)
{
    el::Configurations settings;
    settings.setToDefault();
    settings.setGlobally(el::ConfigurationType::ToFile, "false");
    settings.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    settings.setGlobally(el::ConfigurationType::Format, "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} %msg");
    if (least > log_level::Debug) {
        settings.set(el::Level::Debug, el::ConfigurationType::Enabled, "false");
    }
    if (least > log_level::Info) {
        settings.set(el::Level::Info, el::ConfigurationType::Enabled, "false");
    }
    if (least > log_level::Warning) {
        settings.set(el::Level::Warning, el::ConfigurationType::Enabled, "false");
    }
    el::Loggers::reconfigureAllLoggers(settings);
}

void logEvent(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    std::string pairs = " event=" + std::string(event);
    for (const log_field &field : fields) {
        pairs += ' ';
        pairs += field.key;
        pairs += '=';
        pairs += std::visit(value_writer(), field.value);
    }
    switch (level) {
    case log_level::Debug:
        LOG(DEBUG) << "level=debug" << pairs;
        break;
    case log_level::Info:
        LOG(INFO) << "level=info" << pairs;
        break;
    case log_level::Warning:
        LOG(WARNING) << "level=warning" << pairs;
        break;
    case log_level::Error:
        LOG(ERROR) << "level=error" << pairs;
        break;
    }
}

} // namespace chivelock
