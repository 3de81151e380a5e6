#include <waxwing/sessions/change_signal.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace waxwing
{

namespace asio = boost::asio;

namespace
{

// Longest wait before a waiting statement checks its deadline again.
constexpr Duration changePollInterval = 50ms;

} // namespace

ChangeSignal::ChangeSignal(const asio::any_io_executor &executor)
    : m_executor(executor)
    , m_timer(std::make_shared<asio::steady_timer>(executor))
{
    m_timer->expires_at(asio::steady_timer::time_point::max());
}

asio::awaitable<void> ChangeSignal::wait(TimePoint deadline)
{
    const auto timer = m_timer;
    asio::steady_timer limit(m_executor, std::min(changePollInterval, deadline - Clock::now()));
    limit.async_wait([timer](const boost::system::error_code &error) {
        if (!error) {
            timer->cancel();
        }
    });
    co_await timer->async_wait(asio::as_tuple(asio::use_awaitable));
}

void ChangeSignal::notify()
{
    const auto timer = std::exchange(m_timer, std::make_shared<asio::steady_timer>(m_executor));
    m_timer->expires_at(asio::steady_timer::time_point::max());
    timer->cancel();
}

} // namespace waxwing
