#include "explain_ring.h"
#include "owned_group.h"
#include "statement_answer.h"

#include <waxwing/coordination/hedge_policy.h>
#include <waxwing/coordination/term_lease.h>
#include <waxwing/protocol/endpoint_codec.h>
#include <waxwing/support/counter.h>
#include <waxwing/support/identifier.h>
#include <waxwing/support/metrics.h>
#include <waxwing/support/random.h>
#include <waxwing/transport/http_exchange.h>
#include <waxwing/transport/http_request.h>

#include <algorithm>

namespace waxwing
{

namespace
{

// A statement whose caller was answered at its deadline keeps its connection for this long, to learn its result; then
// the connection is closed.
constexpr auto lateAllowance = 5s;

std::string_view pathOf(wire::ForwardAction action)
{
    switch (action) {
    case wire::BEGIN:
        return "/v1/begin";
    case wire::COMMIT:
        return "/v1/commit";
    case wire::ROLLBACK:
        return "/v1/rollback";
    default:
        return "/v1/execute";
    }
}

} // namespace

bool OwnedGroup::isHeld(TimePoint now) const
{
    return m_hold && now < m_hold->until && m_hold->term == m_members.view().term();
}

bool OwnedGroup::isWritable(TimePoint now) const
{
    const auto term = m_context.lease.term(m_name);
    return m_isOwning && !m_isHandingOver && m_context.lease.isValid(now) && term != 0 && term == m_members.view().term() && !m_members.view().primary().empty()
        && !isHeld(now);
}

EligibleEndpoints OwnedGroup::placesOf(StatementRun &run, TimePoint now)
{
    EndpointSet primary;
    if (const auto index = m_members.primaryIndex(); index < m_members.states().size() && m_members.states()[index].isUsable) {
        primary.set(index);
    }
    if (run.isTransactionStep()) {
        const auto *transaction = m_transactions.find(run.request().transaction());
        const bool isOpen = transaction != nullptr && transaction->term == m_context.lease.term(m_name) && m_context.lease.isValid(now);
        return {.preferred = isOpen ? primary : EndpointSet {}};
    }
    const auto connected = m_members.connected();
    if (!run.isRead()) {
        const bool canRun = isWritable(now) && (run.request().action() != wire::BEGIN || mayBegin());
        return {.preferred = canRun ? primary & connected : EndpointSet {}};
    }
    const ReadContext context {m_members.view(), m_members.history(), m_members.states(), m_isOwning && m_context.lease.isValid(now)};
    const auto decision = run.readsReplicas ? ReplicaReads().decide(run.requirement, context, now) : PrimaryReads().decide(run.requirement, context, now);
    if (decision.kind == ReadDecision::Kind::Run) {
        return {.preferred = decision.preferred & connected, .overflow = decision.overflow & connected};
    }
    run.waitReason = decision.reason;
    if (decision.kind == ReadDecision::Kind::Refuse) {
        // Refused after the present pass over the queue, which must not change meanwhile.
        run.retryOutcome = Outcome::notRun(decision.reason);
    }
    return {};
}

void OwnedGroup::schedule(TimePoint now)
{
    if (m_isScheduling) {
        return;
    }
    m_isScheduling = true;
    std::vector<std::uint64_t> refused;
    const auto places = [&](const QueuedStatement &queued) {
        auto *run = find(queued.id);
        if (run == nullptr) {
            return EligibleEndpoints {};
        }
        auto result = placesOf(*run, now);
        if (run->retryOutcome && run->attempts == 0) {
            refused.push_back(queued.id);
        }
        return result;
    };
    while (m_queue.size() > 0 && m_members.hasFreeSlot()) {
        const auto assignment = m_queue.next(m_members.states(), places, m_context.random, now);
        if (!assignment) {
            break;
        }
        if (auto *run = find(assignment->statement)) {
            start(*run, assignment->endpoint, now);
        }
    }
    if (m_queue.size() > 0 && m_members.hasFreeSlot()) {
        // What waits may lack only a connection; the next tick is milliseconds away.
        m_members.openConnections(m_queue.size(), now);
    }
    m_isScheduling = false;
    for (const auto id : refused) {
        if (auto *run = find(id); run != nullptr && run->phase == StatementRun::Phase::Queued && run->retryOutcome) {
            const auto reason = run->retryOutcome->refusal().value_or(RefusalReason::NoPrimary);
            run->retryOutcome.reset();
            refuse(*run, reason);
        }
    }
}

void OwnedGroup::start(StatementRun &run, std::size_t member, TimePoint now)
{
    if (run.isTransactionStep()) {
        if (auto *transaction = m_transactions.find(run.request().transaction())) {
            startStep(run, *transaction, now);
        } else {
            refuse(run, m_transactions.whyEnded(run.request().transaction()));
        }
        return;
    }
    auto &target = m_members.at(member);
    auto *connection = target.pool.acquire();
    if (connection == nullptr) {
        // All idle connections turned out to be closed; the pool opens new ones.
        admit(run, now);
        return;
    }
    const auto applied = m_members.view().applied(target.name());
    const auto term = run.isRead() ? m_members.view().term() : m_context.lease.term(m_name);
    send(run,
         {.member = &target,
          .connection = connection,
          .term = term,
          .knownPosition = applied && applied->term == term ? applied->position : 0,
          .holdsSlot = true},
         now);
}

void OwnedGroup::startStep(StatementRun &run, Transaction &transaction, TimePoint now)
{
    transaction.lastUsed = now;
    send(run,
         {.member = transaction.member,
          .connection = transaction.connection,
          .term = transaction.term,
          .holdsSlot = run.request().action() == wire::RUN,
          .isPinned = true,
          .transaction = transaction.id},
         now);
}

void OwnedGroup::send(StatementRun &run, StatementAttempt &&attempt, TimePoint now)
{
    const auto &request = run.request();
    const auto id = randomIdentifier();
    attempt.run = run.id;
    attempt.correlation = toHex(id);
    attempt.startedAt = now;
    attempt.isWrite = !run.isRead() || run.isTransactionStep();
    attempt.workClass = run.workClass;
    attempt.predictedCost = run.predictedCost;
    attempt.fingerprint = run.fingerprint;
    attempt.service = run.service;
    attempt.caller = request.caller();
    run.phase = StatementRun::Phase::Running;
    run.startedAt = now;
    run.lastEndpoint = attempt.member->name();
    run.retryOutcome.reset();
    ++run.attempts;
    ++run.attemptsRunning;
    if (attempt.holdsSlot) {
        m_members.take(*attempt.member, attempt.workClass == WorkClass::Long);
    }
    attempt.member->retryBudget.onRequest();
    explain(run, "sent to endpoint", attempt.member->name());

    HttpRequest message {.method = "POST", .target = std::string(pathOf(request.action()))};
    if (request.action() == wire::RUN) {
        message.body = encodeExecute({.correlationId = attempt.correlation,
                                      .term = attempt.term,
                                      .statement = request.statement(),
                                      .isWrite = request.kind() == wire::WRITE,
                                      .inTransaction = run.isTransactionStep()});
    } else {
        message.body = encodeTransactionStep(attempt.correlation, attempt.term);
    }
    auto *connection = attempt.connection;
    const auto timeout = run.job.deadline - now + lateAllowance;
    m_attempts.emplace(id, std::move(attempt));
    connection->exchange(message, timeout, [this, id](HttpExchange &&exchange) { onExchange(id, std::move(exchange)); });
}

void OwnedGroup::endAttempt(StatementAttempt &attempt, bool isReusable, TimePoint now)
{
    if (!attempt.isPinned) {
        attempt.member->pool.release(attempt.connection, isReusable);
    } else if (m_transactions.find(attempt.transaction) == nullptr) {
        // The transaction was broken while its step ran.
        --attempt.member->pinned;
        attempt.member->pool.release(attempt.connection, false);
    }
    if (!attempt.holdsSlot) {
        return;
    }
    const auto cost = now - attempt.startedAt;
    m_queue.recordUse(attempt.caller, attempt.workClass, cost, now);
    if (isReusable) {
        m_members.onFinished(*attempt.member, cost, attempt.predictedCost, now);
    }
    m_members.give(*attempt.member, attempt.workClass == WorkClass::Long);
}

void OwnedGroup::onExchange(std::uint64_t id, HttpExchange &&exchange)
{
    const auto now = Clock::now();
    auto node = m_attempts.extract(id);
    if (node.empty()) {
        return;
    }
    auto &attempt = node.mapped();
    auto *run = find(attempt.run);
    std::optional<AttemptFailure> failure;
    std::variant<EndpointAnswer, std::string> answer;
    if (exchange.error) {
        failure = exchange.handedOver ? AttemptFailure::ConnectionLost : AttemptFailure::ConnectionFailed;
    } else {
        answer = decodeEndpointAnswer(exchange.response.body, attempt.correlation);
        if (const auto *problem = std::get_if<std::string>(&answer)) {
            Metrics::instance().counter("waxwing_bad_responses_total").add();
            if (run != nullptr) {
                explain(*run, "bad response", *problem);
            }
            failure = AttemptFailure::TornResponse;
        }
    }
    // A transaction that begins keeps its connection.
    const bool hasBegun
        = !failure && run != nullptr && run->request().action() == wire::BEGIN && std::get<EndpointAnswer>(answer).outcome == EndpointAnswer::Outcome::Done;
    const bool isOrphaned = hasBegun && run->phase != StatementRun::Phase::Running;
    if (hasBegun && !isOrphaned) {
        openTransaction(*run, attempt, now);
    }
    endAttempt(attempt, !failure && !isOrphaned, now);
    if (run != nullptr) {
        --run->attemptsRunning;
        const auto runId = run->id;
        if (failure) {
            m_members.onFailure(*attempt.member, now);
            onFailed(*run, attempt, *failure, now);
        } else if (auto &response = std::get<EndpointAnswer>(answer); response.outcome == EndpointAnswer::Outcome::Rejected) {
            onRejected(*run, attempt, response, now);
        } else {
            onRan(*run, attempt, std::move(response), now);
        }
        eraseIfSettled(runId);
    }
    schedule(now);
}

std::optional<std::size_t> OwnedGroup::freePlace(StatementRun &run, TimePoint now)
{
    const auto places = placesOf(run, now);
    auto set = withFreeSlot(places.preferred, m_members.states());
    if (set.none()) {
        set = withFreeSlot(places.overflow, m_members.states());
    }
    auto others = set;
    if (const auto last = m_members.indexOf(run.lastEndpoint); last < others.size()) {
        others.reset(last);
    }
    return chooseOfTwo(others.any() ? others : set, m_members.states(), m_context.random);
}

void OwnedGroup::retryDue(TimePoint now)
{
    std::vector<std::uint64_t> due;
    for (const auto &[id, run] : m_runs) {
        if (run->phase == StatementRun::Phase::Retrying && run->retryAt <= now) {
            due.push_back(id);
        }
    }
    for (const auto id : due) {
        auto *run = find(id);
        if (run == nullptr || run->phase != StatementRun::Phase::Retrying) {
            continue;
        }
        const auto outcome = run->retryOutcome.value_or(Outcome::notRun(RefusalReason::RejectedByEndpoint));
        if (const auto place = freePlace(*run, now)) {
            start(*run, *place, now);
        } else if (run->isRequeued) {
            run->retryOutcome.reset();
            admit(*run, now);
        } else if (outcome.uncertainty()) {
            leaveUnknown(*run, *outcome.uncertainty());
        } else {
            refuse(*run, outcome.refusal().value_or(RefusalReason::RejectedByEndpoint));
        }
    }
}

void OwnedGroup::hedgeDue(TimePoint now)
{
    if (!m_context.hedgesReads || m_queue.size() > 0 || !m_members.hasFreeSlot()) {
        return;
    }
    const HedgePolicy policy;
    std::vector<std::uint64_t> due;
    for (const auto &[id, run] : m_runs) {
        if (run->phase != StatementRun::Phase::Running || !run->isRead()) {
            continue;
        }
        const auto at = policy.hedgeAt({.isRead = true,
                                        .inTransaction = run->isTransactionStep(),
                                        .workClass = run->workClass,
                                        .attempts = run->attemptsRunning,
                                        .predictedCost = run->predictedCost,
                                        .startedAt = run->startedAt,
                                        .deadline = run->job.deadline});
        if (at && *at <= now) {
            due.push_back(id);
        }
    }
    for (const auto id : due) {
        auto &run = *find(id);
        const auto place = freePlace(run, now);
        const bool isOther = place && m_members.at(*place).name() != run.lastEndpoint;
        if (isOther && takeBudget(run, &m_members.at(*place))) {
            countRetry("hedge");
            start(run, *place, now);
        }
    }
}

void OwnedGroup::reclassifyDue(TimePoint now)
{
    for (auto &[id, attempt] : m_attempts) {
        if (!attempt.holdsSlot || attempt.workClass == WorkClass::Long) {
            continue;
        }
        auto &costs = classifier(attempt.service);
        const auto elapsed = now - attempt.startedAt;
        if (elapsed > costs.longThreshold()) {
            attempt.workClass = WorkClass::Long;
            costs.observeRunning(attempt.fingerprint, elapsed);
            m_members.reclassify(*attempt.member);
        }
    }
}

bool OwnedGroup::takeBudget(const StatementRun &run, GroupMember *member)
{
    const auto *service = &m_service;
    auto &budget = m_budgets[run.service];
    if (!service->policy.hasRetryBudget) {
        return true;
    }
    if (member != nullptr) {
        return takeFromBoth(budget, member->retryBudget);
    }
    if (!budget.canTake()) {
        return false;
    }
    budget.take();
    return true;
}

} // namespace waxwing
