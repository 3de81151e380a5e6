#pragma once

#include <waxwing/coordination/session_state.h>
#include <waxwing/platform/line_reader.h>
#include <waxwing/protocol/session_request.h>
#include <waxwing/protocol/transaction_state.h>
#include <waxwing/sessions/deadline_timer.h>
#include <waxwing/sessions/session_directory.h>
#include <waxwing/sessions/session_transaction.h>
#include <waxwing/sessions/statement_backend.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace waxwing
{

/// @brief One caller's connection, which is one session, from its start to its end.
class ClientSession
{
public:
    /// @param socket accepted connection
    /// @param directory outlives the session
    /// @param backend outlives the session
    ClientSession(boost::asio::ip::tcp::socket socket, SessionDirectory &directory, StatementBackend &backend);
    ClientSession(const ClientSession &) = delete;
    ClientSession &operator=(const ClientSession &) = delete;

    /// @brief Serves the caller until the connection ends.
    boost::asio::awaitable<void> serve();

    /// @brief Closes the connection if nothing is open or outstanding; used before a planned stop.
    /// @return true if it was closed
    bool closeIfIdle();

    /// @brief Rolls an open transaction back, so that its next statement is refused; used before a planned stop.
    void abortTransaction(std::string_view reason);

    /// @brief Tells whether a request of the caller waits for its answer.
    bool isHandling() const
    {
        return m_handling;
    }

private:
    /// The present transaction.
    struct Transaction
    {
        PoolRoute route; ///< as it was when the transaction began
        bool readOnly = false;
        bool writes = false; ///< a statement that writes was sent
        SessionTransaction begun; ///< by its first statement
        std::string failure; ///< why it failed; for the caller's next statement
    };

    boost::asio::awaitable<bool> readLine(std::string &line);
    boost::asio::awaitable<bool> send(std::string bytes);
    boost::asio::awaitable<std::string> handle(SessionRequest request);
    boost::asio::awaitable<std::string> start(std::string database);
    boost::asio::awaitable<std::string> handleStatement(SessionStatement statement);
    boost::asio::awaitable<std::string> handleFailed(const SessionStatement &statement);
    std::string keep(const SessionStatement &statement);
    std::string begin(bool readOnly);
    std::string refuseStart();
    std::string rollback();
    boost::asio::awaitable<std::string> commit(SessionStatement statement);
    boost::asio::awaitable<std::string> runSingle(SessionStatement statement);
    boost::asio::awaitable<std::string> runInTransaction(SessionStatement statement);
    boost::asio::awaitable<std::string> beginWith(SessionStatement statement, bool commits);
    std::optional<SessionJob> makeJob(const SessionStatement &statement, const PoolRoute &route) const;
    const PoolRoute *route() const;
    std::string failTransaction(SessionError error, std::string_view text);
    void dropTransaction();
    void noteCommit(const std::string &service, const StatementResult &result);
    std::string logUnknown(const SessionStatement &statement, const PoolRoute &route, const std::string &text, std::string answer) const;

    boost::asio::ip::tcp::socket m_socket;
    DeadlineTimer m_timer;
    SessionDirectory &m_directory;
    StatementBackend &m_backend;
    platform::LineReader m_lines;
    SessionState m_state;
    std::string m_database; ///< empty before the start
    std::string m_requestId; ///< of the present or last statement
    TransactionState m_transactionState = TransactionState::Idle;
    Transaction m_transaction;
    TimePoint m_acceptedAt = Clock::now();
    TimePoint m_receivedAt; ///< last bytes of the caller
    bool m_handling = false;
    bool m_ended = false;
};

} // namespace waxwing
