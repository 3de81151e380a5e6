#pragma once

#include "control_ports.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace boost::asio
{
class io_context;
}

namespace waxwing
{
class HttpConnection;
}

namespace waxwing::control
{

/// @brief Sends requests to endpoints, each over a new connection. One thread.
class EndpointClient
{
public:
    /// @brief Creates a client without connections.
    /// @param context runs the callbacks
    explicit EndpointClient(boost::asio::io_context &context);
    ~EndpointClient();

    /// @brief Sends one request.
    /// @param call the request; its timeout applies to connecting and to the exchange, each
    /// @param handler called once, after this function has returned
    void call(EndpointCall call, std::function<void(EndpointAnswer &&answer)> handler);

private:
    void exchange(std::uint64_t id, const EndpointCall &call, const std::function<void(EndpointAnswer &&answer)> &handler);

    boost::asio::io_context &m_context;
    std::uint64_t m_lastId = 0;
    std::map<std::uint64_t, std::unique_ptr<HttpConnection>> m_connections;
};

} // namespace waxwing::control
