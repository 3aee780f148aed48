#pragma once

/** @file How values are taken from a checked document; the defaults stand in the settings' structs alone. */

#include <base/base.h>

#include <nlohmann/json.hpp>

#include <string>

namespace chivelock {

/** Overwrites a setting if the document has it. */
template<typename value_type>
void take(const nlohmann::json &from, const char *key, value_type &setting)
{
    if (from.contains(key)) {
        setting = from.at(key).get<value_type>();
    }
}

inline void take(const nlohmann::json &from, const char *key, millis &setting)
{
    if (from.contains(key)) {
        setting = millis(from.at(key).get<double>());
    }
}

/** @param name one of the names that the schemas allow. */
inline log_level levelFrom(const std::string &name)
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
