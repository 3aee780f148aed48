#include "addresses.h"

#include <charconv>

namespace chivelock {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

std::optional<tcp::endpoint> parseEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    error_code error;
    const auto ip = asio::ip::make_address(std::string(text.substr(0, colon)), error);
    std::uint16_t port = 0;
    const std::string_view digits = text.substr(colon + 1);
    const auto [end, parseError] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error || parseError != std::errc() || end != digits.data() + digits.size()) {
        return std::nullopt;
    }
    return tcp::endpoint(ip, port);
}

error_code listenAt(tcp::acceptor &acceptor, const std::string &address, std::uint16_t port)
{
    error_code error;
    const auto ip = asio::ip::make_address(address, error);
    if (!error) {
        acceptor.open(tcp::v4(), error);
    }
    if (!error) {
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        acceptor.bind({ip, port}, error);
    }
    if (!error) {
        acceptor.listen(tcp::socket::max_listen_connections, error);
    }
    return error;
}

std::string_view hostOf(std::string_view address)
{
    return address.substr(0, address.rfind(':'));
}

} // namespace chivelock
