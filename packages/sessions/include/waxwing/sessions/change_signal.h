#pragma once

#include <waxwing/support/time.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace waxwing
{

/// @brief Wakes coroutines that wait for a change. Not thread-safe.
class ChangeSignal
{
public:
    explicit ChangeSignal(const boost::asio::any_io_executor &executor);

    /// @brief Waits for the next call of notify(). May return early; check the condition again.
    boost::asio::awaitable<void> wait(TimePoint deadline);

    /// @brief Wakes all callers of wait().
    void notify();

private:
    boost::asio::any_io_executor m_executor;
    // Shared with the waiting coroutines, because notify() replaces the timer before it cancels the old one.
    std::shared_ptr<boost::asio::steady_timer> m_timer;
};

} // namespace waxwing
