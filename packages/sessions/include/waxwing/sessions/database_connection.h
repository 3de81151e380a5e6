#pragma once

#include <waxwing/coordination/connection_state.h>
#include <waxwing/platform/line_reader.h>
#include <waxwing/platform/reply_reader.h>
#include <waxwing/protocol/pool_reply.h>
#include <waxwing/sessions/deadline_timer.h>
#include <waxwing/support/time.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace waxwing
{

/// @brief One connection to a database.
class DatabaseConnection
{
public:
    /// Database to connect to.
    struct Target
    {
        std::string address; ///< IP:port
        std::string service;
        std::string database; ///< id that the database has to confirm
        std::string caller; ///< name of this process
        std::string workspace; ///< to which the database attributes what runs on the connection; empty for this process
    };

    enum class OpenResult {
        Open,
        Refused, ///< nothing listens there
        Silent, ///< no answer in time, or the connection was lost
        WrongInstance, ///< another database answers there
        Full, ///< the database accepts no more connections
    };

    enum class RunStatus {
        Complete,
        NotSent, ///< the connection had already ended; nothing was sent
        Lost, ///< the connection was lost; the commands may have run
        TimedOut, ///< no answer before the deadline; the commands may have run
    };

    /// Result of one call of run().
    struct RunResult
    {
        RunStatus status = RunStatus::Complete;
        std::vector<PoolReply> replies; ///< in the order of the commands; all of them if the status is Complete
    };

    explicit DatabaseConnection(const boost::asio::any_io_executor &executor);
    ~DatabaseConnection();
    DatabaseConnection(const DatabaseConnection &) = delete;
    DatabaseConnection &operator=(const DatabaseConnection &) = delete;

    /// @brief Workspace for which the connection was opened; empty if it belongs to none.
    const std::string &workspace() const
    {
        return m_workspace;
    }

    /// @brief Connects and starts a session.
    boost::asio::awaitable<OpenResult> open(Target target, TimePoint deadline);

    /// @brief Sends commands in one write and reads their answers. The connection is closed unless all answers arrive.
    /// @param bytes encoded commands
    /// @param commands number of commands
    boost::asio::awaitable<RunResult> run(std::string bytes, std::size_t commands, TimePoint deadline);

    /// @brief Closes the connection; a pending run() ends with Lost.
    void close();

    bool isOpen() const
    {
        return m_open;
    }

    /// @brief Number of the connection, which no other one of this process has; for the log.
    std::uint64_t number() const
    {
        return m_number;
    }

    /// @brief Values and prepared statements of the connection.
    ConnectionState &state()
    {
        return m_state;
    }

    /// @brief Time at which the pool last handed out the connection; set by the pool.
    TimePoint handedOutAt;

    /// @brief State of the transaction according to the last answer.
    TransactionState transaction() const
    {
        return m_transaction;
    }

private:
    bool hasEnded();
    void startTimer(TimePoint deadline);
    boost::asio::awaitable<bool> readReply(PoolReply &reply);

    boost::asio::ip::tcp::socket m_socket;
    std::string m_workspace; ///< see workspace()
    DeadlineTimer m_timer;
    platform::LineReader m_lines;
    platform::ReplyReader m_replies;
    ConnectionState m_state;
    std::uint64_t m_number;
    TransactionState m_transaction = TransactionState::Idle;
    bool m_open = false;
    bool m_started = false; ///< the database has accepted the start
    bool m_timedOut = false;
};

} // namespace waxwing
