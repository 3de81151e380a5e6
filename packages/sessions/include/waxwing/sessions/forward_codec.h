#pragma once

#include <waxwing/sessions/session_job.h>
#include <waxwing/sessions/statement_result.h>
#include <waxwing/wire/sessions.pb.h>

namespace waxwing
{

/// @brief Encodes a statement for a holder.
/// @param job statement with its session
wire::PoolForward encodeForward(const SessionJob &job, wire::PoolForward::Kind kind);

/// @brief Decodes the part of the session that a forwarded statement needs.
SessionState decodeForwardSession(const wire::PoolForward &message);

/// @brief Decodes a forwarded statement.
/// @param session result of decodeForwardSession(); outlives the job
/// @param now time of receipt; the required freshness counts from here, so that reads are not older than the caller's limit
SessionJob decodeForwardJob(const wire::PoolForward &message, const SessionState &session, TimePoint now);

/// @brief Encodes the answer to a forwarded statement.
wire::PoolForwardAnswer encodeForwardAnswer(const StatementResult &result);

/// @brief Decodes the answer of a holder.
/// @param readable set to false if the answer contains an unknown error
StatementResult decodeForwardAnswer(const wire::PoolForwardAnswer &answer, bool &readable);

} // namespace waxwing
