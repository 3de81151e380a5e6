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
#include <utility>

namespace waxwing
{

namespace asio = boost::asio;

namespace
{

// A read that got no answer for this part of its time is tried elsewhere; silence is rare and long statements are not.
constexpr double readAttemptPart = 0.6;
// Pause after a database refused for lack of slots; about one statement.
constexpr Duration busyPause = 15ms;
// A primary that this proxy does not reach is being replaced after this time, or others reach it.
constexpr Duration outOfReachPatience = 400ms;
// Between two looks for the directory.
constexpr Duration directoryPause = 25ms;
// Reply times to expect before the first is measured, at the lower end, so that a database that was not asked lately is
// tried: 5 to 34 ms of work, and a round trip of 24 or 40 ms between regions.
constexpr Duration nearReply = 5ms;
constexpr Duration farReply = 45ms;
// The bytes of a statement between regions are worth a few percent of the statement; in time, about this much.
constexpr Duration regionBytes = 15ms;
// A database that did not answer lately is the last choice.
constexpr Duration suspectCost = 10s;
// A replica that lacks positions costs an attempt that leads nowhere, which is more than any queue.
constexpr Duration laggingCost = 2s;
// A statement is refused at once when its answer is expected later than this part of its latency target: served late it
// would make others late too.
constexpr double crowdedPart = 0.75;
// An age is proven with this much to spare, for the time between the caller's bytes and their reading here.
constexpr Duration ageMargin = 100ms;
// A rollback needs no slot, so that its answer takes a round trip.
constexpr Duration rollbackLimit = 500ms;
// Largest advice when to come back; a change of primary takes about this long.
constexpr Duration retryAfter = 300ms;

/// Commands of one exchange and the place of the statement among their answers.
struct Exchange
{
    std::string bytes;
    std::size_t commands = 0;

