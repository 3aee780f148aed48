#pragma once

/** @file Conversion of messages parsed by Boost.Beast that both readers share. */

#include <http1/http1.h>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/fields.hpp>

#include <algorithm>
#include <iterator>

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

/** Whether the message has no transfer coding or is chunked once, in a version of HTTP that knows chunks. With any
 * other coding, two readers may disagree about the end of the body or its content. */
template<typename message>
[[nodiscard]] bool hasUnambiguousFraming(const message &parsed)
{
    constexpr unsigned firstVersionWithChunks = 11;
    const auto [begin, end] = parsed.equal_range(boost::beast::http::field::transfer_encoding);
    const bool allChunked =
        std::all_of(begin, end, [](const auto &line) { return boost::beast::iequals(line.value(), "chunked"); });
    const auto codings = std::distance(begin, end);
    return codings == 0 || (codings == 1 && allChunked && parsed.version() >= firstVersionWithChunks);
}

} // namespace chivelock
