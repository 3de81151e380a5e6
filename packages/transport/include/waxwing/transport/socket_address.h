#pragma once

#include <waxwing/transport/transport_error.h>

#include <boost/asio/ip/tcp.hpp>

#include <string_view>

namespace waxwing
{

/// @brief Parses an address of the form IP:port.
/// @param text e.g. `127.0.0.1:7600`
/// @return the address, or TransportError::BadAddress
TransportResult<boost::asio::ip::tcp::endpoint> parseSocketAddress(std::string_view text);

} // namespace waxwing
