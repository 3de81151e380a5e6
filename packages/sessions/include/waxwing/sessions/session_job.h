#pragma once

#include <waxwing/coordination/session_state.h>
#include <waxwing/state/pool_route.h>
#include <waxwing/support/time.h>

#include <optional>
#include <string>

namespace waxwing
{

/// @brief One statement on its way to a database.
struct SessionJob
{
    PoolRoute route;
    const SessionState *session = nullptr;
    std::string id; ///< request id of the caller
    std::string text; ///< for the database
    std::optional<SessionState::Prepared> prepared; ///< statement that `text` executes
    bool writes = false;
    bool begins = false; ///< first statement of a transaction, which is begun with it
    bool readOnly = false; ///< the transaction was begun as read-only
    bool commits = false; ///< the statement is the commit of a transaction that ran nothing before
    TimePoint receivedAt; ///< freshness counts from here
    TimePoint deadline;

    /// @brief Place in a queue for connections; lower ones come first. Among equal priorities, statements that give their
    /// connection back at once come before transactions, which hold one while their callers pause.
    int rank() const
    {
        return route.priority * 2 + static_cast<int>(begins && !commits);
    }

    /// @brief Tells whether only the primary can run it.
    bool needsPrimary() const
    {
        return writes || (begins && !readOnly) || route.freshness == Freshness::Primary;
    }

    /// @brief Tells whether something may be kept if the connection is lost after it was sent.
    bool mayPersist() const
    {
        return commits || (writes && !begins);
    }
};

} // namespace waxwing
