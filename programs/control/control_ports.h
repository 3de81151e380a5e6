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

/// @brief Answer of an endpoint; without a body if the call failed or the endpoint did not answer in time.
struct EndpointAnswer
{
    bool answered = false;
    unsigned status = 0;
    boost::json::object body;
};

/// @brief Outer world of the control service; filled by the program, or by a test. One thread.
struct ControlPorts
{
    std::function<void(const std::string &proxy, const wire::Envelope &message)> sendToProxy;
    std::function<void(EndpointCall call, std::function<void(EndpointAnswer &&answer)> handler)> callEndpoint;
    std::function<TimePoint()> now;
    std::function<std::uint64_t()> wallClockMs;
    std::function<std::string()> leaderLinkAddress; ///< empty if unknown
};

} // namespace waxwing::control
