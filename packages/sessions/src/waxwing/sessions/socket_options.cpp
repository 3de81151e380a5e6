#include "socket_options.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>

namespace waxwing
{

namespace
{

constexpr int probes = 3; // unanswered keep-alive probes after which a connection is closed
constexpr int probeIntervalSeconds = 1;

void setOption(boost::asio::ip::tcp::socket &socket, int name, int value)
{
    // Errors are ignored: a socket without one of these options still works, and requests have their own deadlines.
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, name, &value, sizeof(value));
}

} // namespace

void configureSocket(boost::asio::ip::tcp::socket &socket, Duration unacknowledged, Duration idle)
{
    boost::system::error_code ignored;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    setOption(socket, TCP_USER_TIMEOUT, static_cast<int>(toMilliseconds(unacknowledged).count()));
    setOption(socket, TCP_KEEPIDLE, static_cast<int>(std::max<std::int64_t>(1, std::chrono::duration_cast<std::chrono::seconds>(idle).count())));
    setOption(socket, TCP_KEEPINTVL, probeIntervalSeconds);
    setOption(socket, TCP_KEEPCNT, probes);
}

} // namespace waxwing
