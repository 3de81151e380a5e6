#pragma once

#include <waxwing/support/time.h>

#include <boost/asio/ip/tcp.hpp>

namespace waxwing
{

/// @brief Sets up a TCP connection so that a silent peer is noticed.
/// @param unacknowledged the connection ends when sent bytes stay unacknowledged for this long
/// @param idle the first keep-alive probe is sent after this much silence
void tuneSocket(boost::asio::ip::tcp::socket &socket, Duration unacknowledged, Duration idle);

} // namespace waxwing
