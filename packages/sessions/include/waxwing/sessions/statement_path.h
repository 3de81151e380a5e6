#pragma once

#include <waxwing/coordination/load_balancing.h>
#include <waxwing/sessions/interruption.h>
#include <waxwing/sessions/retry_advice.h>
#include <waxwing/sessions/session_directory.h>
#include <waxwing/sessions/session_job.h>
#include <waxwing/sessions/statement_result.h>

#include <boost/asio/awaitable.hpp>

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace waxwing
{

/// @brief Chooses a database for a statement, runs the statement there, and retries statements that provably did not run or
/// are safe to repeat.
class StatementPath
{
public:
    explicit StatementPath(SessionDirectory &directory);

    /// @brief Runs a single statement, or begins a transaction with its first statement.
    boost::asio::awaitable<StatementResult> run(const SessionJob &job);

    /// @brief From now on refuses statements that can't be sent immediately, including those that are already waiting. The first
    /// statement of a transaction may wait, because the transaction was open before.
    void stop();

    /// @brief Tells whether stop() was called.
    bool isStopping() const
    {
        return m_stopping;
    }

    /// @brief Sets the time at which running statements are interrupted by a planned stop.
    void setEnd(TimePoint end)
    {
        m_end = end;
    }

    /// @brief Returns the deadline of a statement, or the time at which the planned stop interrupts it if that is earlier.
    TimePoint limitDeadline(TimePoint deadline) const
    {
        return m_end ? std::min(deadline, *m_end) : deadline;
    }

    /// @brief Tells whether a statement that begins now has the time of its latency target before the planned stop interrupts it.
    bool hasTimeFor(const SessionJob &job) const;

    /// @brief From now on no statement is sent to a database, neither a new one nor one whose attempt was interrupted.
    void interrupt()
    {
        m_interrupted = true;
    }

    /// @brief Tells whether interrupt() was called.
    bool isInterrupted() const
    {
        return m_interrupted;
    }

    /// @brief Advice for callers that are refused.
    RetryAdvice &advice()
    {
        return m_advice;
    }

    /// @brief Number of statements accepted since the start.
    std::uint64_t statements() const
    {
        return m_statements;
    }

    /// @brief Tells whether a proxy without a lease can't run the statement, not even with a proof of the primary that it leads.
    bool requiresLease(const SessionJob &job) const;

    /// @brief Rolls back the open transaction of a connection, if any, and returns the connection to its pool. If the rollback
    /// fails, the connection is closed.
    /// @param state transaction state that the database reported last
    static boost::asio::awaitable<void> resetAndRelease(std::shared_ptr<DatabasePool> pool, DatabasePool::ConnectionPointer connection, TransactionState state);

private:
    /// Database chosen for one attempt.
    struct Choice
    {
        std::shared_ptr<DatabasePool> pool; ///< null if no database can run the statement now
        std::optional<TermPosition> after; ///< position in the log that the database must have reached
        bool primary = false;
        std::uint64_t epoch = 0;
        /// Without a lease a primary that stops when it is replaced has to prove that it leads: the read runs in a read-write
        /// transaction, which a replica refuses.
        bool verifies = false;
        std::string_view refusal; ///< no pool was chosen for this reason, which waiting does not change
    };

    /// Result of an attempt, which decides the next step.
    enum class AttemptOutcome {
        Finished, ///< the result is final
        Retry, ///< retry immediately, on another database
        RetryLater, ///< retry after a delay
        AwaitPrimary, ///< retry after the next change of primary
        GiveUp, ///< no attempt can end in the time left
    };

    struct Attempts
    {
        std::set<std::string> excluded; ///< ids of the databases that could not run the statement
        unsigned count = 0;
        unsigned unusableConnections = 0; ///< whose state was not the recorded one
        bool sent = false; ///< the statement was sent to a database at least once
        std::optional<CommitTracker::Commit> commit; ///< of the attempt, until it is settled
        bool mayHavePersisted = false; ///< the last attempt may have run something that persists
        bool mayHaveRun = false; ///< a statement that persists nothing was sent and not answered
        std::string_view lastReason = "no-database";
    };

    /// Tells whether a statement is refused if it can't be sent immediately.
    bool refusesToWait(const SessionJob &job) const
    {
        return m_stopping && !job.begins;
    }

    Choice choose(const SessionJob &job, const ServiceState &service, const Attempts &attempts);
    bool mayWaitForDirectory(const SessionJob &job, Attempts &attempts) const;
    bool mayWaitForPrimary(const SessionJob &job, ServiceState &service, Attempts &attempts) const;
    bool isPrimaryUnreachable(const SessionJob &job, const ServiceState &service, Attempts &attempts) const;
    Duration expectedTime(const SessionJob &job, const DatabasePool &pool, TimePoint now) const;
    LoadCandidate describe(const SessionJob &job, const DatabasePool &pool, bool isPrimary, TimePoint now) const;
    /// Reason why the statement should not wait for this database: its answer is expected too late. Empty if there is none.
    std::string_view overload(const SessionJob &job, const DatabasePool &pool, TimePoint now) const;
    /// Tells whether the primary may answer the statement under a valid lease only, or has to prove that it leads.
    bool needsLease(const SessionJob &job) const;
    Choice choosePrimary(const ServiceState &service) const;
    std::optional<TermPosition> requiredPosition(const SessionJob &job, const ServiceState &service) const;
    boost::asio::awaitable<AttemptOutcome> attempt(const SessionJob &job, ServiceState &service, const Choice &choice, Attempts &attempts,
                                                   StatementResult &result);
    boost::asio::awaitable<DatabaseConnection::RunResult> exchangeOnce(const SessionJob &job, ServiceState &service, DatabasePool &pool,
                                                                       DatabaseConnection &connection, const std::string &bytes, std::size_t commands,
                                                                       TimePoint limit);
    /// Settles the commit of an attempt that has ended, unless it was acknowledged.
    static void settleCommit(ServiceState &service, Attempts &attempts);
    static AttemptOutcome failBegunTransaction(StatementResult &result, std::string_view text);
    /// @param ran the statement may have run behind the refused preparation
    static AttemptOutcome handleRefusedPreparation(const SessionJob &job, Attempts &attempts, const PoolReply &refused, bool ran, StatementResult &result);
    /// Outcome of an attempt on a connection that was closed because of its state.
    static AttemptOutcome replaceConnection(Attempts &attempts, std::string_view reason);
    AttemptOutcome handleNoReply(const SessionJob &job, const Choice &choice, Attempts &attempts, DatabaseConnection::RunStatus status,
                                 StatementResult &result) const;
    AttemptOutcome evaluateReply(const SessionJob &job, ServiceState &service, const Choice &choice, Attempts &attempts, PoolReply &reply,
                                 StatementResult &result) const;
    StatementResult refuse(const SessionJob &job, const ServiceState *service, const Attempts &attempts);
    /// Expected time until a statement that is refused for this reason can be served.
    Duration expectedTimeToServe(const SessionJob &job, const ServiceState *service, std::string_view reason, TimePoint now) const;

    SessionDirectory &m_directory;
    Interruption m_start; ///< from the start of the process until its directory and lease arrive
    RetryAdvice m_advice;
    LoadBalancing m_balancing;
    std::uint64_t m_statements = 0;
    bool m_stopping = false;
    bool m_interrupted = false;
    std::optional<TimePoint> m_end; ///< see setEnd()
};

} // namespace waxwing
