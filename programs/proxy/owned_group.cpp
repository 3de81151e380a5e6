#include "owned_group.h"

#include "directory.h"
#include "explain_ring.h"
#include "intent_client.h"
#include "statement_answer.h"

#include <waxwing/coordination/fingerprint.h>
#include <waxwing/coordination/term_lease.h>
#include <waxwing/coordination/token_key_ring.h>
#include <waxwing/support/identifier.h>

#include <algorithm>

namespace waxwing
{

namespace
{

// An attempt of the same key by another request is polled at this pace; a statement takes a few milliseconds.
constexpr auto intentPollInterval = 25ms;

RefusalReason refusalOf(wire::IntentState state)
{
    switch (state) {
    case wire::CONFLICT:
        return RefusalReason::KeyConflict;
    case wire::EXPIRED:
        return RefusalReason::KeyExpired;
    case wire::FULL:
        return RefusalReason::IntentCapacity;
    default:
        return RefusalReason::IntentUnavailable;
    }
}

} // namespace

OwnedGroup::OwnedGroup(GroupContext &context, std::string name)
    : m_context(context)
    , m_name(std::move(name))
    , m_members(
          context.context, context.random, [this](const std::string &database, TermPosition applied) { m_majority.observe(database, applied); },
          [this] { schedule(Clock::now()); })
    , m_majority(m_service.databasesExpected)
{
}

OwnedGroup::~OwnedGroup()
{
    *m_alive = false;
}

std::string OwnedGroup::subject() const
{
    return "group " + m_name;
}

void OwnedGroup::explain(const StatementRun &run, const char *step, std::string_view detail)
{
    m_context.explain.add(run.request().request_id(), step, detail, Clock::now());
}

StatementRun *OwnedGroup::find(std::uint64_t id)
{
    const auto found = m_runs.find(id);
    return found == m_runs.end() ? nullptr : found->second.get();
}

WorkClassifier &OwnedGroup::classifier(const std::string &service)
{
    return m_classifiers[service];
}

void OwnedGroup::configure(const wire::GroupDirectory &directory, const ServiceView &service, TimePoint now)
{
    const auto formerTerm = m_members.view().term();
    if (service.databasesExpected != m_service.databasesExpected) {
        for (const auto id : m_majority.takeEnded(UINT64_MAX)) {
            if (auto *run = find(id)) {
                leaveUnknown(*run, UnknownReason::MajorityNotConfirmed);
            }
        }
        m_majority = MajorityWait(service.databasesExpected);
    }
    m_service = service;
    m_queue.configure(service.limits, service.policy, now);
    m_members.update(directory, service, now);
    if (formerTerm != 0 && directory.term() > formerTerm) {
        endTerm(directory.term() - 1);
    }
    schedule(now);
}

void OwnedGroup::setLeaving(std::string_view database, bool isLeaving, TimePoint now)
{
    m_members.setLeaving(database, isLeaving, now);
    schedule(now);
}

void OwnedGroup::submit(StatementJob &&job)
{
    const auto now = Clock::now();
    auto created = std::make_unique<StatementRun>();
    auto &run = *created;
    run.id = ++m_nextId;
    run.job = std::move(job);
    m_runs.emplace(run.id, std::move(created));
    ++m_openRequests;
    if (const auto reason = prepare(run, now)) {
        refuse(run, *reason);
        return;
    }
    if (run.request().must_not_repeat() && !run.isTransactionStep() && run.request().action() == wire::RUN) {
        beginIntent(run, now);
        return;
    }
    if (run.isTransactionStep() && run.request().action() != wire::RUN) {
        // Commit and rollback need no slot and give resources back, so they don't wait.
        startStep(run, *m_transactions.find(run.request().transaction()), now);
        return;
    }
    if (joinSession(run)) {
        return;
    }
    admit(run, now);
    schedule(now);
}

std::optional<RefusalReason> OwnedGroup::prepare(StatementRun &run, TimePoint now)
{
    const auto &request = run.request();
    if (run.job.deadline <= now) {
        return RefusalReason::DeadlinePassed;
    }
    if (run.isTransactionStep()) {
        return prepareStep(run);
    }
    run.service = request.service();
    const auto *service = m_context.directory.service(run.service);
    if (service == nullptr || service->group != m_name) {
        return RefusalReason::UnknownService;
    }
    run.acknowledgesMajority = service->acknowledgesMajority;
    run.readsReplicas = service->policy.readsReplicas;
    m_budgets[run.service].onRequest();
    if (!request.session().empty()) {
        auto token = decodeSessionToken(request.session(), m_context.keys);
        if (!token) {
            return RefusalReason::BadSessionToken;
        }
        run.token = std::move(*token);
    }
    run.requirement.mode = freshnessModeFromCode(request.freshness()).value_or(FreshnessMode::Session);
    run.requirement.maxAge = std::chrono::milliseconds(request.max_age_ms());
    run.requirement.session = run.token.position(run.service);
    run.requirement.arrivedAt = now;
    if (!run.isRead() && run.requirement.session && m_members.history().fate(run.requirement.session->seen) == WriteFate::Lost) {
        return RefusalReason::SessionWriteLost;
    }
    classify(run);
    return std::nullopt;
}

std::optional<RefusalReason> OwnedGroup::prepareStep(StatementRun &run)
{
    const auto &id = run.request().transaction();
    auto *transaction = m_transactions.find(id);
    if (transaction == nullptr) {
        return m_transactions.whyEnded(id);
    }
    if (transaction->isBusy || (!run.request().service().empty() && run.request().service() != transaction->service)) {
        return RefusalReason::BadTransaction;
    }
    if (!run.request().session().empty()) {
        const auto token = decodeSessionToken(run.request().session(), m_context.keys);
        if (!token) {
            return RefusalReason::BadSessionToken;
        }
        transaction->token.merge(*token);
    }
    transaction->isBusy = true;
    run.holdsTransaction = true;
    run.service = transaction->service;
    run.token = transaction->token;
    run.acknowledgesMajority = m_service.acknowledgesMajority;
    if (const auto *service = m_context.directory.service(run.service)) {
        run.acknowledgesMajority = service->acknowledgesMajority;
    }
    classify(run);
    return std::nullopt;
}

void OwnedGroup::classify(StatementRun &run)
{
    run.fingerprint = fingerprint(run.request().statement());
    auto &costs = classifier(run.service);
    const auto hint = workClassFromCode(run.request().work_class());
    run.workClass = costs.classify(run.fingerprint, hint);
    run.predictedCost = costs.predictedCost(run.fingerprint, hint);
}

void OwnedGroup::beginIntent(StatementRun &run, TimePoint now)
{
    run.phase = StatementRun::Phase::Intent;
    if (!run.intent) {
        run.intent = randomIdentifier();
    }
    run.retryAt = TimePoint::max();
    const IntentKey key {run.service, run.request().idempotency_key(), *run.intent};
    m_context.intents.begin(key, hash64(run.request().statement()), now, run.job.deadline,
                            [this, id = run.id, alive = m_alive](wire::IntentState state, const wire::StatementAnswer &answer) {
                                if (*alive) {
                                    onIntent(id, state, answer);
                                }
                            });
}

void OwnedGroup::onIntent(std::uint64_t id, wire::IntentState state, const wire::StatementAnswer &recorded)
{
    auto *run = find(id);
    const auto now = Clock::now();
    if (run == nullptr || run->phase != StatementRun::Phase::Intent) {
        return;
    }
    explain(*run, "at-most-once record", wire::IntentState_Name(state));
    switch (state) {
    case wire::GRANTED:
        if (m_isHandingOver || !m_isOwning) {
            refuse(*run, m_isHandingOver ? RefusalReason::Draining : RefusalReason::LeaseLost);
            return;
        }
        admit(*run, now);
        schedule(now);
        return;
    case wire::FINISHED: {
        run->intent.reset();
        auto copy = recorded;
        copy.set_request_id(run->request().request_id());
        answer(*run, std::move(copy));
        return;
    }
    case wire::IN_PROGRESS:
        run->waitReason = RefusalReason::KeyInProgress;
        run->retryAt = now + intentPollInterval;
        return;
    case wire::NOT_REPEATED:
        run->intent.reset();
        leaveUnknown(*run, UnknownReason::NotRepeated);
        return;
    case wire::UNAVAILABLE:
        refuse(*run, RefusalReason::IntentUnavailable);
        return;
    default:
        run->intent.reset();
        refuse(*run, refusalOf(state));
        return;
    }
}

bool OwnedGroup::joinSession(StatementRun &run)
{
    const auto &session = run.request().session();
    if (session.empty() || run.isTransactionStep()) {
        return false;
    }
    if (!run.isRead()) {
        ++m_pendingWrites[session].count;
        return false;
    }
    const auto pending = m_pendingWrites.find(session);
    if (run.requirement.mode != FreshnessMode::Session || pending == m_pendingWrites.end()) {
        return false;
    }
    run.phase = StatementRun::Phase::Session;
    pending->second.waiting.push_back(run.id);
    explain(run, "waits for a pending write of its session");
    return true;
}

void OwnedGroup::leaveSession(const StatementRun &run)
{
    const auto &session = run.request().session();
    if (session.empty() || run.isRead() || run.isTransactionStep()) {
        return;
    }
    const auto pending = m_pendingWrites.find(session);
    if (pending == m_pendingWrites.end() || --pending->second.count > 0) {
        return;
    }
    const auto waiting = std::move(pending->second.waiting);
    m_pendingWrites.erase(pending);
    const auto now = Clock::now();
    for (const auto id : waiting) {
        if (auto *read = find(id); read != nullptr && read->phase == StatementRun::Phase::Session) {
            read->token.merge(run.token);
            read->requirement.session = read->token.position(read->service);
            admit(*read, now);
        }
    }
}

void OwnedGroup::admit(StatementRun &run, TimePoint now)
{
    run.phase = StatementRun::Phase::Queued;
    const auto &weights = m_service.policy.weights;
    const auto weight = weights.find(run.request().operation());
    const bool requiresPrimary = !run.isRead() || run.isTransactionStep() || !run.readsReplicas || run.requirement.mode == FreshnessMode::Primary
        || (run.requirement.mode == FreshnessMode::Session && !run.requirement.session);
    QueuedStatement queued {.id = run.id,
                            .workClass = run.workClass,
                            .requiresPrimary = requiresPrimary,
                            .caller = run.request().caller(),
                            .weight = weight == weights.end() ? 1.0 : weight->second,
                            .predictedCost = run.predictedCost,
                            .arrivedAt = run.job.arrivedAt,
                            .deadline = run.job.deadline};
    if (m_service.policy.predictsDeadlines && run.acknowledgesMajority && run.isAcknowledgedWrite()) {
        queued.deadline = m_confirmations.runBy(queued.deadline, now);
    }
    auto slots = SlotSchedule::slotsFor(queued, m_members.states(), m_members.primaryIndex());
    if (slots.onPrimary <= 0.0 && (queued.requiresPrimary || slots.onReplicas <= 0.0)) {
        // During a failover no slot is there yet; the prediction then assumes those of the next primary.
        const auto states = m_members.states();
        const auto most = std::max_element(states.begin(), states.end(), [](const auto &a, const auto &b) { return a.limit < b.limit; });
        slots.onPrimary = most == states.end() ? 1.0 : static_cast<double>(std::max<std::size_t>(1, most->limit));
    }
    const auto result = m_queue.admit(std::move(queued), slots, now);
    if (!result.refusal) {
        explain(run, "queued", run.workClass == WorkClass::Long ? "long" : "short");
    }
    // From here on the run may be gone: the refusal below ends the write of a session whose reads then enter the queue.
    if (result.displaced) {
        if (auto *displaced = find(result.displaced->statement.id)) {
            refuse(*displaced, result.displaced->reason);
        }
    }
    if (result.refusal) {
        refuse(run, *result.refusal == RefusalReason::DeadlinePassed ? waitReason(run, now) : *result.refusal);
    }
}

bool OwnedGroup::cancel(const std::string &requestId)
{
    const auto found = std::find_if(m_runs.begin(), m_runs.end(), [&](const auto &entry) { return entry.second->request().request_id() == requestId; });
    if (found == m_runs.end()) {
        return false;
    }
    auto &run = *found->second;
    const bool hasStarted = run.attempts > 0 || run.phase == StatementRun::Phase::Answered;
    if (hasStarted) {
        return false;
    }
    refuse(run, RefusalReason::Cancelled);
    return true;
}

void OwnedGroup::tick(TimePoint now)
{
    m_members.tick(m_queue.size(), m_majority.size() > 0, now);
    confirmMajority(now);
    for (const auto &refused : m_queue.takeOverdue(now)) {
        if (auto *run = find(refused.statement.id)) {
            refuse(*run, refused.reason == RefusalReason::DeadlinePassed ? waitReason(*run, now) : refused.reason);
        }
    }
    checkDeadlines(now);
    retryDue(now);
    reclassifyDue(now);
    expireTransactions(now);
    checkHold(now);
    schedule(now);
    hedgeDue(now);
}

RefusalReason OwnedGroup::waitReason(const StatementRun &run, TimePoint now)
{
    if (run.waitReason != RefusalReason::DeadlinePassed) {
        return run.waitReason;
    }
    if (!run.isRead() && !isHeld(now)) {
        const auto *primary = m_members.primary();
        if (primary == nullptr) {
            return RefusalReason::NoPrimary;
        }
        if (primary->pool.isFailing()) {
            return RefusalReason::ConnectionFailed;
        }
    }
    // A majority write leaves the queue ahead of its deadline, by the time that its confirmation takes.
    return run.job.deadline > now ? RefusalReason::DeadlineUnreachable : RefusalReason::DeadlinePassed;
}

void OwnedGroup::checkDeadlines(TimePoint now)
{
    std::vector<std::uint64_t> due;
    for (const auto &[id, run] : m_runs) {
        if (run->phase == StatementRun::Phase::Answered) {
            continue;
        }
        const bool isPollDue = run->phase == StatementRun::Phase::Intent && run->retryAt <= now;
        if (run->job.deadline <= now || isPollDue) {
            due.push_back(id);
        }
    }
    for (const auto id : due) {
        auto *run = find(id);
        if (run == nullptr) {
            continue;
        }
        if (run->job.deadline > now) {
            beginIntent(*run, now);
        } else if (run->phase == StatementRun::Phase::Acknowledging) {
            m_majority.cancel(id);
            m_confirmations.observe(now - run->ranAt, now);
            leaveUnknown(*run, UnknownReason::MajorityNotConfirmed);
        } else if (run->attemptsRunning > 0) {
            leaveUnknown(*run, UnknownReason::DeadlinePassedRunning);
        } else if (run->phase == StatementRun::Phase::Retrying && run->retryOutcome && run->retryOutcome->uncertainty()) {
            leaveUnknown(*run, *run->retryOutcome->uncertainty());
        } else {
            refuse(*run, waitReason(*run, now));
        }
    }
}

void OwnedGroup::setOwning(bool isOwning, TimePoint now)
{
    if (isOwning) {
        m_isHandingOver = false;
    }
    if (isOwning == m_isOwning) {
        return;
    }
    m_isOwning = isOwning;
    m_members.setOwning(isOwning, now);
    if (isOwning) {
        schedule(now);
        return;
    }
    endTerm(UINT64_MAX);
    std::vector<std::uint64_t> waiting;
    for (const auto &[id, run] : m_runs) {
        const bool isServedWithoutLease = run->isRead() && (run->requirement.mode == FreshnessMode::MaxAge || run->requirement.mode == FreshnessMode::Any);
        const bool isWaiting = run->phase == StatementRun::Phase::Queued || run->phase == StatementRun::Phase::Session;
        if (isWaiting && !isServedWithoutLease) {
            waiting.push_back(id);
        }
    }
    for (const auto id : waiting) {
        if (auto *run = find(id)) {
            refuse(*run, RefusalReason::LeaseLost);
        }
    }
}

void OwnedGroup::handOver()
{
    m_isHandingOver = true;
    std::vector<std::uint64_t> waiting;
    for (const auto &[id, run] : m_runs) {
        const bool isWaiting = run->phase == StatementRun::Phase::Queued || run->phase == StatementRun::Phase::Session;
        if (isWaiting && !run->isTransactionStep()) {
            waiting.push_back(id);
        }
    }
    for (const auto id : waiting) {
        if (auto *run = find(id)) {
            refuse(*run, RefusalReason::Draining);
        }
    }
}

void OwnedGroup::endTerm(std::uint64_t term)
{
    endTransactions(term);
    for (const auto id : m_majority.takeEnded(term)) {
        if (auto *run = find(id)) {
            leaveUnknown(*run, UnknownReason::LeaseLostRunning);
        }
    }
    std::vector<std::uint64_t> running;
    for (const auto &[id, attempt] : m_attempts) {
        if (attempt.isWrite && attempt.term <= term) {
            running.push_back(attempt.run);
        }
    }
    for (const auto id : running) {
        if (auto *run = find(id); run != nullptr && run->phase == StatementRun::Phase::Running) {
            leaveUnknown(*run, UnknownReason::LeaseLostRunning);
        }
    }
    if (m_hold && m_hold->term <= term) {
        m_hold.reset();
    }
}

void OwnedGroup::holdWrites(std::uint64_t term, Duration limit, std::function<void(std::uint64_t position)> onDrained)
{
    const auto now = Clock::now();
    if (term != m_members.view().term()) {
        return;
    }
    m_hold = Hold {term, now + limit, std::move(onDrained)};
    checkHold(now);
}

void OwnedGroup::checkHold(TimePoint now)
{
    if (!m_hold) {
        return;
    }
    if (m_hold->until <= now) {
        m_hold.reset();
        schedule(now);
        return;
    }
    const bool isWriting = std::any_of(m_attempts.begin(), m_attempts.end(), [](const auto &entry) { return entry.second.isWrite; });
    if (!m_hold->onDrained || isWriting || m_transactions.size() > 0 || m_majority.size() > 0) {
        return;
    }
    const auto applied = m_members.view().applied(m_members.view().primary());
    const auto report = std::exchange(m_hold->onDrained, nullptr);
    report(applied ? applied->position : 0);
}

} // namespace waxwing
