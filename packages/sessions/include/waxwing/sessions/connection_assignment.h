#pragma once

#include <waxwing/support/time.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// Decisions about connections that belong to workspaces: a database is told the workspace when a connection starts, so that it can't
/// serve another one. Answers the load of many workspaces on few connections. No I/O.
namespace waxwing::connection_assignment
{

/// @brief Statement that waits for a connection, in the order in which statements are to be served.
struct Waiting
{
    std::optional<std::string_view> workspace; ///< nothing if a connection of any workspace will do
    int rank = 0;
    std::uint64_t tag = 0; ///< see FairQueueTags
};

/// @brief Connection that nobody uses.
struct Idle
{
    std::string_view workspace;
    TimePoint since;
};

/// @brief Chooses the statement that gets a connection which was just returned: the first one, or one of the connection's workspace that
/// comes soon after it, which spares the database the start of another connection.
/// @return nothing if the connection should rather be replaced by one for the first statement
std::optional<std::size_t> chooseWaiting(std::span<const Waiting> waiting, std::string_view workspace);

/// @brief Chooses the idle connection that is closed to make room for one of another workspace: the workspace with the most idle ones
/// gives up the one that has been idle for longest.
/// @return nothing if there is none of another workspace
std::optional<std::size_t> chooseEvicted(std::span<const Idle> idle, std::string_view workspace);

/// @brief Workspaces for which connections should be opened, in this order.
/// @param opening workspaces for which connections are being opened
/// @param fallback workspace for statements that any connection will do for
std::vector<std::string> missingConnections(std::span<const Waiting> waiting, std::span<const std::string> opening, std::string_view fallback);

} // namespace waxwing::connection_assignment
