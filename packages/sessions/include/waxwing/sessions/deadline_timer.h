#pragma once

#include <waxwing/support/time.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <utility>

namespace waxwing
{

/// @brief Calls a function once at a deadline, unless it was cancelled, started again or destroyed before. One thread.
///
/// The timer of Asio alone does not promise that: when it has expired, its handler may wait behind others that end the owner
/// or begin the next operation, and then runs as if nothing had happened. After a suspension all timers expire at once.
class DeadlineTimer
{
public:
    explicit DeadlineTimer(const boost::asio::any_io_executor &executor)
        : m_timer(executor)
        , m_round(std::make_shared<std::uint64_t>(0))
    {
    }

    DeadlineTimer(const DeadlineTimer &) = delete;
    DeadlineTimer &operator=(const DeadlineTimer &) = delete;

    ~DeadlineTimer()
    {
        cancel();
    }

    /// @brief Replaces the deadline and its function.
    template<class Function>
    void start(Duration delay, Function function)
    {
        const auto round = ++*m_round;
        m_timer.expires_after(delay);
        m_timer.async_wait([counter = m_round, round, function = std::move(function)](const boost::system::error_code &error) {
            if (!error && *counter == round) {
                function();
            }
        });
    }

    /// @brief Drops the function; it is not called any more.
    void cancel()
    {
        ++*m_round;
        m_timer.cancel();
    }

private:
    boost::asio::steady_timer m_timer;
    std::shared_ptr<std::uint64_t> m_round; // shared: a queued handler outlives the timer
};

} // namespace waxwing
