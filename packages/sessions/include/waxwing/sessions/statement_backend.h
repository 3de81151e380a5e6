#pragma once

#include <waxwing/sessions/forwarded_transaction.h>
#include <waxwing/sessions/open_transaction.h>
#include <waxwing/sessions/session_directory.h>
#include <waxwing/sessions/session_transaction.h>
#include <waxwing/sessions/statement_forwarder.h>
#include <waxwing/sessions/statement_path.h>

#include <boost/asio/awaitable.hpp>

#include <set>
#include <string>
#include <string_view>

namespace waxwing
{

/// @brief Runs statements on connections of this proxy, or forwards them to a proxy that holds connections. Not thread-safe.
class StatementBackend
{
public:
    StatementBackend(SessionDirectory &directory, StatementPath &path, StatementForwarder &forwarder);

    /// @brief Runs a single statement, or begins a transaction with its first statement.
    /// @param transaction set if the statement began a transaction that stays open
    boost::asio::awaitable<StatementResult> run(const SessionJob &job, SessionTransaction &transaction);

    /// @brief Runs another statement of a transaction; an error ends the transaction.
    boost::asio::awaitable<StatementResult> runIn(SessionTransaction &transaction, const SessionJob &job);

    /// @brief Commits and ends a transaction.
    boost::asio::awaitable<StatementResult> commit(SessionTransaction &transaction, const SessionJob &job);

    /// @brief Rolls back a transaction if it is open.
    void rollBack(SessionTransaction &transaction);

    /// @brief Tells whether the process is stopping, so that statements which can't be sent immediately are refused.
    bool isStopping() const
    {
        return m_path.isStopping();
    }

    /// @brief Returns the deadline of a statement, or the time at which the planned stop interrupts it if that is earlier.
    TimePoint limitDeadline(TimePoint deadline) const
    {
        return m_path.limitDeadline(deadline);
    }

    SessionDirectory &directory()
    {
        return m_directory;
    }

private:
    /// Tells whether the statement runs on connections of this proxy. A holder without a lease forwards those that require one.
    bool runsHere(const SessionJob &job, const ServiceState &service) const;
    /// @return marked as declined if the statement is to run on connections of this proxy; no holder got it, or all of those declined
    boost::asio::awaitable<StatementResult> forward(const SessionJob &job, ServiceState &service, SessionTransaction &transaction);
    boost::asio::awaitable<StatementResult> continueAtHolder(ForwardedTransaction open, const SessionJob &job, wire::PoolForward::Kind kind);
    /// Tells whether a holder without a lease is expected to have one in the time of the statement.
    bool mayWaitForLease(const ServiceState &service, const SessionJob &job, TimePoint now) const;
    StatementResult handleNoAnswer(const SessionJob &job, const StatementHolder &holder, std::uint64_t number);
    /// @param expected expected time until the statement can be served
    /// @param mayHaveRun whether a holder got the statement and did not answer
    StatementResult refuse(const SessionJob &job, std::string_view reason, std::size_t tried, Duration expected, bool mayHaveRun);
    std::uint32_t idleMilliseconds() const;

    SessionDirectory &m_directory;
    StatementPath &m_path;
    StatementForwarder &m_forwarder;
};

} // namespace waxwing
