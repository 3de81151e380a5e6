#pragma once

namespace waxwing
{

/// State of a session or a connection between two statements.
enum class TransactionState {
    Idle,
    Open,
    Failed, ///< only a rollback is left
};

} // namespace waxwing
