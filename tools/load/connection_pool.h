#pragma once

#include <waxwing/support/time.h>
#include <waxwing/transport/http_connection.h>

#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace waxwing::load
{

/// @brief Keep-alive connections to several proxies; stands for the platform's load balancer.
///
/// It checks `GET /healthz` of each proxy and sends no new request to one that fails the check.
class ConnectionPool
{
public:
    using Connection = std::unique_ptr<HttpConnection>;
    using Handler = std::function<void(Connection connection, std::size_t target)>;

    /// @brief Creates an empty pool.
    /// @param targets addresses
    /// @param connections connections kept open, over all targets
    /// @param checksHealth whether targets answer `GET /healthz`
    ConnectionPool(boost::asio::io_context &context, std::vector<std::string> targets, unsigned connections, bool checksHealth);

    /// @brief Opens all connections; done when idle() says so.
    void open();

    /// @brief Stops the health checks, so that the context can end.
    void stop();

    /// @brief Number of idle connections.
    std::size_t idle() const;

    /// @brief Chooses a healthy target.
    /// @param preferred index that is taken if it is healthy
    std::size_t healthyTarget(std::size_t preferred) const;

    /// @brief Hands out a connection to the preferred target, or to the next one that accepts.
    /// @param handler called with no connection if no target accepts
    void acquire(std::size_t preferred, Handler handler);

    /// @brief Takes a connection back after its response.
    void release(Connection connection, std::size_t target);

private:
    struct Target
    {
        std::string address;
        std::deque<Connection> idle; // Used in turn, so that all stay in use.
        bool isHealthy = true;
        HttpConnection probe;
    };

    void openMore(std::size_t target, unsigned remaining);
    void tryTarget(std::size_t target, std::size_t remaining, Handler handler);
    void checkHealth();
    void probe(Target &target);
    void mark(Target &target, bool isHealthy);

    boost::asio::io_context &m_context;
    std::vector<Target> m_targets;
    unsigned m_perTarget;
    bool m_checksHealth;
    boost::asio::steady_timer m_timer;
};

} // namespace waxwing::load
