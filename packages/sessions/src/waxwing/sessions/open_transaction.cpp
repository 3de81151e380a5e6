#include "statement_exchange.h"

#include <waxwing/platform/database_wire.h>
#include <waxwing/sessions/open_transaction.h>
#include <waxwing/sessions/statement_path.h>
#include <waxwing/support/log.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <optional>
#include <string_view>
#include <utility>

namespace waxwing
{

namespace asio = boost::asio;

namespace
{

constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);
// Delay before a statement is sent again to a database that had no free slot; about the duration of one statement.
constexpr Duration busyRetryDelay = 10ms;
constexpr std::string_view connectionLostText = "the connection to the database was lost; nothing is kept";
constexpr std::string_view tooLargeText = "not run, the transaction has prepared too much; nothing is kept";
constexpr std::string_view unusableText = "the connection to the database lacks the state of the session; nothing is kept";

/// Settles a commit, unless it was acknowledged or is none.
void settle(ServiceState *service, const std::optional<CommitTracker::Commit> &commit, bool hasNotRun)
{
    if (!commit) {
        return;
    }
    if (hasNotRun) {
        service->commits().discard(*commit);
    } else {
        service->commits().abandon(*commit, Clock::now());
    }
}

bool mayRetry(const PoolReply &reply, TimePoint deadline)
{
    return reply.error == SessionError::Busy && reply.state == TransactionState::Open && Clock::now() + busyRetryDelay < deadline;
}

} // namespace

OpenTransaction::OpenTransaction(std::shared_ptr<DatabasePool> pool, DatabasePool::ConnectionPointer connection, std::uint64_t epoch, bool writes)
    : m_pool(std::move(pool))
    , m_connection(std::move(connection))
    , m_epoch(epoch)
    , m_writes(writes)
{
}

OpenTransaction::~OpenTransaction()
{
    end(TransactionState::Open);
}

void OpenTransaction::end(TransactionState state)
{
    if (m_connection) {
        asio::co_spawn(m_pool->executor(), StatementPath::resetAndRelease(m_pool, std::move(m_connection), state), asio::detached);
    }
}

StatementResult OpenTransaction::result(TimePoint sentAt, const SessionJob &job) const
{
    StatementResult result;
    result.database = database();
    result.queued = sentAt - job.receivedAt;
    result.ran = Clock::now() - sentAt;
    return result;
}

asio::awaitable<StatementResult> OpenTransaction::run(const SessionJob &job)
{
    m_writes = m_writes || job.writes;
    if (job.prepared && !m_connection->state().hasRoomInTransaction(*job.prepared)) {
        auto outcome = result(Clock::now(), job);
        outcome.error = SessionError::TooLarge;
        outcome.text = tooLargeText;
        end(TransactionState::Open);
        co_return outcome;
    }
    while (true) {
        StatementExchange exchange(*m_connection, database());
        exchange.addPreparationInTransaction(job);
        exchange.add(platform::encodeStatement(job.id, exchange.text(job)));
        const auto sentAt = Clock::now();
        m_pool->recordSent(sentAt);
        auto answer = co_await m_connection->run(exchange.bytes(), exchange.commands(), job.deadline);
        const bool refused = exchange.findRefusedPreparation(job, answer.replies) != nullptr;
        auto outcome = result(sentAt, job);
        if (answer.status != DatabaseConnection::RunStatus::Complete) {
            m_pool->recordNoReply(Clock::now());
            outcome.error = SessionError::Aborted;
            outcome.text = connectionLostText;
            end(TransactionState::Idle);
            co_return outcome;
        }
        m_pool->recordReply(Clock::now());
        auto &reply = answer.replies.back();
        if (refused || reply.error == SessionError::UnknownStatement) {
            // Closed, since its state is not the recorded one. The database then rolls back whatever ran.
            m_connection->close();
            outcome.error = SessionError::Aborted;
            outcome.text = unusableText;
            end(TransactionState::Idle);
            co_return outcome;
        }
        if (mayRetry(reply, job.deadline)) {
            asio::steady_timer pause(co_await asio::this_coro::executor, busyRetryDelay);
            co_await pause.async_wait(useTuple);
            continue;
        }
        outcome.error = reply.error;
        outcome.text = reply.errorText;
        if (reply.error != SessionError::None) {
            end(reply.state);
        }
        outcome.reply = std::move(reply);
        co_return outcome;
    }
}

asio::awaitable<StatementResult> OpenTransaction::commit(const SessionJob &job, SessionDirectory &directory)
{
    auto *service = directory.service(job.route.service);
    const bool counted = service != nullptr && m_writes;
    while (true) {
        const auto sentAt = Clock::now();
        std::optional<CommitTracker::Commit> sent;
        m_pool->recordSent(sentAt);
        if (counted) {
            service->recordWriteSent(sentAt);
            sent = service->commits().send(sentAt);
        }
        std::string bytes = platform::encodeStatement(job.id, job.text);
        auto answer = co_await m_connection->run(std::move(bytes), 1, job.deadline);
        const auto now = Clock::now();
        const bool complete = answer.status == DatabaseConnection::RunStatus::Complete;
        if (counted) {
            service->recordWriteEnded(complete, now);
        }
        auto outcome = result(sentAt, job);
        if (!complete) {
            m_pool->recordNoReply(now);
            // Without a write the commit can't have persisted anything, whether it ran or not.
            const bool certain = !m_writes || answer.status == DatabaseConnection::RunStatus::NotSent;
            outcome.error = certain ? SessionError::Aborted : SessionError::Unknown;
            outcome.text = certain ? "the connection to the database was lost" : "commit without an answer";
            settle(service, sent, certain);
            end(TransactionState::Idle);
            co_return outcome;
        }
        m_pool->recordReply(now);
        auto &reply = answer.replies.back();
        if (mayRetry(reply, job.deadline)) {
            settle(service, sent, true);
            asio::steady_timer pause(co_await asio::this_coro::executor, busyRetryDelay);
            co_await pause.async_wait(useTuple);
            continue;
        }
        end(reply.state);
        outcome.error = reply.error;
        outcome.text = reply.errorText;
        const bool commits = m_writes && reply.error == SessionError::None;
        bool acknowledged = service != nullptr;
        if (commits && acknowledged) {
            acknowledged = co_await directory.awaitAcknowledgement(*service, m_epoch, job.deadline);
        }
        if (reply.error != SessionError::None) {
            log::write(log::Level::Info, "commit refused",
                       {{"request", job.id},
                        {"service", job.route.service},
                        {"database", outcome.database},
                        {"error", static_cast<int>(reply.error)},
                        {"held_ms", toMilliseconds(now - job.receivedAt).count()}});
        } else if (commits && !acknowledged) {
            // Control may have chosen a new primary that lacks this commit.
            outcome.error = SessionError::Unknown;
            outcome.text = "the primary was replaced while the commit ran";
        } else if (commits && reply.position) {
            outcome.committed = *reply.position;
            service->commits().acknowledge(*sent, *reply.position, directory.isReplicated(job.route.service));
        }
        settle(service, sent, reply.error == SessionError::ReadOnly || reply.error == SessionError::Busy);
        outcome.reply = std::move(reply);
        co_return outcome;
    }
}

} // namespace waxwing
