#pragma once

#include <waxwing/support/time.h>

#include <boost/json/object.hpp>

#include <functional>
#include <string>

namespace waxwing::wire
{
class Envelope;
}

namespace waxwing::control
{

/// @brief Request to an endpoint.
struct EndpointCall
{
    std::string address;
    std::string method;
    std::string target;
    boost::json::object body; ///< not sent with GET
    Duration timeout {};
};

/// @brief Answer of an endpoint; answered is false if the call failed or timed out.
struct EndpointAnswer
{
    bool answered = false;
    unsigned status = 0;
    boost::json::object body;
};

/// @brief Functions through which the control service reaches proxies, endpoints and clocks; tests replace them. One thread.
struct ControlPorts
{
    std::function<void(const std::string &proxy, const wire::Envelope &message)> sendToProxy;
    std::function<void(EndpointCall call, std::function<void(EndpointAnswer &&answer)> handler)> callEndpoint;
    std::function<TimePoint()> now;
    std::function<std::uint64_t()> wallClockMs;
    std::function<std::string()> leaderLinkAddress; ///< empty if unknown
};

} // namespace waxwing::control
