#pragma once

#include <waxwing/coordination/session_state.h>
#include <waxwing/platform/line_reader.h>
#include <waxwing/protocol/session_error.h>
#include <waxwing/protocol/session_request.h>
#include <waxwing/protocol/transaction_state.h>
#include <waxwing/sessions/deadline_timer.h>
#include <waxwing/sessions/session_directory.h>
#include <waxwing/sessions/session_resources.h>
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

/// @brief Session of one caller; it lives as long as the caller's connection.
class ClientSession
{
public:
    /// @param socket accepted connection
    /// @param directory outlives the session
    /// @param backend outlives the session
    /// @param resources shared by all sessions
    /// @param address IP address of the client
    ClientSession(boost::asio::ip::tcp::socket socket, SessionDirectory &directory, StatementBackend &backend, std::shared_ptr<SessionResources> resources,
                  std::string address);
    ClientSession(const ClientSession &) = delete;
    ClientSession &operator=(const ClientSession &) = delete;

    /// @brief Serves the caller until the connection ends.
    boost::asio::awaitable<void> serve();

    /// @brief Closes the connection if it has no open transaction and no outstanding request; used by a planned stop. A request that
    /// arrives before the connection is closed is answered, and the connection stays open.
    void closeIfIdle();

    /// @brief Closes the connection because the client exceeds a limit, whatever it waits for.
    /// @param reason label of the counter of closed clients
    void close(std::string_view reason);

    /// @brief Time of the connection's acceptance if its first message has not arrived yet.
    std::optional<TimePoint> awaitsFirstMessageSince() const
    {
        return m_hasStarted || m_closed ? std::nullopt : std::optional(m_acceptedAt);
    }

    /// @brief Memory that the client makes the process hold.
    const MemoryBudget::Account &account() const
    {
        return m_account;
    }

    /// @brief Rolls back the open transaction unless a request is outstanding; its next statement is refused. Used by a planned
    /// stop and when a transaction is idle for too long.
    /// @param reason is sent to the caller with the refusal
    void abortTransaction(std::string_view reason);

    /// @brief Tells whether the caller waits for the answer to a request.
    bool hasOutstandingRequest() const
    {
        return m_requestOutstanding;
    }

private:
    /// Workspace on whose behalf a statement runs.
    struct Caller
    {
        std::string workspace; ///< empty if the deployment has none, or the route is public and the key unknown
        int priority = 0;
        bool hasRateLimit = false;
    };

    /// What the configuration in force lets the session use.
    struct Access
    {
        const PoolRoute *route = nullptr; ///< null if the session's name has none
        bool isAuthorized = false;
        Caller caller;

        explicit operator bool() const
        {
            return route != nullptr && isAuthorized;
        }
    };

    /// Current transaction of the session.
    struct Transaction
    {
        PoolRoute route; ///< at the begin of the transaction; later configurations do not affect it
        Caller caller; ///< at the begin of the transaction; it ends with the caller's key
        bool readOnly = false;
        bool writes = false; ///< a writing statement was sent
        SessionTransaction begun; ///< empty until the first statement has run
        std::string failure; ///< reason for an abort between two statements; sent as the answer to the next one
    };

    bool isIdle() const;
    boost::asio::awaitable<bool> readLine(std::string &line);
    void recordBuffer();
    /// Starts the limit on the time that the message in progress takes.
    void limitMessageTime();
    /// Waits until more of the message may be read, or drops the message; false if the connection was closed.
    boost::asio::awaitable<bool> awaitReadMemory();
    /// Waits until a complete message may run; false if memory stays short.
    boost::asio::awaitable<bool> awaitRunMemory(MemoryBudget::Reservation &running, std::size_t length);
    boost::asio::awaitable<std::string> answerMessage(std::string line);
    std::string refuseForMemory();
    boost::asio::awaitable<bool> send(std::string bytes);
    boost::asio::awaitable<std::string> handle(SessionRequest request);
    boost::asio::awaitable<std::string> start(std::string database, std::string key);
    boost::asio::awaitable<std::string> handleStatement(SessionStatement statement);
    boost::asio::awaitable<std::string> handleFailed(const SessionStatement &statement);
    std::string refuseTooLarge(std::string_view text, bool endsTransaction);
    std::string storeInSession(const SessionStatement &statement);
    boost::asio::awaitable<std::string> begin(bool readOnly);
    std::string refuseStart();
    /// Admits an operation within the rate limit of its workspace.
    /// @return the answer if it is refused, otherwise nothing
    boost::asio::awaitable<std::string> admit(Caller caller);
    std::string rollback();
    boost::asio::awaitable<std::string> commit(SessionStatement statement);
    boost::asio::awaitable<std::string> runSingle(SessionStatement statement);
    boost::asio::awaitable<std::string> runInTransaction(SessionStatement statement);
    boost::asio::awaitable<std::string> beginWith(SessionStatement statement, bool commits);
    std::optional<SessionJob> makeJob(const SessionStatement &statement, const PoolRoute &route, const Caller &caller) const;
    Access access() const;
    /// Tells whether the key of the session still belongs to the workspace of its open transaction.
    bool mayContinueTransaction() const;
    /// Time by which a statement that was just received must be answered.
    TimePoint answerLimit(Duration statementTimeout) const;
    /// Waits until the configuration lets the session in, or it is known that the latest one does not.
    boost::asio::awaitable<void> awaitAccess(TimePoint limit);
    /// What to answer while the session has no access.
    struct Refusal
    {
        SessionError error;
        std::string text;
        bool isKeyUnknown = false; ///< there is a route, but no workspace has the key
    };
    Refusal refuseAccess() const;
    std::string failTransaction(SessionError error, std::string_view text);
    void rollBackTransaction();
    void recordCommit(const std::string &service, const StatementResult &result);
    std::string logUnknown(const SessionStatement &statement, const PoolRoute &route, const std::string &text, std::string answer) const;

    std::shared_ptr<SessionResources> m_resources; // outlives the account and its reservations
    std::string m_address;
    MemoryBudget::Account m_account;
    MemoryBudget::Reservation m_buffered;
    MemoryBudget::Reservation m_stored; ///< values and prepared statements of m_state
    boost::asio::ip::tcp::socket m_socket;
    DeadlineTimer m_timer;
    DeadlineTimer m_limitTimer; ///< first message, message in progress, or answer that is not read
    SessionDirectory &m_directory;
    StatementBackend &m_backend;
    platform::LineReader m_lines;
    SessionState m_state;
    std::string m_database; ///< empty before the start of the session
    std::string m_key; ///< API key of the caller; secret
    std::string m_startedWorkspace; ///< workspace of the key at the start of the session
    Duration m_statementTimeout {}; ///< of the latest route of the session
    std::string m_requestId; ///< of the current or most recent statement
    TransactionState m_transactionState = TransactionState::Idle;
    Transaction m_transaction;
    TimePoint m_acceptedAt = Clock::now();
    TimePoint m_receivedAt; ///< time of the last bytes from the caller
    bool m_requestOutstanding = false;
    bool m_closing = false; ///< closeIfIdle() has cancelled the pending read
    bool m_ended = false;
    bool m_hasStarted = false; ///< the first message has arrived
    bool m_messageLimited = false; ///< m_limitTimer limits the message in progress
    bool m_closed = false; ///< close() was called
};

} // namespace waxwing
