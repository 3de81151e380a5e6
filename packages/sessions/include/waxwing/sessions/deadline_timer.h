#pragma once

#include <waxwing/support/time.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <utility>

namespace waxwing
{

/// @brief Calls a function once at a deadline, unless the timer is cancelled, restarted or destroyed before. Not thread-safe.
///
/// Asio's timer alone does not guarantee this: the handler of an expired timer may be queued behind handlers that destroy its
/// owner or start the next operation, and would then still be called without an error. This happens after a suspension of the
/// process, when all timers expire at once.
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

    /// @brief Discards the function without calling it.
    void cancel()
    {
        ++*m_round;
        m_timer.cancel();
    }

private:
    boost::asio::steady_timer m_timer;
    std::shared_ptr<std::uint64_t> m_round; // shared, because a queued handler may outlive the timer
};

} // namespace waxwing
