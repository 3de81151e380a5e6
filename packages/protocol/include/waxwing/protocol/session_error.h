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
};

} // namespace waxwing