    void add(const std::string &command)
    {
        bytes += command;
        ++commands;
    }
};

/// Commands that bring the connection to the state of the session.
void addPreparation(Exchange &exchange, const SessionJob &job, ConnectionState &state)
{
    const auto *prepared = job.prepared ? &*job.prepared : nullptr;
    const auto preparation = state.compare(*job.session, prepared);
    if (preparation.discard) {
        exchange.add(platform::encodeOwnStatement(platform::discardText()));
    }
    for (const auto &[name, value] : preparation.values) {
        exchange.add(platform::encodeOwnStatement(platform::setText(name, value)));
    }
    if (preparation.prepare) {
        exchange.add(platform::encodeOwnStatement(platform::prepareText(ConnectionState::sharedName(*prepared), prepared->writes, prepared->shape)));
    }
    state.apply(preparation, prepared);
}

/// First exchange of an attempt: the statement, or the begin of its transaction. The statement does not follow the begin
/// before that was answered, since it would run outside of a transaction if the begin is refused.
/// @param verifies a read is run in a transaction that may write, which a database refuses once it no longer leads
Exchange composeFirst(const SessionJob &job, ConnectionState &state, const std::optional<TermPosition> &after, bool verifies)
{
    Exchange exchange;
    addPreparation(exchange, job, state);
    if (job.begins || verifies) {
        const auto begin = platform::beginText(job.readOnly && !verifies);
        exchange.add(platform::encodeOwnStatement(after ? platform::afterText(*after, begin) : begin));
    } else if (after) {
        exchange.add(platform::encodeStatementAfter(job.id, *after, job.text));
    } else {
        exchange.add(platform::encodeStatement(job.id, job.text));
    }
    return exchange;
}

/// An earlier command that failed decides, since the statement then ran without it or not at all.
PoolReply &decisiveReply(std::vector<PoolReply> &replies)
{
    const auto failed = std::find_if(replies.begin(), replies.end(), [](const PoolReply &one) { return one.error != SessionError::None; });
    return failed == replies.end() ? replies.back() : *failed;
}

/// Tells whether the last command of an exchange may have run; some answers promise that it did not.
bool mayHaveRun(const DatabaseConnection::RunResult &answer)
{
    if (answer.status == DatabaseConnection::RunStatus::NotSent) {
        return false;
    }
    const bool answered = answer.status == DatabaseConnection::RunStatus::Complete;
    const auto error = answered ? answer.replies.back().error : SessionError::None;
    return error != SessionError::Busy && error != SessionError::UnknownStatement && error != SessionError::Lagging && error != SessionError::ReadOnly;
}

void countRetry(std::string_view reason)
{
    Metrics::instance().counter("waxwing_session_retries_total", "reason", reason).add();
}

} // namespace

StatementPath::StatementPath(SessionDirectory &directory)
    : m_directory(directory)
{
}

void StatementPath::stop()
{
    m_stopping = true;
    m_directory.endWaits();
}

asio::awaitable<StatementResult> StatementPath::run(const SessionJob &job)
{
    Attempts attempts;
    StatementResult result;
    ++m_statements;
    auto *service = m_directory.service(job.route.service);
    asio::steady_timer pause(co_await asio::this_coro::executor);
    while (Clock::now() < job.deadline) {
        if (service == nullptr) {
            if (m_stopping) {
                break;
            }
            // The directory arrives a moment after the start.
            attempts.lastReason = "no-directory";
            pause.expires_after(directoryPause);
            co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
            service = m_directory.service(job.route.service);
            continue;
        }
        const auto choice = choose(job, *service, attempts);
        if (isPrimaryOutOfReach(job, *service, attempts)) {
            break;
        }
        if (!choice.pool) {
            if (choice.crowded) {
                attempts.lastReason = "queue-full";
                break;
            }
            if (m_stopping) {
                break;
            }
            if (!attempts.avoided.empty()) {
                attempts.avoided.clear();
                pause.expires_after(busyPause);
                co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
            } else {
                attempts.lastReason = "no-primary";
                co_await service->changed(job.deadline);
            }
            continue;
        }
        const auto verdict = co_await attempt(job, *service, choice, attempts, result);
        if (verdict == Verdict::Finished) {
            result.retries = attempts.count;
            result.retryReason = attempts.count == 0 ? std::string_view() : attempts.lastReason;
            if (result.error == SessionError::None) {
                noteDone(job, {result.database, result.retries, result.retryReason, result.queued, result.ran});
            }
            co_return result;
        }
        // What may be kept is never sent a second time, whatever became of its answer.
        if (!WAXWING_INVARIANT(!attempts.mayBeKept, "persistent-statement-sent-once")) {
            result.error = SessionError::Unknown;
            result.text = "sent before, without a clear answer";
            co_return result;
        }
        ++attempts.count;
        if (m_stopping && verdict != Verdict::Retry) {
            break;
        }
        if (verdict == Verdict::RetryLater) {
            pause.expires_after(busyPause);
            co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
        } else if (verdict == Verdict::AwaitPrimary) {
            co_await service->changed(job.deadline);
        }
    }
    if (m_stopping) {
        attempts.lastReason = "stopping";
    }
    co_return giveUp(job, service, attempts);
}

Duration StatementPath::expectedTime(const SessionJob &job, const DatabasePool &pool, TimePoint now) const
{
    const bool far = m_directory.distance(pool.member().failure_domain()) > 1;
    return pool.expectedWait(job.rank()) + pool.expectedReply(far ? farReply : nearReply, now);
}

bool StatementPath::isCrowded(const SessionJob &job, const DatabasePool &pool, TimePoint now) const
{
    const auto target = job.route.latencyTarget == Duration::zero() ? job.route.statementTimeout : job.route.latencyTarget;
    return pool.expectedWait(job.rank()) != Duration::zero() && expectedTime(job, pool, now) > std::chrono::duration_cast<Duration>(target * crowdedPart);
}

bool StatementPath::isPrimaryOutOfReach(const SessionJob &job, const ServiceState &service, Attempts &attempts) const
{
    // The caller's retry reaches another proxy, which may reach the primary, while waiting here leads nowhere as long as
    // control does not replace it.
    const auto now = Clock::now();
    const auto primary = service.primary();
    if (!job.needsPrimary() || !primary || now - job.receivedAt < outOfReachPatience || !primary->isSilent(now, outOfReachPatience)) {
        return false;
    }
    attempts.lastReason = "primary-out-of-reach";
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

StatementPath::Choice StatementPath::choosePrimary(const ServiceState &service) const
{
    Choice choice;
    choice.pool = service.primary();
    if (choice.pool && choice.pool->isClosing(Clock::now())) {
        choice.pool = nullptr;
    }
    choice.primary = true;
    choice.epoch = service.epoch();
    return choice;
}

StatementPath::Choice StatementPath::choose(const SessionJob &job, const ServiceState &service, const Attempts &attempts) const
{
    const auto now = Clock::now();
    auto primary = choosePrimary(service);
    const bool leased = m_directory.lease().covers(service.name(), service.epoch(), now);
    if (job.needsPrimary()) {
        const bool needsLease = !job.writes && !(job.begins && !job.readOnly);
        const bool mayAcknowledge = m_directory.lease().mayAcknowledge(service.name(), service.epoch(), now);
        primary.verifies = needsLease && !leased;
        if (primary.pool && ((!needsLease && !mayAcknowledge) || attempts.avoided.contains(primary.pool->member().id()))) {
            primary.pool = nullptr;
        } else if (primary.pool && isCrowded(job, *primary.pool, now)) {
            primary.pool = nullptr;
            primary.crowded = true;
        }
        return primary;
    }
    const auto required = requiredPosition(job, service);
    Choice best;
    Duration bestCost {};
    bool crowded = false;
    for (const auto &[id, pool] : service.pools()) {
        const bool isPrimary = pool == primary.pool;
        const bool trusted = isPrimary && leased;
        if (pool->member().draining() || attempts.avoided.contains(id) || (!trusted && !required)) {
            continue;
        }
        if (isCrowded(job, *pool, now)) {
            crowded = true;
            continue;
        }
        auto cost = expectedTime(job, *pool, now) + (m_directory.distance(pool->member().failure_domain()) > 1 ? regionBytes : Duration::zero());
        cost += pool->isSuspect(now) ? suspectCost : Duration::zero();
        cost += !isPrimary && pool->isLagging(now) ? laggingCost : Duration::zero();
        if (!best.pool || cost < bestCost) {
            bestCost = cost;
            best = trusted ? primary : Choice {pool, required, false, service.epoch()};
        }
    }
    primary.verifies = !leased;
    if (!best.pool && !crowded && primary.pool && !attempts.avoided.contains(primary.pool->member().id())) {
        return primary; // it drains, or its position is not known, but no other database can run the statement
    }
    best.crowded = !best.pool && crowded;
    return best;
}

asio::awaitable<StatementPath::Verdict> StatementPath::attempt(const SessionJob &job, ServiceState &service, const Choice &choice, Attempts &attempts,
                                                               StatementResult &result)
{
    const auto pool = choice.pool;
    auto limit = job.deadline;
    if (!job.mayPersist()) {
        const auto part = std::chrono::duration_cast<Duration>((job.deadline - job.receivedAt) * readAttemptPart);
        limit = std::min(job.deadline, Clock::now() + part);
    }
    auto connection = co_await pool->acquire(*job.session, job.rank(), m_stopping ? Clock::now() : limit);
    if (!connection) {
        attempts.avoided.insert(pool->member().id());
        attempts.lastReason = "no-connection";
        countRetry("no-connection");
        co_return Verdict::Retry;
    }
    // The directory may have changed while the statement waited.
    if (pool->isShut() || pool->isClosing(Clock::now()) || (choice.primary && (service.epoch() != choice.epoch || service.primary() != pool))
        || (!choice.primary && pool->member().draining())) {
        pool->release(std::move(connection));
        countRetry("directory-changed");
        co_return Verdict::Retry;
    }
    const auto exchange = composeFirst(job, connection->state(), choice.after, choice.verifies);
    const auto sentAt = Clock::now();
    attempts.offered = true;
    auto answer = co_await exchangeOnce(job, service, *pool, *connection, exchange.bytes, exchange.commands, limit);
    attempts.mayBeKept = job.mayPersist() && mayHaveRun(answer);
    const bool begun = (job.begins || choice.verifies) && answer.status == DatabaseConnection::RunStatus::Complete
        && decisiveReply(answer.replies).error == SessionError::None;
    if (begun) {
        const auto statement = platform::encodeStatement(job.id, job.text);
        answer = co_await exchangeOnce(job, service, *pool, *connection, statement, 1, limit);
    }
    if (answer.status != DatabaseConnection::RunStatus::Complete) {
        pool->release(std::move(connection));
        if (begun && job.begins) {
            co_return abortBegun(result, "the connection to the database was lost; nothing is kept");
        }
        co_return judgeSilence(job, choice, attempts, answer.status, result);
    }
    const auto answeredAt = Clock::now();
    result.database = pool->member().id();
    result.queued = sentAt - job.receivedAt;
    result.ran = answeredAt - sentAt;
    auto &reply = decisiveReply(answer.replies);
    const bool succeeded = reply.error == SessionError::None;
    const bool leased = m_directory.lease().covers(service.name(), choice.epoch, answeredAt) && service.epoch() == choice.epoch;
    // A successful write, or a transaction that may write, shows by itself that the database led.
    const bool ledThen = leased || choice.verifies || job.writes;
    if (choice.primary && succeeded && ledThen && answer.replies.back().position) {
        service.history().add(*answer.replies.back().position, sentAt);
    }
    if (reply.error == SessionError::UnknownStatement) {
        connection->state().forgetPrepared();
    }
    const bool readsPrimary = choice.primary && !job.writes && !(job.begins && !job.readOnly);
    const bool staysOpen = job.begins && !job.commits && succeeded;
    const bool unleased = succeeded && readsPrimary && !leased && !choice.verifies;
    if (staysOpen && !unleased && answer.replies.back().state == TransactionState::Open) {
        result.transaction = std::make_unique<OpenTransaction>(pool, std::move(connection), choice.epoch, job.writes);
    } else {
        const auto state = answer.replies.back().state;
        asio::co_spawn(co_await asio::this_coro::executor, returnClean(pool, std::move(connection), state), asio::detached);
    }
    if (unleased) {
        if (begun && job.begins) {
            co_return abortBegun(result, "the primary may have been replaced; nothing is kept");
        }
        attempts.lastReason = "lease-lost";
        countRetry("lease-lost");
        co_return Verdict::AwaitPrimary;
    }
    if (choice.after) {
        pool->recordLag(reply.error == SessionError::Lagging, answeredAt);
    }
    co_return judge(job, service, choice, attempts, reply, result);
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

StatementPath::Verdict StatementPath::abortBegun(StatementResult &result, std::string_view text)
{
    // The first statement may have run in this transaction and must not run in a second one of the same operation.
    result.error = SessionError::Aborted;
    result.text = text;
    return Verdict::Finished;
}

StatementPath::Verdict StatementPath::judgeSilence(const SessionJob &job, const Choice &choice, Attempts &attempts, DatabaseConnection::RunStatus status,
                                                   StatementResult &result) const
{
    const bool wasSent = status != DatabaseConnection::RunStatus::NotSent;
    if (wasSent && job.mayPersist()) {
        result.error = SessionError::Unknown;
        result.text = status == DatabaseConnection::RunStatus::TimedOut ? "no answer in time" : "connection lost";
        return Verdict::Finished;
    }
    if (wasSent && !choice.primary) {
        attempts.avoided.insert(choice.pool->member().id());
    }
    attempts.lastReason = "no-answer";
    countRetry("no-answer");
    return Verdict::Retry;
}

asio::awaitable<void> StatementPath::returnClean(std::shared_ptr<DatabasePool> pool, DatabasePool::ConnectionPointer connection, TransactionState state)
{
    if (connection->isOpen() && state != TransactionState::Idle) {
        std::string rollback = platform::encodeOwnStatement(platform::rollbackText());
        pool->recordSent(Clock::now());
        const auto answer = co_await connection->run(std::move(rollback), 1, Clock::now() + rollbackLimit);
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

StatementPath::Verdict StatementPath::judge(const SessionJob &job, ServiceState &service, const Choice &choice, Attempts &attempts, PoolReply &reply,
                                            StatementResult &result) const
{
    const auto &database = choice.pool->member().id();
    switch (reply.error) {
    case SessionError::None:
        if (job.writes && job.mayPersist()) {
            if (!m_directory.lease().mayAcknowledge(service.name(), choice.epoch, Clock::now())) {
                // Control may have chosen the next primary without this commit.
                result.error = SessionError::Unknown;
                result.text = "the primary was replaced while the statement ran";
                return Verdict::Finished;
            }
            if (reply.position) {
                service.recordAcknowledged(*reply.position, Clock::now());
                result.committed = *reply.position;
            }
        }
        result.reply = std::move(reply);
        return Verdict::Finished;
    case SessionError::Busy:
        attempts.lastReason = "database-busy";
        countRetry("database-busy");
        if (!job.needsPrimary()) {
            attempts.avoided.insert(database);
            return Verdict::Retry;
        }
        return Verdict::RetryLater;
    case SessionError::UnknownStatement:
        countRetry("unknown-statement");
        attempts.lastReason = "unknown-statement";
        return Verdict::Retry;
    case SessionError::Lagging:
        attempts.avoided.insert(database);
        attempts.lastReason = "replica-lagging";
        countRetry("replica-lagging");
        return Verdict::Retry;
    case SessionError::ReadOnly:
        attempts.lastReason = "not-primary";
        countRetry("not-primary");
        return Verdict::AwaitPrimary;
    default:
        result.error = reply.error;
        result.text = std::move(reply.errorText);
        return Verdict::Finished;
    }
}

StatementResult StatementPath::giveUp(const SessionJob &job, const ServiceState *service, const Attempts &attempts) const
{
    const auto now = Clock::now();
    StatementResult result;
    result.error = SessionError::Busy;
    result.text = "not run, retry after " + std::to_string(toMilliseconds(retryAfter).count()) + " ms: " + std::string(attempts.lastReason);
    Metrics::instance().counter("waxwing_session_refusals_total", "reason", attempts.lastReason).add();
    boost::json::array pools;
    if (service != nullptr) {
        for (const auto &[id, pool] : service->pools()) {
            pools.emplace_back(pool->describe());
        }
    }
    log::write(log::Level::Info, "statement refused",
               {{"request", job.id},
                {"service", job.route.service},
                {"reason", attempts.lastReason},
                {"attempts", attempts.count},
                {"offered", attempts.offered},
                {"held_ms", toMilliseconds(now - job.receivedAt).count()},
                {"epoch", service == nullptr ? 0 : service->epoch()},
                {"lease_left_ms", toMilliseconds(m_directory.lease().expiresAt() - now).count()},
                {"config_version", m_directory.configVersion()},
                {"directory_version", m_directory.directoryVersion()},
                {"pools", std::move(pools)}});
    return result;
}

} // namespace waxwing
