#pragma once

#include <waxwing/support/time.h>
#include <waxwing/transport/http_response.h>

#include <string>
#include <vector>

namespace waxwing::control
{

/// @brief Sends requests to the leader of the control service and blocks until the response arrives.
class OperatorClient
{
public:
    /// @brief Creates a client.
    /// @param addresses IP:port of control processes
    /// @param token bearer token
    OperatorClient(std::vector<std::string> addresses, std::string token);

    /// @brief Sends a request until a leader answers it or the timeout is reached.
    ///
    /// The request is repeated if a response is lost, so a change must have a change identifier.
    /// @param timeout limit for all attempts together
    /// @return the response; status 0 with a message as body if none arrived
    HttpResponse request(const std::string &method, const std::string &target, const std::string &body, Duration timeout);

private:
    bool attempt(const std::string &address, const std::string &method, const std::string &target, const std::string &body, Duration timeout,
                 HttpResponse &response);

    std::vector<std::string> m_addresses;
    std::string m_token;
    std::size_t m_nextAddress = 0;
    std::string m_leaderAddress; ///< empty if unknown
};

} // namespace waxwing::control
