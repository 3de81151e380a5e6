#pragma once

#include <waxwing/coordination/session_state.h>

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace waxwing
{

/// @brief Values set and statements prepared on a pooled connection.
class ConnectionState
{
public:
    /// @brief Commands that bring a connection into the state of a session.
    struct Preparation
    {
        bool discard = false; ///< first discard all values and prepared statements
        std::vector<std::pair<std::string, std::string>> values; ///< names and values to set
        bool prepare = false; ///< prepare the statement
    };

    /// @brief Name of a prepared statement on connections. It depends only on the statement, not on the session that prepared
    /// it, so that sessions can share connections.
    static std::string sharedName(const SessionState::Prepared &statement);

    /// @brief Determines the commands that a connection needs before it can run a statement of a session.
    /// @param statement prepared statement to run, or null if it is not a prepared one
    Preparation compare(const SessionState &session, const SessionState::Prepared *statement) const;

    /// @brief Updates the state after the commands of a preparation were sent.
    void apply(const Preparation &preparation, const SessionState::Prepared *statement);

    /// @brief Number of commands needed to prepare the connection for a session; used to choose an idle connection.
    std::size_t distance(const SessionState &session) const;

    /// @brief Clears the prepared statements, after the database reported that it does not know one.
    void forgetPrepared()
    {
        m_prepared.clear();
    }

private:
    std::map<std::string, std::string> m_values;
    std::set<std::string, std::less<>> m_prepared; ///< shared names
};

} // namespace waxwing
