#include <waxwing/sessions/database_pool.h>
#include <waxwing/support/counter.h>
#include <waxwing/support/invariant.h>
#include <waxwing/support/log.h>
#include <waxwing/support/metrics.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace waxwing
{

namespace asio = boost::asio;

namespace
{

constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);
constexpr int averageWindow = 8; // values in a moving average; a crest builds up over some tens of statements
constexpr double replyMemorySeconds = 1.0; // after this time a measured reply time counts a third
// Connections that are opened at the same time; each takes a slot of the database.
constexpr std::size_t openingLimit = 2;
// A replica that lacked a position is asked again after this pause, doubled with each refusal up to 480 ms; replicas are
// 60 ms behind on average.
constexpr Duration lagPause = 30ms;
constexpr unsigned lagSteps = 5;
// Two connections that were lost or refused, and no answer for this long, are evidence by themselves.
constexpr Duration lostLimit = 60ms;
constexpr Duration fullLogSpacing = 5s; // a full database is asked again each 250 ms
// A database that did not answer a statement is avoided for this long, if there is another one.
constexpr Duration avoidance = 500ms;

Duration average(Duration before, Duration value)
{
    return before == Duration::zero() ? value : before + (value - before) / averageWindow;
}

std::string_view openResultName(DatabaseConnection::OpenResult result)
{
    switch (result) {
    case DatabaseConnection::OpenResult::Open:
        return "open";
    case DatabaseConnection::OpenResult::Refused:
        return "refused";
    case DatabaseConnection::OpenResult::Silent:
        return "silent";
    case DatabaseConnection::OpenResult::WrongInstance:
        return "wrong-instance";
    case DatabaseConnection::OpenResult::Full:
        break;
    }
    return "full";
}

} // namespace

DatabasePool::DatabasePool(const asio::any_io_executor &executor, const wire::PoolMember &member, Options options)
    : m_executor(executor)
    , m_member(member)
    , m_options(std::move(options))
    , m_drainingSince(Clock::now())
{
}

DatabasePool::~DatabasePool() = default;

asio::awaitable<DatabasePool::ConnectionPointer> DatabasePool::acquire(const SessionState &session, int rank, TimePoint deadline)
{
    if (m_shut) {
        co_return nullptr;
    }
    if (m_waiting.empty()) {
        if (auto idle = takeIdle(session)) {
            co_return hand(std::move(idle));
        }
    }
    const auto self = shared_from_this();
    Waiter waiter {rank, &session, asio::steady_timer(m_executor), nullptr, false};
    const auto place = std::find_if(m_waiting.begin(), m_waiting.end(), [rank](const Waiter *other) { return other->rank > rank; });
    const auto position = m_waiting.insert(place, &waiter);
    openMore();
    if (m_count == 0) {
        m_waiting.erase(position);
        co_return nullptr; // it can't be reached at present
    }
    waiter.signal.expires_after(deadline - Clock::now());
    co_await waiter.signal.async_wait(useTuple);
    if (waiter.connection == nullptr && !waiter.failed) {
        m_waiting.erase(position);
    }
    co_return std::move(waiter.connection);
}

DatabasePool::ConnectionPointer DatabasePool::takeIdle(const SessionState &session)
{
    m_count -= std::erase_if(m_idle, [](const Idle &idle) { return !idle.connection->isOpen(); });
    if (m_idle.empty()) {
        return nullptr;
    }
    // From the back, so that the connection that was used last is preferred among equals.
    const auto best = std::min_element(m_idle.rbegin(), m_idle.rend(), [&](const Idle &one, const Idle &other) {
        return one.connection->state().distance(session) < other.connection->state().distance(session);
    });
    auto connection = std::move(best->connection);
    m_idle.erase(std::next(best).base());
    return connection;
}

DatabasePool::ConnectionPointer DatabasePool::hand(ConnectionPointer connection)
{
    ++m_busy;
    m_lent.insert(connection.get());
    connection->handedOutAt = Clock::now();
    return connection;
}

void DatabasePool::release(ConnectionPointer connection)
{
    --m_busy;
    m_lent.erase(connection.get());
    if (connection->isOpen() && !WAXWING_INVARIANT(connection->transaction() == TransactionState::Idle, "pooled-connection-in-transaction")) {
        connection->close();
    }
    if (connection->handedOutAt != TimePoint()) {
        m_holdTime = average(m_holdTime, Clock::now() - connection->handedOutAt);
    }
    if (!connection->isOpen() || m_shut || m_count > m_options.limit) {
        connection.reset();
        --m_count;
        openMore();
        return;
    }
    if (m_waiting.empty()) {
        m_idle.push_back({std::move(connection), Clock::now()});
        return;
    }
    auto *waiter = m_waiting.front();
    m_waiting.pop_front();
    waiter->connection = hand(std::move(connection));
    waiter->signal.cancel();
}

void DatabasePool::openMore()
{
    const auto wanted = std::min(m_options.limit, std::max(m_warm, m_count - m_opening + m_waiting.size()));
    while (!m_shut && m_opening < openingLimit && m_count < wanted && Clock::now() >= m_openAfter) {
        ++m_count;
        ++m_opening;
        asio::co_spawn(m_executor, openOne(), asio::detached);
    }
}

