#pragma once

/** @file What both readers do with a message that Boost.Beast has parsed. */

#include <http1/http1.h>

#include <boost/beast/http/fields.hpp>

namespace chivelock {

/** Copies all header lines in their order, spelling and number. */
template<typename fields>
[[nodiscard]] http_headers copyHeaders(const fields &message)
{
    http_headers headers;
    for (const auto &line : message) {
        const auto name = line.name_string();
        const auto value = line.value();
        headers.push_back({std::string(name.data(), name.size()), std::string(value.data(), value.size())});
    }
    return headers;
}

} // namespace chivelock
