#include "explain_ring.h"
#include "intent_client.h"
#include "owned_group.h"
#include "statement_answer.h"

#include <waxwing/coordination/term_lease.h>
#include <waxwing/support/counter.h>
#include <waxwing/support/metrics.h>

namespace waxwing
{

namespace
{

bool isDirectoryProblem(std::string_view reason)
{
    return reason == "wrong-term" || reason == "not-primary" || reason == "leaving";
}

bool isCapacityProblem(std::string_view reason)
{
    return reason == "no-slot" || reason == "too-many-connections";
}

} // namespace

void OwnedGroup::onRan(StatementRun &run, const StatementAttempt &attempt, EndpointAnswer &&response, TimePoint now)
{
    const TermPosition position {.term = response.term, .position = response.position};
    m_members.observe(*attempt.member, position, attempt.startedAt);
    if (run.request().action() == wire::RUN) {
        classifier(run.service).observe(attempt.fingerprint, now - attempt.startedAt);
    }
    if (run.phase == StatementRun::Phase::Answered) {
        onLate(run, attempt, response, now);
        return;
    }
    if (run.isTransactionStep() || run.request().action() == wire::BEGIN) {
        if (onRanStep(run, attempt, response, now)) {
            return;
        }
    }
    if (!run.isAcknowledgedWrite()) {
        onRanRead(run, attempt, std::move(response), now);
        return;
    }
    const auto acknowledgement = m_context.lease.acknowledgement(m_name, response.term, now);
    if (acknowledgement != Acknowledgement::Allowed) {
        explain(run, "not acknowledged", acknowledgement == Acknowledgement::LeaseExpired ? "lease expired" : "term replaced");
        leaveUnknown(run, UnknownReason::LeaseLostRunning);
        return;
    }
    if (!run.acknowledgesMajority || response.outcome == EndpointAnswer::Outcome::Failed) {
        finish(run, response, attempt.member->name());
        return;
    }
    run.phase = StatementRun::Phase::Acknowledging;
    run.ranAt = now;
    run.answer = std::move(response);
    run.servedBy = attempt.member->name();
    m_majority.add(run.id, run.servedBy, position, run.job.deadline);
    explain(run, "waits for a majority");
    confirmMajority(now);
}

void OwnedGroup::onRanRead(StatementRun &run, const StatementAttempt &attempt, EndpointAnswer &&response, TimePoint now)
{
    const bool isPrimary = attempt.member->name() == m_members.view().primary();
    const auto mode = run.requirement.mode;
    const bool isConsistent = mode == FreshnessMode::Primary || mode == FreshnessMode::Session;
    const auto &session = run.requirement.session;
    const bool needsPrimary = mode == FreshnessMode::Primary || (mode == FreshnessMode::Session && (!session || session->uncertain));
    if (isConsistent && (isPrimary || needsPrimary)) {
        if (m_context.lease.acknowledgement(m_name, response.term, now) != Acknowledgement::Allowed) {
            leaveUnknown(run, UnknownReason::LeaseLostRunning);
            return;
        }
    } else {
        // The database may have restarted without its last data since the read was routed to it.
        const bool hasSession
            = mode != FreshnessMode::Session || m_members.history().isSatisfied(session->seen, {.term = response.term, .position = response.position});
        const bool isWhole = mode == FreshnessMode::Any || (response.term == attempt.term && response.position >= attempt.knownPosition);
        if (!hasSession || !isWhole) {
            Metrics::instance().counter("waxwing_stale_reads_discarded_total").add();
            onFailed(run, attempt, AttemptFailure::TornResponse, now);
            return;
        }
    }
    static auto &fromPrimary = Metrics::instance().counter("waxwing_reads_total", "role", "primary");
    static auto &fromReplica = Metrics::instance().counter("waxwing_reads_total", "role", "replica");
    (isPrimary ? fromPrimary : fromReplica).add();
    finish(run, response, attempt.member->name());
}

void OwnedGroup::onRejected(StatementRun &run, const StatementAttempt &attempt, const EndpointAnswer &response, TimePoint now)
{
    explain(run, "rejected by endpoint", response.reason);
    if (response.term > 0) {
        m_members.observe(*attempt.member, {.term = response.term, .position = response.position}, attempt.startedAt);
    }
    if (isCapacityProblem(response.reason)) {
        m_members.onNoSlot(*attempt.member, now);
    }
    if (response.reason == "leaving") {
        m_members.setLeaving(attempt.member->name(), true, now);
    }
    if (run.phase == StatementRun::Phase::Answered) {
        releaseIntent(run); // Its caller was told `unknown`; now it is known that the statement did not run.
        return;
    }
    if (run.isTransactionStep()) {
        // The endpoint no longer has the transaction, or its term has ended.
        breakTransaction(run.request().transaction(), RefusalReason::TransactionLost);
        refuse(run, RefusalReason::TransactionLost, response.reason);
        return;
    }
    if (!isDirectoryProblem(response.reason) && !isCapacityProblem(response.reason)) {
        refuse(run, RefusalReason::RejectedByEndpoint, response.reason);
        return;
    }
    run.isRequeued = isDirectoryProblem(response.reason);
    onFailed(run, attempt, AttemptFailure::RejectedByEndpoint, now);
}

void OwnedGroup::onFailed(StatementRun &run, const StatementAttempt &attempt, AttemptFailure failure, TimePoint now)
{
    if (failure != AttemptFailure::RejectedByEndpoint) {
        explain(run, "attempt failed", code(failure));
    }
    if (run.phase == StatementRun::Phase::Answered) {
        if (run.intent && run.attemptsRunning == 0) {
            if (provesNotRun(failure)) {
                releaseIntent(run);
            } else {
                recordAnswer(run, makeAnswer(run.request(), Outcome::unknown(UnknownReason::NotRepeated), subject()));
            }
        }
        return;
    }
    if (run.attemptsRunning > 0) {
        return; // The other attempt of a hedged read goes on.
    }
    if (run.isTransactionStep()) {
        breakTransaction(run.request().transaction(), RefusalReason::TransactionLost);
    }
    const FailedAttempt failed {.failure = failure,
                                .isWrite = !run.isRead(),
                                .inTransaction = run.isTransactionStep(),
                                .attempts = run.attempts,
                                .predictedCost = run.predictedCost,
                                .deadline = run.job.deadline};
    const auto decision = m_retries.decide(
        failed, [&] { return takeBudget(run, attempt.member); }, m_context.random, now);
    if (decision.delay) {
        countRetry(code(failure));
        run.phase = StatementRun::Phase::Retrying;
        run.retryAt = now + *decision.delay;
        run.retryOutcome = decision.outcome;
    } else if (const auto reason = decision.outcome.uncertainty()) {
        leaveUnknown(run, *reason);
    } else {
        refuse(run, decision.outcome.refusal().value_or(RefusalReason::ConnectionFailed));
    }
}

void OwnedGroup::onLate(StatementRun &run, const StatementAttempt &attempt, const EndpointAnswer &response, TimePoint now)
{
    Metrics::instance().counter("waxwing_late_responses_total").add();
    if (!run.intent) {
        return;
    }
    if (m_context.lease.acknowledgement(m_name, response.term, now) == Acknowledgement::Allowed && !run.acknowledgesMajority) {
        recordAnswer(run, makeDone(run, response, attempt.member->name()));
    } else {
        recordAnswer(run, makeAnswer(run.request(), Outcome::unknown(UnknownReason::NotRepeated), subject()));
    }
}

void OwnedGroup::confirmMajority(TimePoint now)
{
    if (m_majority.size() == 0) {
        return;
    }
    for (const auto id : m_majority.takeConfirmed()) {
        auto *run = find(id);
        if (run == nullptr || run->phase != StatementRun::Phase::Acknowledging) {
            continue;
        }
        m_confirmations.observe(now - run->ranAt, now);
        // The lease may have ended while the write waited.
        if (m_context.lease.acknowledgement(m_name, run->answer.term, now) == Acknowledgement::Allowed) {
            finish(*run, run->answer, run->servedBy);
        } else {
            leaveUnknown(*run, UnknownReason::LeaseLostRunning);
        }
    }
}

wire::StatementAnswer OwnedGroup::makeDone(StatementRun &run, const EndpointAnswer &response, const std::string &servedBy)
{
    const TermPosition position {.term = response.term, .position = response.position};
    const bool isPrimary = servedBy == m_members.view().primary();
    if (isPrimary) {
        run.token.confirm(run.service, position);
    } else {
        run.token.raise(run.service, position);
    }
    const bool isFailed = response.outcome == EndpointAnswer::Outcome::Failed;
    auto result = makeAnswer(run.request(), isFailed ? Outcome::failed() : Outcome::done(), subject());
    if (isFailed) {
        result.set_reason(response.reason);
    }
    result.set_result_json(response.resultJson);
    result.set_session(encodeSessionToken(run.token, m_context.keys));
    result.set_served_by(servedBy);
    result.set_role(isPrimary ? "primary" : "replica");
    result.set_term(response.term);
    result.set_position(response.position);
    return result;
}

void OwnedGroup::finish(StatementRun &run, const EndpointAnswer &response, const std::string &servedBy)
{
    auto result = makeDone(run, response, servedBy);
    if (run.isTransactionStep() || run.request().action() == wire::BEGIN) {
        result.set_transaction(run.isTransactionStep() ? run.request().transaction() : run.openedTransaction);
    }
    recordAnswer(run, result);
    answer(run, std::move(result));
}

void OwnedGroup::refuse(StatementRun &run, RefusalReason reason, std::string_view detail)
{
    if (run.phase == StatementRun::Phase::Queued) {
        m_queue.remove(run.id);
    }
    auto result = makeAnswer(run.request(), Outcome::notRun(reason), subject());
    if (!detail.empty()) {
        result.set_message(result.message() + " The endpoint reported " + std::string(detail) + ".");
    }
    if (reason == RefusalReason::SessionWriteLost) {
        // The session is told once; from then on it continues in the present term.
        run.token.restart(run.service, {.term = m_members.view().term(), .position = 0});
        result.set_session(encodeSessionToken(run.token, m_context.keys));
    }
    releaseIntent(run);
    answer(run, std::move(result));
}

void OwnedGroup::leaveUnknown(StatementRun &run, UnknownReason reason)
{
    auto result = makeAnswer(run.request(), Outcome::unknown(reason), subject());
    if (!run.isRead() && !run.service.empty()) {
        if (!run.token.position(run.service)) {
            // Position 0 of the present term is part of every database, so that only the flag has an effect.
            run.token.raise(run.service, {.term = m_members.view().term(), .position = 0});
        }
        run.token.markUncertain(run.service);
        result.set_session(encodeSessionToken(run.token, m_context.keys));
    }
    if (run.isTransactionStep()) {
        breakTransaction(run.request().transaction(), RefusalReason::TransactionLost);
    }
    if (run.attemptsRunning == 0) {
        recordAnswer(run, result);
    }
    answer(run, std::move(result));
}

void OwnedGroup::answer(StatementRun &run, wire::StatementAnswer &&result)
{
    if (run.phase == StatementRun::Phase::Answered) {
        return;
    }
    run.phase = StatementRun::Phase::Answered;
    --m_openRequests;
    if (run.holdsTransaction && run.attemptsRunning == 0) {
        if (auto *transaction = m_transactions.find(run.request().transaction())) {
            transaction->isBusy = false;
        }
    }
    explain(run, "answered", result.reason().empty() ? result.outcome() : result.reason());
    const auto id = run.id;
    leaveSession(run);
    if (const auto respond = std::exchange(run.job.respond, nullptr)) {
        respond(std::move(result));
    }
    eraseIfSettled(id);
}

void OwnedGroup::recordAnswer(StatementRun &run, const wire::StatementAnswer &result)
{
    if (run.intent) {
        m_context.intents.finish({run.service, run.request().idempotency_key(), *run.intent}, result, Clock::now());
        run.intent.reset();
    }
}

void OwnedGroup::releaseIntent(StatementRun &run)
{
    if (run.intent) {
        m_context.intents.release({run.service, run.request().idempotency_key(), *run.intent}, Clock::now());
        run.intent.reset();
    }
}

void OwnedGroup::eraseIfSettled(std::uint64_t id)
{
    const auto found = m_runs.find(id);
    if (found != m_runs.end() && found->second->phase == StatementRun::Phase::Answered && found->second->attemptsRunning == 0) {
        m_runs.erase(found);
    }
}

} // namespace waxwing
