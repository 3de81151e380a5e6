#pragma once

#include <waxwing/support/time.h>

#include <boost/asio/ip/tcp.hpp>

namespace waxwing
{

/// @brief Configures a TCP connection to detect an unresponsive peer.
/// @param unacknowledged the connection is closed if sent bytes stay unacknowledged for this long
/// @param idle the first keep-alive probe is sent after this much idle time
void configureSocket(boost::asio::ip::tcp::socket &socket, Duration unacknowledged, Duration idle);

} // namespace waxwing
