#pragma once

#include <waxwing/sessions/session_directory.h>
#include <waxwing/sessions/session_job.h>
#include <waxwing/sessions/statement_result.h>

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace waxwing
{

/// @brief Finds a database for a statement, runs it there, and retries what provably did not run or can be repeated.
class StatementPath
{
public:
    explicit StatementPath(SessionDirectory &directory);

    /// @brief Runs a single statement, or begins a transaction with its first statement.
    boost::asio::awaitable<StatementResult> run(const SessionJob &job);

    /// @brief Refuses from now on what can't be sent at once, including what waits already.
    void stop();

    /// @brief Tells whether stop() was called.
    bool isStopping() const
    {
        return m_stopping;
    }

    /// @brief Statements that were taken so far.
    std::uint64_t statements() const
    {
        return m_statements;
    }

    /// @brief Ends what is open on a connection and returns it; a connection that can't be cleaned is closed.
    /// @param state state that the database reported last
    static boost::asio::awaitable<void> returnClean(std::shared_ptr<DatabasePool> pool, DatabasePool::ConnectionPointer connection, TransactionState state);

private:
    /// Database for one attempt.
    struct Choice
    {
        std::shared_ptr<DatabasePool> pool; ///< null if none can run the statement now
        std::optional<TermPosition> after; ///< position that the database must have reached
        bool primary = false;
        std::uint64_t epoch = 0;
        /// Without a lease the primary itself must show that it leads: a read runs in a transaction that may write.
        bool verifies = false;
        bool crowded = false; ///< without a pool: the queues are too long
    };

    /// What an attempt led to.
    enum class Verdict {
        Finished, ///< the result is final
        Retry, ///< at once, on another database
        RetryLater, ///< after a pause
        AwaitPrimary, ///< the primary has changed
    };

    struct Attempts
    {
        std::set<std::string> avoided; ///< databases that could not run it
        unsigned count = 0;
        bool offered = false; ///< a database was asked
        bool mayBeKept = false; ///< the last attempt may have run something that is kept
        std::string_view lastReason = "no-database";
    };

    Choice choose(const SessionJob &job, const ServiceState &service, const Attempts &attempts) const;
    bool isPrimaryOutOfReach(const SessionJob &job, const ServiceState &service, Attempts &attempts) const;
    Duration expectedTime(const SessionJob &job, const DatabasePool &pool, TimePoint now) const;
    bool isCrowded(const SessionJob &job, const DatabasePool &pool, TimePoint now) const;
    Choice choosePrimary(const ServiceState &service) const;
    std::optional<TermPosition> requiredPosition(const SessionJob &job, const ServiceState &service) const;
    boost::asio::awaitable<Verdict> attempt(const SessionJob &job, ServiceState &service, const Choice &choice, Attempts &attempts, StatementResult &result);
    boost::asio::awaitable<DatabaseConnection::RunResult> exchangeOnce(const SessionJob &job, ServiceState &service, DatabasePool &pool,
                                                                       DatabaseConnection &connection, const std::string &bytes, std::size_t commands,
                                                                       TimePoint limit);
    static Verdict abortBegun(StatementResult &result, std::string_view text);
    Verdict judgeSilence(const SessionJob &job, const Choice &choice, Attempts &attempts, DatabaseConnection::RunStatus status, StatementResult &result) const;
    Verdict judge(const SessionJob &job, ServiceState &service, const Choice &choice, Attempts &attempts, PoolReply &reply, StatementResult &result) const;
    StatementResult giveUp(const SessionJob &job, const ServiceState *service, const Attempts &attempts) const;

    SessionDirectory &m_directory;
    std::uint64_t m_statements = 0;
    bool m_stopping = false;
};

} // namespace waxwing
