#pragma once

#include <waxwing/coordination/session_state.h>

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace waxwing
{

/// @brief What was set and prepared on a pooled connection.
class ConnectionState
{
public:
    /// @brief Work that brings a connection to the state of a session.
    struct Preparation
    {
        bool discard = false; ///< clear everything first
        std::vector<std::pair<std::string, std::string>> values; ///< to set
        bool prepare = false; ///< the statement is not prepared yet
    };

    /// @brief Name of a statement on connections. It depends on what the statement does and not on who prepared it, so that
    /// sessions share connections.
    static std::string sharedName(const SessionState::Prepared &statement);

    /// @brief Compares with a session.
    /// @param statement statement that shall run, or null if it is not a prepared one
    Preparation compare(const SessionState &session, const SessionState::Prepared *statement) const;

    /// @brief Takes note that a preparation was sent.
    void apply(const Preparation &preparation, const SessionState::Prepared *statement);

    /// @brief Number of commands that a preparation for a session takes; chooses among idle connections.
    std::size_t distance(const SessionState &session) const;

    /// @brief Forgets prepared statements, because the database did not know one.
    void forgetPrepared()
    {
        m_prepared.clear();
    }

private:
    std::map<std::string, std::string> m_values;
    std::set<std::string, std::less<>> m_prepared; ///< shared names
};

} // namespace waxwing
