#pragma once

/** @file Helpers that read values from a validated document. The defaults are declared only in the settings structs. */

#include <base/base.h>

#include <nlohmann/json.hpp>

#include <string>

namespace chivelock {

/** Overwrites @p setting if @p from has the key; otherwise the setting keeps its default. */
template<typename value_type>
void readIfPresent(const nlohmann::json &from, const char *key, value_type &setting)
{
    if (from.contains(key)) {
        setting = from.at(key).get<value_type>();
    }
}

inline void readIfPresent(const nlohmann::json &from, const char *key, millis &setting)
{
    if (from.contains(key)) {
        setting = millis(from.at(key).get<double>());
    }
}

/** @param name one of the level names that the schemas permit. */
inline log_level logLevelFromName(const std::string &name)
{
    if (name == "debug") {
        return log_level::Debug;
    }
    if (name == "warning") {
        return log_level::Warning;
    }
    return name == "error" ? log_level::Error : log_level::Info;
}

} // namespace chivelock
