#pragma once

#include <waxwing/support/time.h>
#include <waxwing/transport/http_connection.h>
#include <waxwing/transport/http_request.h>

#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace waxwing
{

/// @brief Open-loop load over many connections: requests start at fixed times, whether or not earlier ones were answered.
class OpenLoad
{
public:
    struct Options
    {
        std::string address;
        std::size_t connections = 100;
        double rate = 460; ///< requests per second
        std::size_t requests = 1'000;
        std::function<HttpRequest(std::size_t number)> request;
        std::function<bool(const std::string &body)> isGood;
    };

    /// @brief Latencies in milliseconds, counted from the intended start, and the number of bad or failed answers.
    struct Result
    {
        std::vector<double> milliseconds;
        std::size_t failed = 0;

        /// @brief Quantile of the latencies; sorts them.
        double quantile(double probability);
    };

    OpenLoad(boost::asio::io_context &context, Options options);

    /// @brief Connects, sends all requests and waits for their answers; runs the context meanwhile.
    Result run();

private:
    struct Waiting
    {
        std::size_t number;
        TimePoint at;
    };

    void connect();
    void startDue();
    void send(std::size_t connection, const Waiting &waiting);

    boost::asio::io_context &m_context;
    Options m_options;
    boost::asio::steady_timer m_timer;
    std::vector<std::unique_ptr<HttpConnection>> m_connections;
    std::deque<std::size_t> m_idle;
    std::deque<Waiting> m_waiting;
    TimePoint m_start;
    std::size_t m_started = 0;
    std::size_t m_finished = 0;
    Result m_result;
};

} // namespace waxwing
