#include "statement_exchange.h"

#include <waxwing/platform/database_wire.h>
#include <waxwing/sessions/open_transaction.h>
#include <waxwing/sessions/statement_log.h>
#include <waxwing/sessions/statement_path.h>
#include <waxwing/support/counter.h>
#include <waxwing/support/invariant.h>
#include <waxwing/support/log.h>
#include <waxwing/support/metrics.h>
#include <waxwing/support/quantiles.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

namespace waxwing
{

namespace asio = boost::asio;

namespace
{

// A read that is unanswered after this share of its time is retried on another database. The share is large because long
// statements are common and unresponsive databases are rare.
constexpr double readAttemptShare = 0.6;
// Delay after a database refused a statement for lack of slots; about the duration of one statement.
constexpr Duration busyRetryDelay = 15ms;
// If the primary has not answered this proxy for this long, either it is being replaced or only other proxies reach it.
constexpr Duration primarySilenceTimeout = 400ms;
constexpr Duration directoryPollInterval = 25ms;
// Time from the start of the process until its directory and lease arrive: the search for the leader and two round trips.
constexpr Duration usualStart = 1s;
// Reply times assumed before the first measurement: 5 to 34 ms of work, and a round trip of 24 or 40 ms between regions. They
// are at the low end of these ranges, so that databases without a recent measurement are tried.
constexpr Duration nearReplyTime = 5ms;
constexpr Duration farReplyTime = 45ms;
// Traffic between regions costs a few percent of the statement; expressed as time, about this much.
constexpr Duration crossRegionCost = 15ms;
// Statements that a database runs at the same time; those known have 4 or 5 slots.
constexpr int usualSlots = 4;
// A database that recently left a statement unanswered is chosen last.
constexpr Duration unresponsiveCost = 10s;
// An attempt on a replica that lacks the required position is wasted, which costs more than waiting in any queue.
constexpr Duration laggingCost = 2s;
// A statement is refused immediately if its expected latency exceeds this share of its latency target: served late, it would
// delay others as well.
constexpr double maxLatencyTargetShare = 0.75;
// Margin when proving the age of data, for the time between the arrival of the caller's bytes and their reading here.
constexpr Duration ageMargin = 100ms;
// A rollback needs no slot, so its answer takes only a round trip.
constexpr Duration rollbackTimeout = 500ms;
constexpr std::string_view holderReplacedReason = "holder-replaced";
constexpr std::string_view primaryOutOfReachReason = "primary-out-of-reach";
constexpr std::string_view noLeaseReason = "no-lease";
constexpr std::string_view noPrimaryReason = "no-primary";
constexpr std::string_view notPrimaryReason = "not-primary";
constexpr std::string_view leaseLostReason = "lease-lost";
constexpr std::string_view queueFullReason = "queue-full";
constexpr std::string_view deadlineUnreachableReason = "deadline-unreachable";
constexpr std::string_view noConnectionReason = "no-connection";
constexpr std::string_view stoppingReason = "stopping";
constexpr std::string_view noDirectoryReason = "no-directory";
// Connections that a statement may find in another state than the recorded one. Each is replaced, which costs the database a slot, and
// a refusal that all of them give is not about the connection.
constexpr unsigned maxUnusableConnections = 3;
// Expected time until the next attempt succeeds where nothing tells it, such as after a lost answer.
constexpr Duration usualRetryDelay = 300ms;

/// Adds the first statement of an attempt: either the statement itself, or the BEGIN of its transaction. The statement is sent only
/// after the BEGIN was answered, because it would run outside of a transaction if the BEGIN were refused.
/// @param verifies run a read in a read-write transaction, which a database refuses if it is no longer the primary
void addFirst(StatementExchange &exchange, const SessionJob &job, const std::optional<TermPosition> &after, bool verifies)
{
    if (job.begins || verifies) {
        const auto begin = platform::beginText(job.readOnly && !verifies);
        exchange.add(platform::encodeOwnStatement(after ? platform::afterText(*after, begin) : begin));
    } else if (after) {
        exchange.add(platform::encodeStatementAfter(job.id, *after, exchange.text(job)));
    } else {
        exchange.add(platform::encodeStatement(job.id, exchange.text(job)));
    }
}

/// Tells whether a refusal is due to this proxy only, so that another holder may run the statement.
bool isLocal(std::string_view reason)
{
    return reason == primaryOutOfReachReason || reason == noLeaseReason || reason == noDirectoryReason;
}

/// Returns the first failed reply, because the statement then ran without that command or not at all; otherwise the last one.
PoolReply &decisiveReply(std::vector<PoolReply> &replies)
{
    const auto failed = std::find_if(replies.begin(), replies.end(), [](const PoolReply &one) { return one.error != SessionError::None; });
    return failed == replies.end() ? replies.back() : *failed;
}

/// Tells whether the last command of an exchange may have run; some errors guarantee that it did not.
bool mayHaveRun(const DatabaseConnection::RunResult &answer)
{
    if (answer.status == DatabaseConnection::RunStatus::NotSent) {
        return false;
    }
    const bool answered = answer.status == DatabaseConnection::RunStatus::Complete;
    const auto error = answered ? answer.replies.back().error : SessionError::None;
    return error != SessionError::Busy && error != SessionError::UnknownStatement && error != SessionError::Lagging && error != SessionError::ReadOnly;
}

/// Seed that differs between processes, also between two runs of one proxy.
std::uint64_t processSeed(const SessionDirectory &directory)
{
    return std::hash<std::string>()(directory.options().proxy) ^ static_cast<std::uint64_t>(Clock::now().time_since_epoch().count());
}

void countRetry(std::string_view reason)
{
    Metrics::instance().counter("waxwing_session_retries_total", "reason", reason).add();
}

} // namespace

StatementPath::StatementPath(SessionDirectory &directory)
    : m_directory(directory)
    , m_start(usualStart)
    , m_advice(processSeed(directory))
    , m_balancing(processSeed(directory))
{
    m_start.begin(Clock::now());
}

void StatementPath::stop()
{
    m_stopping = true;
    m_directory.endWaits();
}

bool StatementPath::hasTimeFor(const SessionJob &job) const
{
    const auto needed = job.route.latencyTarget == Duration::zero() ? job.route.statementTimeout : job.route.latencyTarget;
    return !m_interrupted && (!m_stopping || !m_end || Clock::now() + needed <= *m_end);
}

asio::awaitable<StatementResult> StatementPath::run(const SessionJob &job)
{
    Attempts attempts;
    StatementResult result;
    ++m_statements;
    auto *service = m_directory.service(job.route.service);
    asio::steady_timer pause(co_await asio::this_coro::executor);
    while (!m_interrupted && Clock::now() < job.deadline) {
        if (service == nullptr) {
            if (m_stopping || !mayWaitForDirectory(job, attempts)) {
                break;
            }
            pause.expires_after(directoryPollInterval);
            co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
            service = m_directory.service(job.route.service);
            continue;
        }
        if (!service->holdsConnections()) {
            attempts.lastReason = holderReplacedReason;
            break;
        }
        const auto choice = choose(job, *service, attempts);
        if (isPrimaryUnreachable(job, *service, attempts)) {
            break;
        }
        if (!choice.pool) {
            if (!choice.refusal.empty()) {
                attempts.lastReason = choice.refusal;
                break;
            }
            if (refusesToWait(job)) {
                break;
            }
            if (!attempts.excluded.empty()) {
                attempts.excluded.clear();
                pause.expires_after(busyRetryDelay);
                co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
            } else {
                if (!mayWaitForPrimary(job, *service, attempts)) {
                    break;
                }
                co_await service->waitForChange(job.deadline);
            }
            continue;
        }
        const auto attemptOutcome = co_await attempt(job, *service, choice, attempts, result);
        settleCommit(*service, attempts);
        if (attemptOutcome == AttemptOutcome::Finished) {
            result.retries = attempts.count;
            result.retryReason = attempts.count == 0 ? std::string_view() : attempts.lastReason;
            if (result.error == SessionError::None) {
                recordSuccess(job, {result.database, result.retries, result.retryReason, result.queued, result.ran});
            }
            co_return result;
        }
        // A statement that may have persisted is never sent a second time, whatever its answer was.
        if (!WAXWING_INVARIANT(!attempts.mayHavePersisted, "persistent-statement-sent-once")) {
            result.error = SessionError::Unknown;
            result.text = "sent before, without a clear answer";
            co_return result;
        }
        if (attemptOutcome == AttemptOutcome::GiveUp) {
            break;
        }
        ++attempts.count;
        if (refusesToWait(job) && attemptOutcome != AttemptOutcome::Retry) {
            break;
        }
        if (attemptOutcome == AttemptOutcome::RetryLater) {
            pause.expires_after(busyRetryDelay);
            co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
        } else if (attemptOutcome == AttemptOutcome::AwaitPrimary) {
            const auto reason = attempts.lastReason;
            if (!mayWaitForPrimary(job, *service, attempts)) {
                attempts.lastReason = reason;
                break;
            }
            co_await service->waitForChange(job.deadline);
        }
    }
    if (m_stopping) {
        attempts.lastReason = stoppingReason;
    }
    co_return refuse(job, service, attempts);
}

Duration StatementPath::expectedTime(const SessionJob &job, const DatabasePool &pool, TimePoint now) const
{
    const bool crossesRegion = m_directory.distance(pool.member().failure_domain()) > 1;
    return pool.expectedWait(job.rank(), now) + pool.expectedReply(crossesRegion ? farReplyTime : nearReplyTime, now);
}

LoadCandidate StatementPath::describe(const SessionJob &job, const DatabasePool &pool, bool isPrimary, TimePoint now) const
{
    const bool crossesRegion = m_directory.distance(pool.member().failure_domain()) > 1;
    LoadCandidate candidate;
    candidate.distanceClass = crossesRegion ? 1 : 0;
    candidate.distanceCost = crossesRegion ? crossRegionCost : Duration::zero();
    candidate.penalty += pool.isSuspect(now) ? unresponsiveCost : Duration::zero();
    candidate.penalty += !isPrimary && pool.isLagging(now) ? laggingCost : Duration::zero();
    candidate.queueTime = pool.expectedWait(job.rank(), now);
    candidate.assumed = crossesRegion ? farReplyTime : nearReplyTime;
    candidate.measured = pool.measuredReply();
    candidate.age = pool.measurementAge(now);
    candidate.sentSince = pool.sentSinceMeasurement();
    candidate.timePerSent = candidate.measured.value_or(candidate.assumed) / usualSlots;
    return candidate;
}

std::string_view StatementPath::overload(const SessionJob &job, const DatabasePool &pool, TimePoint now) const
{
    const auto left = job.deadline - now;
    if (pool.expectedWait(job.rank(), now) == Duration::zero()) {
        // Only measurements justify a refusal while a connection is free.
        return pool.expectedReply(Duration::zero(), now) > left ? deadlineUnreachableReason : std::string_view();
    }
    const auto expected = expectedTime(job, pool, now);
    if (expected > left) {
        return deadlineUnreachableReason;
    }
    const auto target = job.route.latencyTarget == Duration::zero() ? job.route.statementTimeout : job.route.latencyTarget;
    return expected > std::chrono::duration_cast<Duration>(target * maxLatencyTargetShare) ? queueFullReason : std::string_view();
}

bool StatementPath::mayWaitForDirectory(const SessionJob &job, Attempts &attempts) const
{
    const auto now = Clock::now();
    attempts.lastReason = noDirectoryReason;
    return m_start.expectedRest(now) <= job.deadline - now;
}

bool StatementPath::mayWaitForPrimary(const SessionJob &job, ServiceState &service, Attempts &attempts) const
{
    const auto now = Clock::now();
    const auto left = job.deadline - now;
    const auto &lease = m_directory.lease();
    if (service.hasPrimary() && !lease.isValid(now)) {
        // Another holder may have a lease. A read that lost its lease while it ran waits here as it would at its own proxy.
        const bool declines = job.forwarded && service.holders().size() > 1 && attempts.lastReason != leaseLostReason;
        attempts.lastReason = noLeaseReason;
        if (declines) {
            return false;
        }
        return (lease.expiresAt() == TimePoint() ? m_start.expectedRest(now) : m_directory.expectedLeaseLoss(now)) <= left;
    }
    service.primaryChange().begin(now);
    attempts.lastReason = noPrimaryReason;
    return service.primaryChange().expectedRest(now) <= left;
}

bool StatementPath::isPrimaryUnreachable(const SessionJob &job, const ServiceState &service, Attempts &attempts) const
{
    // The caller's retry goes to another proxy, which may reach the primary. Waiting here does not help until control replaces
    // the primary.
    const auto now = Clock::now();
    const auto primary = service.primary();
    const bool declines = job.forwarded && service.holders().size() > 1; // the next holder may reach the primary at once
    if (!job.needsPrimary() || !primary || (now - job.receivedAt < primarySilenceTimeout && !declines) || !primary->isSilent(now, primarySilenceTimeout)) {
        return false;
    }
    attempts.lastReason = primaryOutOfReachReason;
    return true;
}

std::optional<TermPosition> StatementPath::requiredPosition(const SessionJob &job, const ServiceState &service) const
{
    auto required = service.history().proof(job.receivedAt - job.route.maxAge + ageMargin);
    if (!required || job.route.freshness != Freshness::OwnWrites) {
        return required;
    }
    if (const auto own = job.session->positions.find(service.name()); own != job.session->positions.end()) {
        required = std::max(*required, own->second);
    }
    return required;
}

bool StatementPath::needsLease(const SessionJob &job) const
{
    if (m_directory.options().replacedPrimaryStops) {
        return !job.writes && !(job.begins && !job.readOnly);
    }
    // A replaced primary that goes on answers everything; a commit still takes a replica, see mayAcknowledge().
    return !job.mayPersist();
}

bool StatementPath::requiresLease(const SessionJob &job) const
{
    return job.needsPrimary() && !(needsLease(job) && m_directory.options().replacedPrimaryStops);
}

StatementPath::Choice StatementPath::choosePrimary(const ServiceState &service) const
{
    Choice choice;
    choice.pool = service.primary();
    if (choice.pool && choice.pool->isPastDrainLimit(Clock::now())) {
        choice.pool = nullptr;
    }
    choice.primary = true;
    choice.epoch = service.epoch();
    return choice;
}

StatementPath::Choice StatementPath::choose(const SessionJob &job, const ServiceState &service, const Attempts &attempts)
{
    const auto now = Clock::now();
    auto primary = choosePrimary(service);
    const bool leased = m_directory.lease().covers(service.name(), service.epoch(), now);
    const bool stops = m_directory.options().replacedPrimaryStops;
    if (job.needsPrimary()) {
        const bool mayRun = leased || !requiresLease(job);
        primary.verifies = needsLease(job) && !leased;
        if (primary.pool && (!mayRun || attempts.excluded.contains(primary.pool->member().id()))) {
            primary.pool = nullptr;
        } else if (primary.pool) {
            primary.refusal = overload(job, *primary.pool, now);
            primary.pool = primary.refusal.empty() ? primary.pool : nullptr;
        }
        return primary;
    }
    const auto required = requiredPosition(job, service);
    std::vector<Choice> choices;
    std::vector<LoadCandidate> candidates;
    std::string_view refusal;
    for (const auto &[id, pool] : service.pools()) {
        const bool isPrimary = pool == primary.pool;
        const bool leasedPrimary = isPrimary && leased;
        if (pool->member().draining() || attempts.excluded.contains(id) || (!leasedPrimary && !required)) {
            continue;
        }
        if (const auto reason = overload(job, *pool, now); !reason.empty()) {
            refusal = reason;
            continue;
        }
        choices.push_back(leasedPrimary ? primary : Choice {pool, required, false, service.epoch()});
        candidates.push_back(describe(job, *pool, isPrimary, now));
    }
    if (const auto chosen = m_balancing.choose(candidates)) {
        if (chosen->balanced) {
            static auto &balanced = Metrics::instance().counter("waxwing_session_balanced_choices_total", "of", "database");
            balanced.add();
        }
        return choices[chosen->index];
    }
    primary.verifies = !leased;
    if (refusal.empty() && (leased || stops) && primary.pool && !attempts.excluded.contains(primary.pool->member().id())) {
        return primary; // it is draining or its position is unknown, but no other database can run the statement
    }
    Choice none;
    none.refusal = refusal;
    return none;
}

asio::awaitable<StatementPath::AttemptOutcome> StatementPath::attempt(const SessionJob &job, ServiceState &service, const Choice &choice, Attempts &attempts,
                                                                      StatementResult &result)
{
    const auto pool = choice.pool;
    auto limit = job.deadline;
    if (!job.mayPersist()) {
        const auto part = std::chrono::duration_cast<Duration>((job.deadline - job.receivedAt) * readAttemptShare);
        limit = std::min(job.deadline, Clock::now() + part);
    }
    // With a connection that comes too late for the answer, a write would run without its caller learning so.
    const auto lastStart = limit - pool->expectedReply(Duration::zero(), Clock::now());
    auto connection = co_await pool->acquire(*job.session, job.workspace, job.rank(), refusesToWait(job) ? Clock::now() : lastStart);
    if (!connection) {
        attempts.excluded.insert(pool->member().id());
        attempts.lastReason = noConnectionReason;
        if (limit == job.deadline && Clock::now() >= lastStart) {
            co_return AttemptOutcome::GiveUp;
        }
        countRetry(noConnectionReason);
        co_return AttemptOutcome::Retry;
    }
    // The directory may have changed while the statement waited.
    if (pool->isClosed() || pool->isPastDrainLimit(Clock::now()) || (choice.primary && (service.epoch() != choice.epoch || service.primary() != pool))
        || (!choice.primary && pool->member().draining())) {
        pool->release(std::move(connection));
        countRetry("directory-changed");
        co_return AttemptOutcome::Retry;
    }
    StatementExchange exchange(*connection, pool->member().id());
    exchange.addPreparation(job);
    addFirst(exchange, job, choice.after, choice.verifies);
    const auto sentAt = Clock::now();
    attempts.sent = true;
    if (job.writes && job.mayPersist()) {
        attempts.commit = service.commits().send(sentAt);
    }
    auto answer = co_await exchangeOnce(job, service, *pool, *connection, exchange.bytes(), exchange.commands(), limit);
    const auto *refused = exchange.findRefusedPreparation(job, answer.replies);
    if (refused != nullptr && answer.status == DatabaseConnection::RunStatus::Complete) {
        connection->close();
        pool->release(std::move(connection));
        const bool wasSent = !job.begins && !choice.verifies; // otherwise it would have followed the answer to the BEGIN
        attempts.mayHavePersisted = job.mayPersist() && wasSent && mayHaveRun(answer);
        co_return handleRefusedPreparation(job, attempts, *refused, wasSent && mayHaveRun(answer), result);
    }
    attempts.mayHavePersisted = job.mayPersist() && mayHaveRun(answer);
    const bool begun = (job.begins || choice.verifies) && answer.status == DatabaseConnection::RunStatus::Complete
        && decisiveReply(answer.replies).error == SessionError::None;
    if (begun) {
        const auto statement = platform::encodeStatement(job.id, exchange.text(job));
        answer = co_await exchangeOnce(job, service, *pool, *connection, statement, 1, limit);
    }
    if (answer.status != DatabaseConnection::RunStatus::Complete) {
        pool->release(std::move(connection));
        if (begun && job.begins) {
            co_return failBegunTransaction(result, "the connection to the database was lost; nothing is kept");
        }
        co_return handleNoReply(job, choice, attempts, answer.status, result);
    }
    const auto answeredAt = Clock::now();
    result.database = pool->member().id();
    result.queued = sentAt - job.receivedAt;
    result.ran = answeredAt - sentAt;
    auto &reply = decisiveReply(answer.replies);
    const bool succeeded = reply.error == SessionError::None;
    const bool leased = m_directory.lease().covers(service.name(), choice.epoch, answeredAt) && service.epoch() == choice.epoch;
    // A successful write or read-write transaction proves that the database was the primary, unless a replaced primary goes on.
    const bool primaryWasLeading = leased || (m_directory.options().replacedPrimaryStops && (choice.verifies || job.writes));
    if (choice.primary && succeeded && primaryWasLeading && answer.replies.back().position) {
        service.history().add(*answer.replies.back().position, sentAt);
    }
    if (reply.error == SessionError::UnknownStatement) {
        connection->close(); // it lacks what it was prepared with, so its values are not certain either
    }
    const bool staysOpen = job.begins && !job.commits && succeeded;
    const bool leaseLost = succeeded && choice.primary && needsLease(job) && !leased && !choice.verifies;
    const bool commits = succeeded && job.writes && job.mayPersist();
    if (staysOpen && !leaseLost && answer.replies.back().state == TransactionState::Open) {
        result.transaction = std::make_unique<OpenTransaction>(pool, std::move(connection), choice.epoch, job.writes);
    } else {
        const auto state = answer.replies.back().state;
        asio::co_spawn(co_await asio::this_coro::executor, resetAndRelease(pool, std::move(connection), state), asio::detached);
    }
    if (leaseLost) {
        if (begun && job.begins) {
            co_return failBegunTransaction(result, "the primary may have been replaced; nothing is kept");
        }
        attempts.lastReason = leaseLostReason;
        countRetry(leaseLostReason);
        co_return AttemptOutcome::AwaitPrimary;
    }
    if (choice.after) {
        pool->recordLag(reply.error == SessionError::Lagging, answeredAt);
    }
    bool acknowledged = true;
    if (commits) {
        acknowledged = co_await m_directory.awaitAcknowledgement(service, choice.epoch, job.deadline);
    }
    if (!acknowledged) {
        // Control may have chosen a new primary that lacks this commit.
        result.error = SessionError::Unknown;
        result.text = "the primary was replaced while the statement ran";
        co_return AttemptOutcome::Finished;
    }
    co_return evaluateReply(job, service, choice, attempts, reply, result);
}

asio::awaitable<DatabaseConnection::RunResult> StatementPath::exchangeOnce(const SessionJob &job, ServiceState &service, DatabasePool &pool,
                                                                           DatabaseConnection &connection, const std::string &bytes, std::size_t commands,
                                                                           TimePoint limit)
{
    pool.recordSent(Clock::now());
    if (job.writes) {
        service.recordWriteSent(Clock::now());
    }
    const auto sentAt = Clock::now();
    auto answer = co_await connection.run(bytes, commands, limit);
    const auto now = Clock::now();
    const bool complete = answer.status == DatabaseConnection::RunStatus::Complete;
    if (job.writes) {
        service.recordWriteEnded(complete, now);
    }
    if (complete) {
        pool.recordReply(now);
        if (answer.replies.back().error == SessionError::None) {
            pool.recordReplyTime(now - sentAt, now);
        }
    } else {
        pool.recordNoReply(now);
    }
    co_return answer;
}

void StatementPath::settleCommit(ServiceState &service, Attempts &attempts)
{
    if (!attempts.commit) {
        return;
    }
    if (attempts.mayHavePersisted) {
        service.commits().abandon(*attempts.commit, Clock::now()); // no effect on an acknowledged one
    } else {
        service.commits().discard(*attempts.commit);
    }
    attempts.commit.reset();
}

StatementPath::AttemptOutcome StatementPath::failBegunTransaction(StatementResult &result, std::string_view text)
{
    // The first statement may have run in this transaction; it must not run again in a second transaction.
    result.error = SessionError::Aborted;
    result.text = text;
    return AttemptOutcome::Finished;
}

StatementPath::AttemptOutcome StatementPath::handleRefusedPreparation(const SessionJob &job, Attempts &attempts, const PoolReply &refused, bool ran,
                                                                      StatementResult &result)
{
    if (ran && job.mayPersist()) {
        result.error = SessionError::Unknown;
        result.text = "it ran on a connection that refused the state of the session";
        return AttemptOutcome::Finished;
    }
    if (refused.error == SessionError::Malformed || refused.error == SessionError::TooLarge) {
        result.error = refused.error; // so would every other connection
        result.text = refused.errorText;
        return AttemptOutcome::Finished;
    }
    attempts.mayHaveRun = attempts.mayHaveRun || ran;
    return replaceConnection(attempts, "preparation-refused");
}

StatementPath::AttemptOutcome StatementPath::replaceConnection(Attempts &attempts, std::string_view reason)
{
    attempts.lastReason = reason;
    if (++attempts.unusableConnections == maxUnusableConnections) {
        return AttemptOutcome::GiveUp;
    }
    countRetry(reason);
    return AttemptOutcome::RetryLater;
}

StatementPath::AttemptOutcome StatementPath::handleNoReply(const SessionJob &job, const Choice &choice, Attempts &attempts,
                                                           DatabaseConnection::RunStatus status, StatementResult &result) const
{
    const bool wasSent = status != DatabaseConnection::RunStatus::NotSent;
    if (wasSent && job.mayPersist()) {
        result.error = SessionError::Unknown;
        result.text = status == DatabaseConnection::RunStatus::TimedOut ? "no answer in time" : "connection lost";
        return AttemptOutcome::Finished;
    }
    attempts.mayHaveRun = attempts.mayHaveRun || wasSent;
    if (wasSent && !choice.primary) {
        attempts.excluded.insert(choice.pool->member().id());
    }
    attempts.lastReason = "no-answer";
    countRetry("no-answer");
    return AttemptOutcome::Retry;
}

asio::awaitable<void> StatementPath::resetAndRelease(std::shared_ptr<DatabasePool> pool, DatabasePool::ConnectionPointer connection, TransactionState state)
{
    if (connection->isOpen() && state != TransactionState::Idle) {
        std::string rollback = platform::encodeOwnStatement(platform::rollbackText());
        pool->recordSent(Clock::now());
        const auto answer = co_await connection->run(std::move(rollback), 1, Clock::now() + rollbackTimeout);
        const bool complete = answer.status == DatabaseConnection::RunStatus::Complete;
        if (complete) {
            pool->recordReply(Clock::now());
        } else {
            pool->recordNoReply(Clock::now());
        }
        if (complete && answer.replies.front().state != TransactionState::Idle) {
            connection->close();
        }
    }
    pool->release(std::move(connection));
}

StatementPath::AttemptOutcome StatementPath::evaluateReply(const SessionJob &job, ServiceState &service, const Choice &choice, Attempts &attempts,
                                                           PoolReply &reply, StatementResult &result) const
{
    const auto &database = choice.pool->member().id();
    switch (reply.error) {
    case SessionError::None:
        if (choice.primary && service.primaryChange().isGoingOn() && m_directory.lease().covers(service.name(), choice.epoch, Clock::now())) {
            service.primaryChange().cancel();
        }
        if (attempts.commit && reply.position) {
            service.commits().acknowledge(*attempts.commit, *reply.position, m_directory.isReplicated(service.name()));
            result.committed = *reply.position;
        }
        result.reply = std::move(reply);
        return AttemptOutcome::Finished;
    case SessionError::Busy:
        attempts.lastReason = "database-busy";
        countRetry("database-busy");
        if (!job.needsPrimary()) {
            attempts.excluded.insert(database);
            return AttemptOutcome::Retry;
        }
        return AttemptOutcome::RetryLater;
    case SessionError::UnknownStatement:
        return replaceConnection(attempts, "unknown-statement");
    case SessionError::Lagging:
        attempts.excluded.insert(database);
        attempts.lastReason = "replica-lagging";
        countRetry("replica-lagging");
        return AttemptOutcome::Retry;
    case SessionError::ReadOnly:
        attempts.lastReason = notPrimaryReason;
        countRetry(notPrimaryReason);
        return AttemptOutcome::AwaitPrimary;
    default:
        result.error = reply.error;
        result.text = std::move(reply.errorText);
        return AttemptOutcome::Finished;
    }
}

Duration StatementPath::expectedTimeToServe(const SessionJob &job, const ServiceState *service, std::string_view reason, TimePoint now) const
{
    if (service == nullptr || reason == noLeaseReason || reason == holderReplacedReason || reason == stoppingReason) {
        return RetryAdvice::otherProxy;
    }
    if (reason == noPrimaryReason || reason == notPrimaryReason || reason == leaseLostReason || reason == primaryOutOfReachReason) {
        return service->primaryChange().expectedRest(now);
    }
    if (reason == queueFullReason || reason == deadlineUnreachableReason || reason == noConnectionReason) {
        const auto primary = service->primary();
        auto shortest = primary ? primary->expectedWait(job.rank(), now) : Duration::max();
        if (!job.needsPrimary()) {
            for (const auto &[id, pool] : service->pools()) {
                shortest = std::min(shortest, pool->expectedWait(job.rank(), now));
            }
        }
        return shortest == Duration::max() ? usualRetryDelay : shortest;
    }
    return usualRetryDelay;
}

StatementResult StatementPath::refuse(const SessionJob &job, const ServiceState *service, const Attempts &attempts)
{
    const auto now = Clock::now();
    StatementResult result;
    result.error = SessionError::Busy;
    result.queued = now - job.receivedAt;
    result.declined = !attempts.mayHaveRun && (attempts.lastReason == holderReplacedReason || (job.forwarded && isLocal(attempts.lastReason)));
    result.retryAfter = m_advice.after(expectedTimeToServe(job, service, attempts.lastReason, now), job, now);
    result.text = RetryAdvice::text(result.retryAfter, attempts.lastReason, attempts.mayHaveRun);
    if (result.declined) {
        countRetry(attempts.lastReason);
    } else {
        Metrics::instance().counter("waxwing_session_refusals_total", "reason", attempts.lastReason).add();
    }
    boost::json::array pools;
    if (service != nullptr) {
        for (const auto &[id, pool] : service->pools()) {
            pools.emplace_back(pool->describe());
        }
    }
    log::write(log::Level::Info, result.declined ? "statement declined" : "statement refused",
               {{"request", job.id},
                {"service", job.route.service},
                {"reason", attempts.lastReason},
                {"attempts", attempts.count},
                {"offered", attempts.sent},
                {"held_ms", toMilliseconds(now - job.receivedAt).count()},
                {"epoch", service == nullptr ? 0 : service->epoch()},
                {"lease_left_ms", toMilliseconds(m_directory.lease().expiresAt() - now).count()},
                {"config_version", m_directory.configVersion()},
                {"directory_version", m_directory.directoryVersion()},
                {"pools", std::move(pools)}});
    return result;
}

} // namespace waxwing
