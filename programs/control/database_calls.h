#pragma once

#include <waxwing/protocol/pool_status.h>
#include <waxwing/sessions/database_connection.h>
#include <waxwing/support/time.h>
#include <waxwing/wire/sessions.pb.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace waxwing::control
{

/// @brief Sends commands to databases (status, pause, step down, resume) over its own connections.
class DatabaseCalls
{
public:
    enum class Command {
        Status,
        Pause, ///< pause replication until a term
        StepDown, ///< stop being the primary of a lower term
        Resume,
    };

    enum class Reach {
        Answered,
        Refused, ///< connection refused, or closed before an answer
        Replaced, ///< another database answers at the address
        Silent, ///< no answer before the timeout
        Busy, ///< the database answers, but has no free connection or slot
    };

    struct Answer
    {
        Reach reach = Reach::Silent;
        std::optional<PoolStatus> status;
    };

    /// @param caller name of this process, sent to databases
    DatabaseCalls(boost::asio::io_context &context, std::string caller);

    /// @brief Sends one command.
    /// @param term used by Pause and StepDown only
    boost::asio::awaitable<Answer> call(wire::PoolMember member, Command command, std::uint64_t term, Duration timeout);

    /// @brief Sends the same command to several databases at once.
    /// @return answers by database id, one for each member
    boost::asio::awaitable<std::map<std::string, Answer>> callAll(std::vector<wire::PoolMember> members, Command command, std::uint64_t term, Duration timeout);

    /// @brief Closes all connections.
    void closeAll();

private:
    using Connection = std::unique_ptr<DatabaseConnection>;

    boost::asio::awaitable<Answer> callOn(DatabaseConnection &connection, Command command, std::uint64_t term, TimePoint deadline);

    boost::asio::io_context &m_context;
    std::string m_caller;
    std::map<std::string, Connection> m_connections; ///< idle connections, by id and address
};

/// @brief Tells whether a database is a replica that has paused replication.
/// @param term the pause lasts at least until this term
bool isPaused(const DatabaseCalls::Answer &answer, std::uint64_t term);

/// @brief Name of an answer in the log; for a database that answered, its role.
std::string reachName(const DatabaseCalls::Answer &answer);

} // namespace waxwing::control
