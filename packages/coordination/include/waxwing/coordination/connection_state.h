#pragma once

#include <waxwing/coordination/session_state.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace waxwing
{

/// @brief Values set and statements prepared on a pooled connection.
///
/// Prepared statements have names of this connection, which are numbers. Callers choose shapes and their own names freely, so that a
/// name made from either could be several fields, or the same for two statements.
class ConnectionState
{
public:
    /// Bounds of what a connection keeps prepared; beyond them everything is discarded before the next statement is prepared.
    struct Options
    {
        std::size_t maxStatements = 256;
        std::size_t maxShapeBytes = 64U << 10;
        // A transaction can't discard what it has prepared before.
        std::size_t maxStatementsInTransaction = 4096;
        std::size_t maxShapeBytesInTransaction = 4U << 20;
    };

    /// @brief Commands that bring a connection into the state of a session.
    struct Preparation
    {
        bool discard = false; ///< first discard all values and prepared statements
        std::vector<std::pair<std::string, std::string>> values; ///< names and values to set
        bool prepare = false; ///< prepare the statement, under the name that nameOf() returns once this was applied
    };

    ConnectionState();
    explicit ConnectionState(const Options &options);

    /// @brief Determines the commands that a connection needs before it can run a statement of a session.
    /// @param statement prepared statement to run, or null if it is not a prepared one
    Preparation compare(const SessionState &session, const SessionState::Prepared *statement) const;

    /// @brief Like compare() for a connection in a transaction of the session: within a session values are only added or changed, so
    /// that nothing has to be discarded.
    Preparation extend(const SessionState &session, const SessionState::Prepared *statement) const;

    /// @brief Tells whether the connection may prepare the statement within a transaction.
    bool hasRoomInTransaction(const SessionState::Prepared &statement) const;

    /// @brief Updates the state after the commands of a preparation were sent.
    void apply(const Preparation &preparation, const SessionState::Prepared *statement);

    /// @brief Name of a statement that is prepared on the connection.
    std::string nameOf(const SessionState::Prepared &statement) const;

    /// @brief Number of commands needed to prepare the connection for a session; used to choose an idle connection.
    std::size_t distance(const SessionState &session) const;

    /// @brief Clears the prepared statements, as a discard does.
    void forgetPrepared();

private:
    bool isFullFor(const SessionState::Prepared &statement) const;

    Options m_options;
    std::map<std::string, std::string> m_values;
    std::map<SessionState::Prepared, std::uint64_t> m_prepared; ///< numbers in their names
    std::size_t m_shapeBytes = 0; ///< of all of m_prepared
    std::uint64_t m_lastNumber = 0; ///< never reused on a connection
};

} // namespace waxwing
