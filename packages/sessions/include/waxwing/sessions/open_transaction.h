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

/// @brief Transaction on a connection of this proxy, which it keeps until its end. One thread.
class OpenTransaction
{
public:
    /// @param pool owner of the connection; shared: see DatabasePool
    /// @param epoch of the service when the transaction began
    /// @param writes its first statement writes
    OpenTransaction(std::shared_ptr<DatabasePool> pool, DatabasePool::ConnectionPointer connection, std::uint64_t epoch, bool writes);
    /// Rolls back what is open.
    ~OpenTransaction();
    OpenTransaction(const OpenTransaction &) = delete;
    OpenTransaction &operator=(const OpenTransaction &) = delete;

    /// @brief Runs a further statement. After an error the transaction has ended.
    boost::asio::awaitable<StatementResult> run(const SessionJob &job);

    /// @brief Commits. Afterwards the transaction has ended.
    /// @param directory tells whether the commit may still be acknowledged
    boost::asio::awaitable<StatementResult> commit(const SessionJob &job, SessionDirectory &directory);

    /// @brief Database that runs it.
    const std::string &database() const
    {
        return m_pool->member().id();
    }

private:
    void end(TransactionState state);
    StatementResult result(TimePoint sentAt, const SessionJob &job) const;

    std::shared_ptr<DatabasePool> m_pool; // shared: see DatabasePool
    DatabasePool::ConnectionPointer m_connection; ///< null after the end
    std::uint64_t m_epoch;
    bool m_writes;
};

} // namespace waxwing
