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

/// @brief Asks databases for their state and tells them to pause or step down, over connections of its own.
class DatabaseCalls
{
public:
    enum class Command {
        Status,
        Pause, ///< receive nothing before a term
        StepDown, ///< end as a primary of a lower term
        Resume,
    };

    enum class Reach {
        Answered,
        Refused, ///< nothing listens there
        Silent, ///< no answer in time
        Busy, ///< it answers, but has no connection or slot to spare
    };

    struct Answer
    {
        Reach reach = Reach::Silent;
        std::optional<PoolStatus> status;
    };

    /// @param caller name of this process
    DatabaseCalls(boost::asio::io_context &context, std::string caller);

    /// @brief Sends one command.
    /// @param term for Pause and StepDown
    boost::asio::awaitable<Answer> call(wire::PoolMember member, Command command, std::uint64_t term, Duration limit);

    /// @brief Sends the same command to several databases at once.
    /// @return answers by id, one for each member
    boost::asio::awaitable<std::map<std::string, Answer>> callAll(std::vector<wire::PoolMember> members, Command command, std::uint64_t term, Duration limit);

    /// @brief Closes all connections.
    void closeAll();

private:
    using Connection = std::unique_ptr<DatabaseConnection>;

    boost::asio::awaitable<Answer> callOn(DatabaseConnection &connection, Command command, std::uint64_t term, TimePoint deadline);

    boost::asio::io_context &m_context;
    std::string m_caller;
    std::map<std::string, Connection> m_connections; ///< idle ones by id and address
};

} // namespace waxwing::control