asio::awaitable<void> DatabasePool::openOne()
{
    const auto self = shared_from_this();
    static auto &opened = Metrics::instance().counter("waxwing_pool_connections_total");
    auto connection = std::make_unique<DatabaseConnection>(m_executor);
    DatabaseConnection::Target target {m_member.address(), m_member.service(), m_member.id(), m_options.caller};
    const auto result = co_await connection->open(std::move(target), Clock::now() + m_options.connectTimeout);
    --m_opening;
    const auto now = Clock::now();
    if (result != DatabaseConnection::OpenResult::Open) {
        --m_count;
        noteOpenFailure(result, now);
        co_return;
    }
    opened.add();
    m_lastReply = now;
    m_failures = 0;
    ++m_busy;
    release(std::move(connection));
    openMore();
}

void DatabasePool::noteOpenFailure(DatabaseConnection::OpenResult result, TimePoint now)
{
    Metrics::instance().counter("waxwing_pool_connect_failures_total", "reason", openResultName(result)).add();
    if (result == DatabaseConnection::OpenResult::Full) {
        m_openAfter = now + m_options.fullPause;
        if (now >= m_nextFullLog) {
            m_nextFullLog = now + fullLogSpacing;
            log::write(
                log::Level::Warning, "database full",
                {{"database", m_member.id()}, {"service", m_member.service()}, {"open", m_count}, {"share", m_options.share}, {"limit", m_options.limit}});
        }
    } else {
        ++m_failures;
        const auto pause = std::min(m_options.failurePauseHigh, m_options.failurePause * (1U << std::min(m_failures - 1, 3U)));
        m_openAfter = now + pause;
        m_avoidUntil = m_openAfter;
        if (m_failures == 1) {
            log::write(log::Level::Warning, "database lost", {{"database", m_member.id()}, {"service", m_member.service()}, {"cause", openResultName(result)}});
        }
    }
    if (m_count == 0) {
        endWaits();
    }
}

void DatabasePool::endWaits()
{
    for (auto *waiter : std::exchange(m_waiting, {})) {
        waiter->failed = true;
        waiter->signal.cancel();
    }
}

void DatabasePool::interrupt()
{
    for (auto *connection : m_lent) {
        connection->close();
    }
}

void DatabasePool::update(const wire::PoolMember &member, TimePoint now)
{
    if (member.draining() && !m_member.draining()) {
        m_drainingSince = now;
    }
    m_member = member;
}

void DatabasePool::setLimits(std::size_t share, std::size_t limit)
{
    m_options.share = share;
    m_options.limit = limit;
    while (m_count > m_options.limit && !m_idle.empty()) {
        m_idle.erase(m_idle.begin());
        --m_count;
    }
    openMore();
}

void DatabasePool::trim(TimePoint now)
{
    while (m_count > m_options.share && !m_idle.empty() && now - m_idle.front().since >= m_options.idleSurplus) {
        m_idle.erase(m_idle.begin());
        --m_count;
    }
    openMore();
}

void DatabasePool::recordLag(bool lagging, TimePoint now)
{
    if (!lagging) {
        m_lags = 0;
        m_laggingUntil = now;
        return;
    }
    m_lags = std::min(m_lags + 1, lagSteps);
    m_laggingUntil = now + lagPause * (1U << (m_lags - 1));
}

void DatabasePool::warm(std::size_t count)
{
    m_warm = count;
    openMore();
}

void DatabasePool::shut()
{
    m_shut = true;
    m_count -= m_idle.size();
    m_idle.clear();
    endWaits();
}

void DatabasePool::recordSent(TimePoint now)
{
    if (m_running++ == 0) {
        m_runningSince = now;
    }
}

void DatabasePool::recordReply(TimePoint now)
{
    --m_running;
    m_lastReply = now;
    m_failures = 0;
}

void DatabasePool::recordReplyTime(Duration took, TimePoint now)
{
    m_replyTime = average(m_replyTime, took);
    m_replyTimeAt = now;
}

Duration DatabasePool::expectedWait(int rank) const
{
    const auto ahead = std::count_if(m_waiting.begin(), m_waiting.end(), [rank](const Waiter *waiter) { return waiter->rank <= rank; });
    if (ahead == 0 && (!m_idle.empty() || m_count < m_options.limit)) {
        return Duration::zero();
    }
    return m_holdTime * (ahead + 1) / static_cast<int>(std::max<std::size_t>(1, m_count));
}

Duration DatabasePool::expectedReply(Duration base, TimePoint now) const
{
    if (m_replyTime == Duration::zero()) {
        return base;
    }
    const auto age = std::chrono::duration<double>(now - m_replyTimeAt).count();
    return base + std::chrono::duration_cast<Duration>((m_replyTime - base) * std::exp(-age / replyMemorySeconds));
}

void DatabasePool::recordNoReply(TimePoint now)
{
    --m_running;
    m_avoidUntil = std::max(m_avoidUntil, now + avoidance);
    ++m_failures;
}

bool DatabasePool::lagsBehind() const
{
    return m_lags == lagSteps;
}

std::string DatabasePool::describe() const
{
    return m_member.id() + (m_member.draining() ? " draining" : "") + " open " + std::to_string(m_count) + '/' + std::to_string(m_options.limit) + " idle "
        + std::to_string(m_idle.size()) + " used " + std::to_string(m_busy) + " running " + std::to_string(m_running) + " waiting "
        + std::to_string(m_waiting.size()) + " failures " + std::to_string(m_failures) + " lags " + std::to_string(m_lags);
}

bool DatabasePool::isSilent(TimePoint now, Duration limit) const
{
    if (m_failures > 1 && m_lastReply + std::min(limit, lostLimit) < now) {
        return true;
    }
    return m_running > 0 && std::max(m_runningSince, m_lastReply) + limit < now;
}

} // namespace waxwing
