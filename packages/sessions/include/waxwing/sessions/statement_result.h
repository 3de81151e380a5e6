#pragma once

#include <waxwing/protocol/pool_reply.h>
#include <waxwing/sessions/database_pool.h>

#include <memory>
#include <string>

namespace waxwing
{

/// @brief Outcome of a statement.
struct StatementResult
{
    SessionError error = SessionError::None;
    std::string text; ///< reason for the caller, with an error
    PoolReply reply; ///< without an error
    std::unique_ptr<DatabaseConnection> connection; ///< with the open transaction, if the statement began one
    std::shared_ptr<DatabasePool> pool; ///< owner of the connection; shared, see DatabasePool
};

} // namespace waxwing
