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

/// @brief Result of a statement.
struct StatementResult
{
    StatementResult();
    ~StatementResult();
    StatementResult(StatementResult &&) noexcept;
    StatementResult &operator=(StatementResult &&) noexcept;

    SessionError error = SessionError::None;
    std::string text; ///< reason for an error, sent to the caller
    /// The statement provably did not run, for a reason of this proxy only; another one may run it now.
    bool declined = false;
    Duration retryAfter {}; ///< with a refusal: when the caller should retry
    PoolReply reply; ///< valid if there is no error
    std::string database; ///< id of the database of the last attempt
    unsigned retries = 0; ///< attempts before the last one
    std::string_view retryReason; ///< reason for the last retry
    Duration queued {}; ///< from the arrival of the caller's bytes until the last attempt was sent
    Duration ran {}; ///< from sending the last attempt to its answer
    std::optional<TermPosition> committed; ///< position of the commit in the log, if the statement committed
    std::unique_ptr<OpenTransaction> transaction; ///< set if the statement began a transaction that stays open
};

} // namespace waxwing
