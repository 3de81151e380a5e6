#pragma once

#include <waxwing/protocol/session_error.h>
#include <waxwing/sessions/session_job.h>
#include <waxwing/support/time.h>

#include <string>
#include <string_view>

namespace waxwing
{

/// @brief Where the time of a successful statement went.
struct StatementTiming
{
    std::string_view database; ///< id of the database that ran it
    unsigned retries = 0; ///< attempts before the successful one
    std::string_view retryReason; ///< of the last of them
    Duration queued {}; ///< from the caller's bytes to the sending of the successful attempt
    Duration ran {}; ///< from there to the answer
};

/// @brief Counts the outcome of a statement.
void countOutcome(SessionError error);

/// @brief Takes note of a successful statement: its latencies, and a log line if it is late or drawn for the sample.
void noteDone(const SessionJob &job, const StatementTiming &timing);

} // namespace waxwing
