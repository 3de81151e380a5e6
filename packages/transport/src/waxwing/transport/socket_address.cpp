#include <waxwing/transport/socket_address.h>

#include <boost/asio/ip/address.hpp>

#include <charconv>
#include <string>

namespace waxwing
{

TransportResult<boost::asio::ip::tcp::endpoint> parseSocketAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return TransportError::BadAddress;
    }
    std::uint16_t port = 0;
    const auto portText = text.substr(colon + 1);
    const auto [end, error] = std::from_chars(portText.data(), portText.data() + portText.size(), port);
    if (error != std::errc() || end != portText.data() + portText.size()) {
        return TransportError::BadAddress;
    }
    boost::system::error_code addressError;
    const auto address = boost::asio::ip::make_address(std::string(text.substr(0, colon)), addressError);
    if (addressError) {
        return TransportError::BadAddress;
    }
    return boost::asio::ip::tcp::endpoint(address, port);
}

} // namespace waxwing
