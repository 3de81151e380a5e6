#pragma once

#include <waxwing/coordination/connection_plan.h>
#include <waxwing/support/time.h>
#include <waxwing/transport/http_connection.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace waxwing
{

class Random;

/// @brief Connections of this proxy to one endpoint.
class EndpointPool
{
public:
    /// @brief Creates a pool without connections; maintain() opens them.
    /// @param context runs all callbacks; one thread
    /// @param address IP:port
    /// @param random for the pauses after failures
    /// @param onAvailable called when a connection has become idle by itself
    EndpointPool(boost::asio::io_context &context, std::string address, Random &random, std::function<void()> onAvailable);

    /// @brief Sets the number of connections that the endpoint allows in total.
    void setLimit(std::size_t limit);

    /// @brief Opens and closes connections as planned.
    /// @param waiting statements that could use a connection now
    void maintain(std::size_t waiting, TimePoint now);

    /// @brief Takes an idle connection.
    /// @return nullptr if there is none
    HttpConnection *acquire();

    /// @brief Gives a connection back. It is closed unless it is open and @p isReusable.
    void release(HttpConnection *connection, bool isReusable);

    /// @brief Closes all idle connections, e.g. when a probe found that the endpoint refuses connections.
    void closeIdle();

    /// @brief Counts for the plan.
    ConnectionCounts counts(std::size_t waiting = 0) const;

    /// @brief Tells whether a connection is idle.
    bool hasIdle() const
    {
        return !m_idle.empty();
    }

    /// @brief Tells whether the last attempt to connect failed and none has succeeded since.
    bool isFailing() const
    {
        return m_isFailing;
    }

    const std::string &address() const
    {
        return m_address;
    }

private:
    void open();

    boost::asio::io_context &m_context;
    std::string m_address;
    Random &m_random;
    std::function<void()> m_onAvailable;
    ConnectionPlan m_plan;
    std::size_t m_limit = 0;
    bool m_isFailing = false;
    std::vector<std::unique_ptr<HttpConnection>> m_idle; // the last one is used first, so that few stay warm
    std::unordered_map<HttpConnection *, std::unique_ptr<HttpConnection>> m_busy;
    std::unordered_map<HttpConnection *, std::unique_ptr<HttpConnection>> m_opening;
};

} // namespace waxwing
