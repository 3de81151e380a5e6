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

/// What the platform answered to an order.
enum class OrderAnswer {
    Accepted,
    Conflict, ///< the fencing token is too low, or the database does not run
    None, ///< no answer, or not one that tells; the order may still be carried out
};

/// @brief Outer world of SessionControl; filled by the program, or by a test. One thread.
struct SessionControlPorts
{
    LogPort log;
    std::function<void(const std::string &proxy, const wire::PoolEnvelope &message)> sendToProxy;
    std::function<void(const std::string &member, const wire::PoolEnvelope &message)> sendToMember; ///< by link address
    std::function<std::vector<std::string>()> members; ///< link addresses of the members of control
    /// Orders the platform to make a database the primary; waits for the answer no longer than the limit.
    std::function<boost::asio::awaitable<OrderAnswer>(std::string service, std::string database, std::uint64_t token, Duration limit)> orderPromotion;
};

} // namespace waxwing::control
