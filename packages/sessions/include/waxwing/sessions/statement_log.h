#pragma once

#include <waxwing/protocol/session_error.h>
#include <waxwing/sessions/session_job.h>
#include <waxwing/support/time.h>

#include <string>
#include <string_view>

namespace waxwing
{

/// @brief Latencies and retries of a successful statement.
struct StatementTiming
{
    std::string_view database; ///< id of the database that ran it
    unsigned retries = 0; ///< attempts before the successful one
    std::string_view retryReason; ///< reason for the last retry
    Duration queued {}; ///< from the arrival of the caller's bytes until the successful attempt was sent
    Duration ran {}; ///< from sending the successful attempt to its answer
};

/// @brief Counts the outcome of a statement in the metrics.
void countOutcome(SessionError error);

/// @brief Records the latencies of a successful statement, and logs it if it is late or part of the sample.
void recordSuccess(const SessionJob &job, const StatementTiming &timing);

} // namespace waxwing
