#pragma once

/** @file Conversion of messages parsed by Boost.Beast that both readers share. */

#include <http1/http1.h>

#include <boost/beast/http/fields.hpp>

namespace chivelock {

/** Copies all header lines, keeping their order, spelling and repetitions. */
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
