#pragma once

#include <waxwing/sessions/database_pool.h>
#include <waxwing/sessions/session_directory.h>
#include <waxwing/sessions/session_job.h>
#include <waxwing/sessions/statement_result.h>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace waxwing
{

/// @brief Transaction on a connection of this proxy; it holds the connection until it ends. Not thread-safe.
class OpenTransaction
{
public:
    /// @param pool pool of the connection; shared, see DatabasePool
    /// @param epoch epoch of the service when the transaction began
    /// @param writes whether its first statement writes
    OpenTransaction(std::shared_ptr<DatabasePool> pool, DatabasePool::ConnectionPointer connection, std::uint64_t epoch, bool writes);
    /// Rolls back the transaction unless it has ended.
    ~OpenTransaction();
    OpenTransaction(const OpenTransaction &) = delete;
    OpenTransaction &operator=(const OpenTransaction &) = delete;

    /// @brief Runs another statement. An error ends the transaction.
    boost::asio::awaitable<StatementResult> run(const SessionJob &job);

    /// @brief Commits and ends the transaction.
    /// @param directory provides the lease, which decides whether the commit may be acknowledged
    boost::asio::awaitable<StatementResult> commit(const SessionJob &job, SessionDirectory &directory);

    /// @brief Id of the database that runs the transaction.
    const std::string &database() const
    {
        return m_pool->member().id();
    }

private:
    void end(TransactionState state);
    StatementResult result(TimePoint sentAt, const SessionJob &job) const;

    std::shared_ptr<DatabasePool> m_pool; // shared, see DatabasePool
    DatabasePool::ConnectionPointer m_connection; ///< null once the transaction has ended
    std::uint64_t m_epoch;
    bool m_writes;
};

} // namespace waxwing
