#pragma once

#include <waxwing/coordination/connection_state.h>
#include <waxwing/sessions/session_job.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace waxwing
{

class DatabaseConnection;
struct PoolReply;

/// @brief Commands that are sent to a database in one write: what brings the connection to the state of a session, and a statement.
class StatementExchange
{
public:
    /// @param database id of the database, for the log
    StatementExchange(DatabaseConnection &connection, std::string database);

    /// @brief Adds the commands that bring the connection to the state of the session, and records them in the state.
    void addPreparation(const SessionJob &job);

    /// @brief Like addPreparation() for a connection in a transaction of the session.
    void addPreparationInTransaction(const SessionJob &job);

    /// @brief Adds an encoded command.
    void add(std::string_view command);

    /// @brief Text to send for the statement on this connection, which must be prepared for it. Logs which prepared statement it runs.
    std::string text(const SessionJob &job) const;

    /// @brief Logs and counts commands of the preparation that the database refused. The connection then has another state than the
    /// recorded one and must be closed.
    /// @param replies answers in the order of the commands; not all of them if the connection was lost
    /// @return the first refusal, or null if there is none
    const PoolReply *findRefusedPreparation(const SessionJob &job, const std::vector<PoolReply> &replies) const;

    /// @brief Encoded commands.
    const std::string &bytes() const
    {
        return m_bytes;
    }

    /// @brief Number of commands.
    std::size_t commands() const
    {
        return m_commands;
    }

private:
    void addCommands(const SessionJob &job, const ConnectionState::Preparation &preparation);

    ConnectionState &m_state;
    std::uint64_t m_connection; ///< its number, for the log
    std::string m_database;
    std::string m_bytes;
    std::size_t m_commands = 0;
    std::vector<std::string_view> m_preparation; ///< kinds of the commands of the preparation, which come first
};

} // namespace waxwing
