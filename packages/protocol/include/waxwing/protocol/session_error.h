#pragma once

namespace waxwing
{

/// Why a statement of a session has no result.
enum class SessionError {
    None,
    // Guarantees that no effect of the operation is kept.
    Busy,
    Aborted,
    Lagging,
    ReadOnly,
    TooManyConnections,
    WrongInstance,
    // The database ran the statement.
    Failed,
    // May have run.
    Unknown,
    TimedOut,
    // Errors in the caller's request.
    UnknownDatabase,
    UnknownStatement, ///< no prepared statement of this name
    TooLarge,
    Malformed,
    // Proxies state errors to each other by number, so that later ones are added at the end.
    Unauthorized, ///< no workspace has the key of the session
};

} // namespace waxwing
