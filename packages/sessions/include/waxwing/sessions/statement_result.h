#pragma once

#include <waxwing/protocol/pool_reply.h>
#include <waxwing/sessions/database_pool.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace waxwing
{

/// @brief Outcome of a statement.
struct StatementResult
{
    SessionError error = SessionError::None;
    std::string text; ///< reason for the caller, with an error
    PoolReply reply; ///< without an error
    std::string database; ///< id of the database that was asked last
    unsigned retries = 0; ///< attempts before the last one
    std::string_view retryReason; ///< of the attempt before the last one
    Duration queued {}; ///< from the caller's bytes to the sending of the last attempt
    Duration ran {}; ///< from there to the answer
    std::unique_ptr<DatabaseConnection> connection; ///< with the open transaction, if the statement began one
    std::uint64_t epoch = 0; ///< in which the transaction began
    std::shared_ptr<DatabasePool> pool; ///< owner of the connection; shared, see DatabasePool
};

} // namespace waxwing
