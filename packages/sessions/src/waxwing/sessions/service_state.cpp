#include <waxwing/sessions/service_state.h>

#include <algorithm>
#include <utility>

namespace waxwing
{

namespace asio = boost::asio;

namespace
{

// A change of primary without an earlier one to learn from: evidence, order and confirmation, and up to 1 s for the promotion itself.
constexpr Duration usualPrimaryChange = 1s;

} // namespace

ServiceState::ServiceState(const asio::any_io_executor &executor, std::string name)
    : m_name(std::move(name))
    , m_primaryChange(usualPrimaryChange)
    , m_change(executor)
{
    m_primaryChange.begin(Clock::now());
}

void ServiceState::setPrimary(std::uint64_t epoch, std::string_view primary)
{
    if (epoch < m_epoch || (epoch == m_epoch && m_primary == primary)) {
        return;
    }
    const auto now = Clock::now();
    if (primary.empty()) {
        m_primaryChange.begin(now);
    } else if (m_epoch == 0) {
        m_primaryChange.cancel(); // the directory has just arrived
    } else {
        m_primaryChange.end(now);
    }
    m_epoch = epoch;
    m_primary = primary;
    m_writesPendingSince = now;
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

void ServiceState::recordWriteSent(TimePoint now)
{
    if (m_pendingWrites++ == 0) {
        m_writesPendingSince = now;
    }
}

void ServiceState::recordWriteEnded(bool answered, TimePoint now)
{
    --m_pendingWrites;
    if (answered) {
        m_lastAnsweredWrite = now;
    }
}

bool ServiceState::isPrimaryAlone() const
{
    return !m_primary.empty() && m_pools.size() > 1
        && std::all_of(m_pools.begin(), m_pools.end(), [this](const auto &item) { return item.first == m_primary || item.second->isPersistentlyLagging(); });
}

asio::awaitable<void> ServiceState::waitForChange(TimePoint deadline)
{
    return m_change.wait(deadline);
}

void ServiceState::notify()
{
    m_change.notify();
}

} // namespace waxwing
