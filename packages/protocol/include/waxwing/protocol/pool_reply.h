#pragma once

#include <waxwing/coordination/term_position.h>
#include <waxwing/protocol/session_error.h>
#include <waxwing/protocol/transaction_state.h>

#include <optional>
#include <string>
#include <vector>

namespace waxwing
{

/// @brief Complete answer of a database to one statement.
struct PoolReply
{
    std::vector<std::string> rows;
    std::string signature; ///< proves that the database ran the statement; set on success
    SessionError error = SessionError::None;
    std::string errorText;
    TransactionState state = TransactionState::Idle;
    std::optional<TermPosition> position; ///< end of the database's log
};

} // namespace waxwing
