#pragma once

#include <waxwing/coordination/log_port.h>
#include <waxwing/support/time.h>
#include <waxwing/wire/sessions.pb.h>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace waxwing::control
{

/// Answer of the platform to a promotion order.
enum class OrderAnswer {
    Accepted,
    Conflict, ///< the fencing token is too low, or the database does not run
    None, ///< no answer, or an inconclusive one; the order may still be carried out
    NotTaken, ///< the platform was not reached or refused the order for its rate, or this member can't prove that it still leads
};

/// @brief Interfaces through which SessionControl reaches the log, proxies, other members and the platform. Single-threaded.
struct SessionControlPorts
{
    LogPort log;
    std::function<void(const std::string &proxy, const wire::PoolEnvelope &message)> sendToProxy;
    std::function<void(const std::string &member, const wire::PoolEnvelope &message)> sendToMember; ///< by link address
    std::function<std::vector<std::string>()> members; ///< link addresses of the members of control
    /// Orders the platform to promote a database, with a fencing token. Waits for the answer no longer than the timeout. Where the
    /// platform checks no tokens, the order is sent only right after a proof that this member leads.
    std::function<boost::asio::awaitable<OrderAnswer>(std::string service, std::string database, std::uint64_t token, Duration timeout)> orderPromotion;
};

} // namespace waxwing::control
