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

/// @brief Runs statements where the connections are: on this proxy, or at a proxy that holds them. One thread.
class StatementBackend
{
public:
    StatementBackend(SessionDirectory &directory, StatementPath &path, StatementForwarder &forwarder);

    /// @brief Runs a single statement, or begins a transaction with its first statement.
    /// @param transaction is set if the statement began one that goes on
    boost::asio::awaitable<StatementResult> run(const SessionJob &job, SessionTransaction &transaction);

    /// @brief Runs a further statement of a transaction; after an error the transaction has ended.
    boost::asio::awaitable<StatementResult> runIn(SessionTransaction &transaction, const SessionJob &job);

    /// @brief Commits a transaction, which has ended afterwards.
    boost::asio::awaitable<StatementResult> commit(SessionTransaction &transaction, const SessionJob &job);

    /// @brief Rolls a transaction back, if one is open.
    void drop(SessionTransaction &transaction);

    /// @brief Tells whether statements that can't be sent at once are refused, since the process stops.
    bool isStopping() const
    {
        return m_path.isStopping();
    }

    SessionDirectory &directory()
    {
        return m_directory;
    }

private:
    boost::asio::awaitable<StatementResult> forward(const SessionJob &job, ServiceState &service, SessionTransaction &transaction);
    boost::asio::awaitable<StatementResult> continueAtHolder(ForwardedTransaction open, const SessionJob &job, wire::PoolForward::Kind kind);
    StatementResult judgeSilence(const SessionJob &job, const StatementHolder &holder, std::uint64_t number);
    StatementResult refuse(const SessionJob &job, std::string_view reason, std::size_t tried) const;
    std::uint32_t idleMilliseconds() const;

    SessionDirectory &m_directory;
    StatementPath &m_path;
    StatementForwarder &m_forwarder;
};

} // namespace waxwing
