#pragma once

#include <waxwing/coordination/position_history.h>
#include <waxwing/sessions/database_pool.h>
#include <waxwing/sessions/statement_holder.h>
#include <waxwing/support/time.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace waxwing
{

/// @brief One service as this proxy knows it: its epoch, its primary, its databases and their positions.
class ServiceState
{
public:
    /// Pools are shared with sessions, which may hold a connection when the directory drops a database.
    using PoolPointer = std::shared_ptr<DatabasePool>;

    ServiceState(const boost::asio::any_io_executor &executor, std::string name);

    const std::string &name() const
    {
        return m_name;
    }

    std::uint64_t epoch() const
    {
        return m_epoch;
    }

    /// @brief Takes over the epoch and primary of the directory. Positions of earlier epochs stay: what was acknowledged
    /// before they were asked for is part of every later log up to them.
    /// @param primary id of the primary, empty while it is being replaced
    void setPrimary(std::uint64_t epoch, std::string_view primary);

    /// @brief Pool of the primary; null while it is not known.
    PoolPointer primary() const;

    /// @brief Pools by database id.
    std::map<std::string, PoolPointer, std::less<>> &pools()
    {
        return m_pools;
    }

    const std::map<std::string, PoolPointer, std::less<>> &pools() const
    {
        return m_pools;
    }

    /// @brief Positions that primaries reported under a valid lease.
    PositionHistory &history()
    {
        return m_history;
    }

    const PositionHistory &history() const
    {
        return m_history;
    }

    /// @brief Takes over which proxies hold connections to the databases.
    /// @param holders empty while every proxy holds its share
    /// @param proxy name of this proxy
    void setHolders(std::vector<StatementHolder> holders, std::string_view proxy);

    /// @brief Holds no connections until the holders are known.
    void awaitHolders()
    {
        m_awaitsHolders = true;
    }

    /// @brief Tells whether every proxy holds its share of the connections.
    bool isShared() const
    {
        return m_holders.empty() && !m_awaitsHolders;
    }

    /// @brief Proxies that run the statements of those that hold no connections; empty while every proxy holds its share.
    const std::vector<StatementHolder> &holders() const
    {
        return m_holders;
    }

    /// @brief Connections to each database that this proxy may hold as one of the holders.
    std::size_t heldConnections() const
    {
        return m_heldConnections;
    }

    /// @brief Tells whether this proxy runs statements on connections of its own.
    bool holdsConnections() const
    {
        return isShared() || m_heldConnections != 0;
    }

    /// @brief Takes note that a caller was told about a commit.
    void recordAcknowledged(const TermPosition &position, TimePoint now);

    /// @brief Last commit that a caller was told about.
    const TermPosition &acknowledged() const
    {
        return m_acknowledged;
    }

    /// @brief Takes note that a write was sent to the primary.
    void recordWriteSent(TimePoint now);

    /// @brief Takes note that a write has ended, whatever the answer.
    void recordWriteEnded(bool answered, TimePoint now);

    /// @brief Tells whether writes have been waiting for an answer for longer than a time, without any answer meanwhile.
    bool isStalled(TimePoint now, Duration limit) const
    {
        return m_writes > 0 && std::max(m_writesSince, m_lastWrite) + limit < now;
    }

    /// @brief Tells whether every replica lags too far to serve reads, so that the primary serves alone.
    bool isPrimaryAlone() const;

    /// @brief Waits until something changes: primary, members, lease.
    boost::asio::awaitable<void> changed(TimePoint deadline);

    /// @brief Wakes all that wait for a change.
    void notify();

private:
    boost::asio::any_io_executor m_executor;
    std::string m_name;
    std::uint64_t m_epoch = 0;
    std::string m_primary;
    std::map<std::string, PoolPointer, std::less<>> m_pools;
    std::vector<StatementHolder> m_holders;
    std::size_t m_heldConnections = 0;
    bool m_awaitsHolders = false;
    PositionHistory m_history;
    TermPosition m_acknowledged;
    std::size_t m_writes = 0;
    TimePoint m_writesSince;
    TimePoint m_lastWrite;
    // Shared with the waiting coroutines: a new signal takes its place before the old one is cancelled.
    std::shared_ptr<boost::asio::steady_timer> m_signal;
};

} // namespace waxwing
