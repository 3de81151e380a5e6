#pragma once

#include <waxwing/coordination/fair_queue_tags.h>
#include <waxwing/coordination/session_state.h>
#include <waxwing/sessions/connection_assignment.h>
#include <waxwing/sessions/database_connection.h>
#include <waxwing/support/back_off.h>
#include <waxwing/support/time.h>
#include <waxwing/wire/sessions.pb.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <cstddef>
#include <list>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace waxwing
{

/// @brief Pool of connections to one database, with a queue of statements that wait for a connection. Not thread-safe.
class DatabasePool : public std::enable_shared_from_this<DatabasePool> // sessions may still hold a connection when the directory removes the pool
{
public:
    struct Options
    {
        std::string caller; ///< name of this process
        /// A draining database gets new statements for this long after this proxy learned of it.
        Duration drainLimit = 7s;
        std::size_t limit = 2; ///< maximum number of connections
        std::size_t share = 2; ///< connections that stay open while idle; those beyond it serve load peaks
        Duration surplusIdleTimeout = 1s; ///< a connection beyond the share is closed after being idle for this long
        Duration connectTimeout = 1s; ///< connecting takes 12 to 27 ms of a slot and up to two round trips of 40 ms
        Duration fullRetryDelay = 250ms; ///< after the database refused a connection because it has too many; doubled with each further refusal, and spread
        Duration maxFullRetryDelay = 2s;
        Duration failureRetryDelay = 150ms; ///< after a failed attempt to connect; doubled with each further failure
        Duration maxFailureRetryDelay = 1s;
    };

    using ConnectionPointer = std::unique_ptr<DatabaseConnection>;

    DatabasePool(const boost::asio::any_io_executor &executor, const wire::PoolMember &member, Options options);
    ~DatabasePool();

    /// @brief Takes a connection. Statements wait in order of rank, then by turns of their workspaces, then arrival.
    /// @param session the idle connection whose state is closest to this session's is preferred
    /// @param workspace the database attributes what runs on the connection to it; nothing for commands that belong to none
    /// @param rank lower ranks are served first, see SessionJob::rank()
    /// @return null if no connection became free before the deadline, or the database can't be reached
    boost::asio::awaitable<ConnectionPointer> acquire(const SessionState &session, std::optional<std::string> workspace, int rank, TimePoint deadline);

    /// @brief Returns a connection that was taken with acquire(); a closed connection is discarded.
    void release(ConnectionPointer connection);

    /// @brief Applies the directory entry of the database.
    void update(const wire::PoolMember &member, TimePoint now);

    /// @brief Changes the number of connections.
    /// @param share number of connections that stay open while idle
    /// @param limit maximum number of connections; with 0, waiting statements get none
    /// @param proxies number of proxies that open connections to the database; while it is full, each attempts as often as their number
    /// allows
    void setLimits(std::size_t share, std::size_t limit, std::size_t proxies);

    /// @brief Returns the bound of the mean pause after a database refused a connection because it has too many: the fewer proxies attempt,
    /// the sooner each of them gets a connection once the database has room.
    /// @param proxies number of proxies that open connections to the database
    static Duration longestFullPause(std::size_t proxies, Duration maximum);

    /// @brief Closes connections beyond the share that have been idle for too long.
    void closeSurplus(TimePoint now);

    /// @brief Records whether the database lacked a required position.
    void recordLag(bool lagging, TimePoint now);

    /// @brief Tells whether the database probably still lacks the required positions.
    bool isLagging(TimePoint now) const
    {
        return now < m_laggingUntil;
    }

    /// @brief Opens connections ahead of their use.
    /// @param count number of connections that should be open
    void warm(std::size_t count);

    /// @brief Wakes all waiting statements without a connection.
    void endWaits();

    /// @brief Closes the connections that are in use, which ends the running statements immediately.
    void interrupt();

    /// @brief Closes all idle connections; acquire() returns null from now on.
    void close();

    /// @brief Records that commands were sent. Each call is followed by one of recordReply() or recordNoReply().
    void recordSent(TimePoint now);

    /// @brief Records that the commands of an exchange were answered.
    void recordReply(TimePoint now);

    /// @brief Records the reply time of a statement.
    void recordReplyTime(Duration took, TimePoint now);

    /// @brief Expected time until a connection is free. While no connection is returned for longer than usual, this is expected to go on
    /// for as long again.
    /// @param rank rank of the statement; it is queued ahead of statements with a higher rank
    Duration expectedWait(int rank, TimePoint now) const;

    /// @brief Expected time from sending a statement to its answer. The weight of the measurements decays with their age.
    /// @param base expected time without a measurement
    Duration expectedReply(Duration base, TimePoint now) const;

    /// @brief Reply time according to the measurements, whatever their age; nothing before the first one.
    std::optional<Duration> measuredReply() const
    {
        return m_replyTime == Duration::zero() ? std::nullopt : std::optional(m_replyTime);
    }

    /// @brief Age of the latest measurement of the reply time.
    Duration measurementAge(TimePoint now) const
    {
        return now - m_replyTimeAt;
    }

    /// @brief Number of exchanges that were sent since the latest measurement of the reply time and are not answered yet.
    std::size_t sentSinceMeasurement() const
    {
        return std::min(m_sentSinceMeasurement, m_pendingExchanges);
    }

    /// @brief Records that the commands of an exchange got no answer.
    void recordNoReply(TimePoint now);

    /// @brief Tells whether the database recently failed to answer or to accept a connection and should be avoided.
    bool isSuspect(TimePoint now) const
    {
        return now < m_avoidUntil;
    }

    /// @brief Tells whether the database is unresponsive: statements have been waiting for longer than the limit without any answer,
    /// or several connections were lost or refused.
    bool isSilent(TimePoint now, Duration limit) const;

    /// @brief Tells whether the database has been draining for longer than the drain limit, so that it gets no new statements.
    bool isPastDrainLimit(TimePoint now) const
    {
        return m_member.draining() && now - m_drainingSince >= m_options.drainLimit;
    }

    /// @brief Number of statements that wait for a connection.
    std::size_t waiting() const
    {
        return m_waiting.size();
    }

    /// @brief Number of connections in use.
    std::size_t busy() const
    {
        return m_busy;
    }

    /// @brief Number of statements that hold or wait for a connection.
    std::size_t load() const
    {
        return m_busy + m_waiting.size();
    }

    const wire::PoolMember &member() const
    {
        return m_member;
    }

    const boost::asio::any_io_executor &executor() const
    {
        return m_executor;
    }

    bool isClosed() const
    {
        return m_closed;
    }

    /// @brief Tells whether the database lacked the required position several times in a row, including the last time.
    bool isPersistentlyLagging() const;

    /// @brief State of the pool for a log line: open, idle and used connections, waiting statements.
    std::string describe() const;

    /// @brief Consecutive failed attempts to reach the database.
    unsigned failures() const
    {
        return m_failures;
    }

private:
    struct Waiter
    {
        int rank = 0;
        std::uint64_t tag = 0; ///< see FairQueueTags
        std::optional<std::string> workspace;
        const SessionState *session = nullptr;
        boost::asio::steady_timer signal;
        ConnectionPointer connection;
        bool failed = false;
    };

    struct Idle
    {
        ConnectionPointer connection;
        TimePoint since;
    };

    ConnectionPointer takeIdle(const SessionState &session, const std::optional<std::string> &workspace);
    void removeEndedIdle();
    std::vector<connection_assignment::Waiting> describeWaiting() const;
    /// Chooses the waiting statement for a connection that was just returned.
    std::list<Waiter *>::iterator chooseWaiter(const DatabaseConnection &connection);
    /// Closes an idle connection of another workspace.
    bool evictIdle(std::string_view workspace);
    std::size_t maxOpening() const;
    void open(std::string workspace);
    ConnectionPointer handOut(ConnectionPointer connection);
    void openMore();
    /// Opens connections for waiting statements as soon as the pause after a failure ends.
    void openAfterPause();
    boost::asio::awaitable<void> openOne(std::string workspace);
    void recordOpenFailure(DatabaseConnection::OpenResult result, TimePoint now);

    boost::asio::any_io_executor m_executor;
    wire::PoolMember m_member;
    Options m_options;
    std::vector<Idle> m_idle;
    std::list<Waiter *> m_waiting; ///< by rank, then tag, then arrival
    FairQueueTags m_tags;
    std::string m_lastWorkspace; ///< of the statement that was accepted last
    std::size_t m_count = 0; ///< connections that are open or being opened
    std::vector<std::string> m_opening; ///< workspaces for which connections are being opened
    std::size_t m_busy = 0;
    std::set<DatabaseConnection *> m_inUse; ///< connections handed out by acquire()
    std::size_t m_warmConnections = 0;
    std::size_t m_pendingExchanges = 0; ///< exchanges without an answer yet
    TimePoint m_exchangesPendingSince; ///< at least one exchange has been waiting since then
    TimePoint m_lastReply;
    Duration m_replyTime {}; ///< moving average; zero before the first measurement
    TimePoint m_replyTimeAt;
    std::size_t m_sentSinceMeasurement = 0; ///< exchanges, including those that were answered without a measurement
    Duration m_holdTime {}; ///< moving average of the time for which a connection is in use
    TimePoint m_lastHandOut; ///< time at which acquire() last returned a connection
    TimePoint m_avoidUntil;
    TimePoint m_laggingUntil;
    unsigned m_consecutiveLags = 0;
    TimePoint m_drainingSince; ///< set while the member drains
    TimePoint m_openAfter; ///< no connection is opened before this time
    TimePoint m_nextFullLog;
    TimePoint m_evictedAt; ///< an idle connection was last closed to make room for one of another workspace
    unsigned m_failures = 0;
    bool m_closed = false;
    Duration m_longestFullPause; ///< mean of the pauses while the database is full
    bool m_full = false; ///< the last attempt was refused because the database has too many connections
    bool m_pauseTimed = false; ///< m_pauseEnd is waited for
    boost::asio::steady_timer m_pauseEnd;
    BackOff m_fullPauses; ///< after refusals because the database has too many connections
};

} // namespace waxwing
