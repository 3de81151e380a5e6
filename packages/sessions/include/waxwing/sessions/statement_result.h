#pragma once

#include <waxwing/protocol/pool_reply.h>
#include <waxwing/support/time.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace waxwing
{

class OpenTransaction;

/// @brief Outcome of a statement.
struct StatementResult
{
    StatementResult();
    ~StatementResult();
    StatementResult(StatementResult &&) noexcept;
    StatementResult &operator=(StatementResult &&) noexcept;

    SessionError error = SessionError::None;
    std::string text; ///< reason for the caller, with an error
    PoolReply reply; ///< without an error
    std::string database; ///< id of the database that was asked last
    unsigned retries = 0; ///< attempts before the last one
    std::string_view retryReason; ///< of the attempt before the last one
    Duration queued {}; ///< from the caller's bytes to the sending of the last attempt
    Duration ran {}; ///< from there to the answer
    std::optional<TermPosition> committed; ///< place of the commit in the log, if the statement made one
    std::unique_ptr<OpenTransaction> transaction; ///< if the statement began one that goes on
};

} // namespace waxwing
