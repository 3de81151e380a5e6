#pragma once

#include <waxwing/coordination/session_state.h>
#include <waxwing/state/pool_route.h>
#include <waxwing/support/time.h>

#include <optional>
#include <string>

namespace waxwing
{

/// @brief One statement with everything needed to run it on a database.
struct SessionJob
{
    static constexpr int workspacePriorities = 1'001; ///< priorities of workspaces are below this

    PoolRoute route;
    const SessionState *session = nullptr;
    std::string id; ///< request id of the caller
    std::string workspace; ///< that the caller belongs to; empty if the deployment has none
    int workspacePriority = 0; ///< 0 is the highest
    std::string text; ///< text for the database; for a prepared statement only what follows its name, with the blank before it
    std::optional<SessionState::Prepared> prepared; ///< prepared statement to execute; its name depends on the connection
    bool writes = false;
    bool begins = false; ///< first statement of a transaction, which is begun together with it
    bool readOnly = false; ///< the transaction was begun as read-only
    bool commits = false; ///< commit of a transaction that has run no statement
    bool forwarded = false; ///< another proxy forwarded it and can ask the next holder
    TimePoint receivedAt; ///< reference time for the required freshness
    TimePoint deadline;

    /// @brief Rank in a queue for connections; lower ranks come first: by priority of the route, then of the workspace. Within both,
    /// statements that release their connection immediately come before transactions, which hold it while their callers pause.
    int rank() const
    {
        return (route.priority * workspacePriorities + workspacePriority) * 2 + static_cast<int>(begins && !commits);
    }

    /// @brief Tells whether only the primary can run the statement.
    bool needsPrimary() const
    {
        return writes || (begins && !readOnly) || route.freshness == Freshness::Primary;
    }

    /// @brief Tells whether the statement may have persisted something if the connection is lost after it was sent.
    bool mayPersist() const
    {
        return commits || (writes && !begins);
    }
};

} // namespace waxwing
