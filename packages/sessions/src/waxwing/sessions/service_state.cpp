#include <waxwing/sessions/service_state.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace waxwing
{

namespace asio = boost::asio;

namespace
{

// Steps in which a wait for a change looks at its own deadline.
constexpr Duration changePoll = 50ms;

} // namespace

ServiceState::ServiceState(const asio::any_io_executor &executor, std::string name)
    : m_executor(executor)
    , m_name(std::move(name))
    , m_signal(std::make_shared<asio::steady_timer>(executor))
{
    m_signal->expires_at(asio::steady_timer::time_point::max());
}

void ServiceState::setPrimary(std::uint64_t epoch, std::string_view primary)
{
    if (epoch < m_epoch || (epoch == m_epoch && m_primary == primary)) {
        return;
    }
    m_epoch = epoch;
    m_primary = primary;
    m_writesSince = Clock::now();
    notify();
}

ServiceState::PoolPointer ServiceState::primary() const
{
    const auto found = m_pools.find(m_primary);
    return found == m_pools.end() ? nullptr : found->second;
}

void ServiceState::setHolders(std::vector<StatementHolder> holders, std::string_view proxy)
{
    m_holders = std::move(holders);
    m_awaitsHolders = false;
    const auto own = std::find_if(m_holders.begin(), m_holders.end(), [proxy](const StatementHolder &holder) { return holder.proxy == proxy; });
    m_heldConnections = own == m_holders.end() ? 0 : own->connections;
}

void ServiceState::recordAcknowledged(const TermPosition &position, TimePoint now)
{
    m_acknowledged = std::max(m_acknowledged, position);
    m_lastWrite = now;
}

void ServiceState::recordWriteSent(TimePoint now)
{
    if (m_writes++ == 0) {
        m_writesSince = now;
    }
}

void ServiceState::recordWriteEnded(bool answered, TimePoint now)
{
    --m_writes;
    if (answered) {
        m_lastWrite = now;
    }
}

bool ServiceState::isPrimaryAlone() const
{
    return !m_primary.empty() && m_pools.size() > 1
        && std::all_of(m_pools.begin(), m_pools.end(), [this](const auto &item) { return item.first == m_primary || item.second->lagsBehind(); });
}

asio::awaitable<void> ServiceState::changed(TimePoint deadline)
{
    const auto signal = m_signal;
    asio::steady_timer limit(m_executor, std::min(changePoll, deadline - Clock::now()));
    limit.async_wait([signal](const boost::system::error_code &error) {
        if (!error) {
            signal->cancel();
        }
    });
    co_await signal->async_wait(asio::as_tuple(asio::use_awaitable));
}

void ServiceState::notify()
{
    const auto signal = std::exchange(m_signal, std::make_shared<asio::steady_timer>(m_executor));
    m_signal->expires_at(asio::steady_timer::time_point::max());
    signal->cancel();
}

} // namespace waxwing
