#pragma once

#include <waxwing/coordination/session_state.h>
#include <waxwing/sessions/database_connection.h>
#include <waxwing/support/time.h>
#include <waxwing/wire/sessions.pb.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <list>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace waxwing
{

/// @brief Connections of this proxy to one database, and the statements that wait for one. One thread.
class DatabasePool : public std::enable_shared_from_this<DatabasePool> // sessions may hold a connection when the directory drops the pool
{
public:
    struct Options
    {
        std::string caller; ///< name of this process
        /// A database that leaves takes new statements for this long after it is known here.
        Duration drainLimit = 7s;
        std::size_t limit = 2; ///< largest number of connections
        std::size_t share = 2; ///< connections that are kept while idle; the rest is there for a crest
        Duration idleSurplus = 1s; ///< a connection beyond the share is closed after this much idleness
        Duration connectTimeout = 1s; ///< a connection takes 12 to 27 ms of a slot and up to two round trips of 40 ms
        Duration fullPause = 250ms; ///< after the database refused a connection for their number
        Duration failurePause = 150ms; ///< after a failed attempt to connect; doubled up to the next
        Duration failurePauseHigh = 1s;
    };

    /// Returned connection.
    using ConnectionPointer = std::unique_ptr<DatabaseConnection>;

    DatabasePool(const boost::asio::any_io_executor &executor, const wire::PoolMember &member, Options options);
    ~DatabasePool();

    /// @brief Takes a connection; waits in the order of rank and arrival.
    /// @param session chooses an idle connection that fits
    /// @param rank 0 comes first, see SessionJob::rank()
    /// @return null if none was free in time, or the database can't be reached
    boost::asio::awaitable<ConnectionPointer> acquire(const SessionState &session, int rank, TimePoint deadline);

    /// @brief Returns a connection that acquire() gave; one that is closed is dropped.
    void release(ConnectionPointer connection);

    /// @brief Takes over what the directory says.
    void update(const wire::PoolMember &member, TimePoint now);

    /// @brief Changes the number of connections.
    /// @param share kept while idle
    /// @param limit largest number
    void setLimits(std::size_t share, std::size_t limit);

    /// @brief Closes idle connections beyond the share.
    void trim(TimePoint now);

    /// @brief Takes note that the database had not reached a position, or had reached it.
    void recordLag(bool lagging, TimePoint now);

    /// @brief Tells whether the database probably lacks the positions that are asked for.
    bool isLagging(TimePoint now) const
    {
        return now < m_laggingUntil;
    }

    /// @brief Opens connections ahead of their use.
    /// @param count number that should be open
    void warm(std::size_t count);

    /// @brief Ends the waits for a connection; those statements get none.
    void endWaits();

    /// @brief Closes the connections that are in use, so that what they run ends at once.
    void interrupt();

    /// @brief Closes all idle connections and refuses everything from now on.
    void shut();

    /// @brief Takes note that statements were sent.
    void recordSent(TimePoint now);

    /// @brief Takes note of the answer to commands that were sent.
    void recordReply(TimePoint now);

    /// @brief Takes note of how long the answer to a statement took.
    void recordReplyTime(Duration took, TimePoint now);

    /// @brief Expected time until a connection is free.
    /// @param rank rank of the statement; those of higher ones wait behind it
    Duration expectedWait(int rank) const;

    /// @brief Expected time from sending a statement to its answer. What was measured counts less the longer it is ago.
    /// @param base time to expect without a measurement
    Duration expectedReply(Duration base, TimePoint now) const;

    /// @brief Takes note that statements that were sent got no answer.
    void recordNoReply(TimePoint now);

    /// @brief Tells whether the database did not answer lately and should be avoided.
    bool isSuspect(TimePoint now) const
    {
        return now < m_avoidUntil;
    }

    /// @brief Tells whether statements wait for an answer for longer than a time, without any answer meanwhile.
    bool isSilent(TimePoint now, Duration limit) const;

    /// @brief Tells whether the database has been leaving for so long that it takes no new statements.
    bool isClosing(TimePoint now) const
    {
        return m_member.draining() && now - m_drainingSince >= m_options.drainLimit;
    }

    /// @brief Statements that run or wait.
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

    bool isShut() const
    {
        return m_shut;
    }

    /// @brief Tells whether the database lacked positions again and again, most recently just now.
    bool lagsBehind() const;

    /// @brief State for a log line: connections open, idle and in use, statements that wait.
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

    ConnectionPointer takeIdle(const SessionState &session);
    ConnectionPointer hand(ConnectionPointer connection);
    void openMore();
    boost::asio::awaitable<void> openOne();
    void noteOpenFailure(DatabaseConnection::OpenResult result, TimePoint now);

    boost::asio::any_io_executor m_executor;
    wire::PoolMember m_member;
    Options m_options;
    std::vector<Idle> m_idle;
    std::list<Waiter *> m_waiting; ///< by rank, then arrival
    std::size_t m_count = 0; ///< open or opening
    std::size_t m_opening = 0;
    std::size_t m_busy = 0;
    std::set<DatabaseConnection *> m_lent; ///< handed out by acquire()
    std::size_t m_warm = 0;
    std::size_t m_running = 0; ///< exchanges that wait for an answer
    TimePoint m_runningSince; ///< since then at least one exchange has been waiting
    TimePoint m_lastReply;
    Duration m_replyTime {}; ///< moving average, zero before the first
    TimePoint m_replyTimeAt;
    Duration m_holdTime {}; ///< moving average of the time for which a connection is in use
    TimePoint m_avoidUntil;
    TimePoint m_laggingUntil;
    unsigned m_lags = 0; ///< in a row
    TimePoint m_drainingSince; ///< set while the member drains
    TimePoint m_openAfter; ///< no new connection before
    TimePoint m_nextFullLog;
    unsigned m_failures = 0;
    bool m_shut = false;
};

} // namespace waxwing
