#pragma once

#include <waxwing/coordination/commit_tracker.h>
#include <waxwing/coordination/position_history.h>
#include <waxwing/sessions/change_signal.h>
#include <waxwing/sessions/database_pool.h>
#include <waxwing/sessions/interruption.h>
#include <waxwing/sessions/statement_holder.h>
#include <waxwing/support/time.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace waxwing
{

/// @brief State of one service as known to this proxy: epoch, primary, databases, positions and holders of connections.
class ServiceState
{
public:
    /// Pools are shared with sessions, which may still hold a connection when the directory removes a database.
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

    /// @brief Sets the epoch and primary from the directory; an earlier epoch is ignored. Positions of earlier epochs are kept:
    /// whatever was acknowledged before they were requested is part of every later log up to these positions.
    /// @param primary id of the primary, empty while it is being replaced
    void setPrimary(std::uint64_t epoch, std::string_view primary);

    /// @brief Pool of the primary; null while the primary is unknown.
    PoolPointer primary() const;

    /// @brief Tells whether the directory names a primary.
    bool hasPrimary() const
    {
        return !m_primary.empty();
    }

    /// @brief Change of primary, from the first sign of it until the directory names the next primary.
    Interruption &primaryChange()
    {
        return m_primaryChange;
    }

    const Interruption &primaryChange() const
    {
        return m_primaryChange;
    }

    /// @brief Pools by database id.
    std::map<std::string, PoolPointer, std::less<>> &pools()
    {
        return m_pools;
    }

    const std::map<std::string, PoolPointer, std::less<>> &pools() const
    {
        return m_pools;
    }

    /// @brief Positions reported by databases that were proven to be the primary at that time, usually by a valid lease.
    PositionHistory &history()
    {
        return m_history;
    }

    const PositionHistory &history() const
    {
        return m_history;
    }

    /// @brief Sets which proxies hold connections to the databases.
    /// @param holders empty if every proxy holds its share of the connections
    /// @param proxy name of this proxy
    void setHolders(std::vector<StatementHolder> holders, std::string_view proxy);

    /// @brief Makes this proxy hold no connections until setHolders() is called.
    void awaitHolders()
    {
        m_awaitsHolders = true;
    }

    /// @brief Tells whether every proxy holds its share of the connections.
    bool isShared() const
    {
        return m_holders.empty() && !m_awaitsHolders;
    }

    /// @brief Proxies that hold connections and run the statements of the others; empty if every proxy holds its share.
    const std::vector<StatementHolder> &holders() const
    {
        return m_holders;
    }

    /// @brief Number of connections to each database that this proxy may open as a holder; 0 if it is none.
    std::size_t heldConnections() const
    {
        return m_heldConnections;
    }

    /// @brief Tells whether this proxy runs statements on its own connections instead of forwarding them.
    bool holdsConnections() const
    {
        return isShared() || m_heldConnections != 0;
    }

    /// @brief Commits that this proxy has sent to the primary.
    CommitTracker &commits()
    {
        return m_commits;
    }

    const CommitTracker &commits() const
    {
        return m_commits;
    }

    /// @brief Records that a write was sent to the primary.
    void recordWriteSent(TimePoint now);

    /// @brief Records that a write has ended.
    /// @param answered whether the primary answered, also with an error
    void recordWriteEnded(bool answered, TimePoint now);

    /// @brief Tells whether writes have been waiting for longer than the limit without any answer.
    bool isStalled(TimePoint now, Duration limit) const
    {
        return m_pendingWrites > 0 && std::max(m_writesPendingSince, m_lastAnsweredWrite) + limit < now;
    }

    /// @brief Tells whether all replicas lag too far to serve reads, so that the primary serves all of them.
    bool isPrimaryAlone() const;

    /// @brief Waits for a change of primary, members, lease or configuration. May return early; check the condition again.
    boost::asio::awaitable<void> waitForChange(TimePoint deadline);

    /// @brief Wakes all callers of waitForChange().
    void notify();

private:
    std::string m_name;
    std::uint64_t m_epoch = 0;
    std::string m_primary;
    Interruption m_primaryChange;
    std::map<std::string, PoolPointer, std::less<>> m_pools;
    std::vector<StatementHolder> m_holders;
    std::size_t m_heldConnections = 0;
    bool m_awaitsHolders = false;
    PositionHistory m_history;
    CommitTracker m_commits;
    std::size_t m_pendingWrites = 0;
    TimePoint m_writesPendingSince;
    TimePoint m_lastAnsweredWrite;
    ChangeSignal m_change;
};

} // namespace waxwing
