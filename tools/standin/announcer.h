#pragma once

#include <waxwing/support/time.h>
#include <waxwing/transport/http_connection.h>

#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <optional>

namespace waxwing::standin
{

struct Member;

/// @brief Announces the member to one proxy every second, to each in turn, as a load balancer would spread it.
class Announcer
{
public:
    Announcer(boost::asio::io_context &context, Member &member);

    /// @brief Announces now, and every second from now on.
    void announce();

private:
    void schedule();
    void tryNext(std::size_t remaining);
    void send(std::size_t remaining);

    boost::asio::io_context &m_context;
    Member &m_member;
    boost::asio::steady_timer m_timer;
    std::optional<HttpConnection> m_connection;
    std::size_t m_next = 0;
};

} // namespace waxwing::standin
