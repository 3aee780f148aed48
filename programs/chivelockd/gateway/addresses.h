#pragma once

/** @file Parses addresses and opens listening sockets. */

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace chivelock {

/** @return the endpoint, or nothing if @p text is not an IP address with a port. */
[[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view text);

/** @return the address without its port. */
[[nodiscard]] std::string_view hostOf(std::string_view address);

/** Opens and binds the acceptor and starts listening. @return the error that prevented it, if any. */
[[nodiscard]] boost::system::error_code
listenAt(boost::asio::ip::tcp::acceptor &acceptor, const std::string &address, std::uint16_t port);

} // namespace chivelock
