#pragma once

#include "statement_job.h"

#include <waxwing/coordination/read_routing.h>
#include <waxwing/coordination/session_token.h>
#include <waxwing/coordination/work_class.h>
#include <waxwing/protocol/endpoint_answer.h>
#include <waxwing/state/outcome.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace waxwing
{

/// @brief One request at the owner, from its arrival until it is answered and its attempts have ended.
struct StatementRun
{
    enum class Phase {
        Intent, ///< waits for the record of statements that must not repeat
        Session, ///< waits for the pending writes of its session
        Queued,
        Running,
        Retrying, ///< waits for the next attempt
        Acknowledging, ///< waits for a majority
        Answered, ///< an attempt may still run
    };

    std::uint64_t id = 0;
    StatementJob job;
    std::string service;
    Phase phase = Phase::Queued;

    SessionToken token;
    ReadRequirement requirement;
    bool acknowledgesMajority = true;
    bool readsReplicas = true;
    RefusalReason waitReason = RefusalReason::DeadlinePassed; ///< why it still waits, for the answer at its deadline

    std::uint64_t fingerprint = 0;
    WorkClass workClass = WorkClass::Short;
    Duration predictedCost {};

    std::size_t attempts = 0; ///< started so far
    std::size_t attemptsRunning = 0;
    std::string lastEndpoint; ///< of the latest attempt, avoided by the next one
    TimePoint startedAt {};
    TimePoint retryAt {};
    bool isRequeued = false; ///< the next attempt may wait in the queue, since the directory and not load failed the last one
    std::optional<Outcome> retryOutcome; ///< if no further attempt starts

    std::optional<std::uint64_t> intent; ///< attempt recorded at control and not yet finished or released
    bool holdsTransaction = false; ///< its transaction is busy with this step
    std::string openedTransaction; ///< by a begin
    EndpointAnswer answer; ///< while acknowledging
    TimePoint ranAt {}; ///< when the primary answered, while acknowledging
    std::string servedBy;

    const wire::StatementRequest &request() const
    {
        return *job.request;
    }

    bool isTransactionStep() const
    {
        return !request().transaction().empty();
    }

    bool isRead() const
    {
        return request().kind() == wire::READ && request().action() == wire::RUN;
    }

    /// Whether the caller may rely on its effect: a write of its own, or a commit.
    bool isAcknowledgedWrite() const
    {
        return request().action() == wire::COMMIT || (request().action() == wire::RUN && request().kind() == wire::WRITE && !isTransactionStep());
    }
};

} // namespace waxwing
