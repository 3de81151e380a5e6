#pragma once

#include <waxwing/sessions/session_job.h>
#include <waxwing/sessions/statement_result.h>
#include <waxwing/wire/sessions.pb.h>

namespace waxwing
{

/// @brief Message that carries a statement to a holder.
/// @param job its session is read
wire::PoolForward encodeForward(const SessionJob &job, wire::PoolForward::Kind kind);

/// @brief Session of a statement that was passed on, as far as the statement needs it.
SessionState decodeForwardSession(const wire::PoolForward &message);

/// @brief Statement that was passed on.
/// @param session as decodeForwardSession() gave it; outlives the job
/// @param now the statement counts as received then, so that its reads are not older than the caller's limit
SessionJob decodeForwardJob(const wire::PoolForward &message, const SessionState &session, TimePoint now);

/// @brief Answer to a statement that was passed on.
wire::PoolForwardAnswer encodeForwardAnswer(const StatementResult &result);

/// @brief Result of a statement that a holder ran.
/// @param readable set to false if the answer names an unknown error
StatementResult decodeForwardAnswer(const wire::PoolForwardAnswer &answer, bool &readable);

} // namespace waxwing
