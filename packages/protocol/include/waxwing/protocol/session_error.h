#pragma once

namespace waxwing
{

/// Why a statement of a session has no result.
enum class SessionError {
    None,
    // Promises: nothing of the operation is kept.
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
    // The caller's own mistakes.
    UnknownDatabase,
    UnknownStatement, ///< no prepared statement of this name
    TooLarge,
    Malformed,
};

} // namespace waxwing
