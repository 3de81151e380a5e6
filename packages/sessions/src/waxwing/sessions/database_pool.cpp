#include <waxwing/coordination/load_balancing.h>
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
#include <functional>
#include <iterator>
#include <tuple>
#include <utility>

namespace waxwing
{

namespace asio = boost::asio;

namespace
{

constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);
constexpr int averageWindow = 8; // values in a moving average; a load peak builds up over some tens of statements
// Number of connections opened concurrently; each occupies a slot of the database while it is opened.
constexpr std::size_t minOpening = 2;
// A replica that lacked a position is used again after this delay, which doubles with each refusal up to 480 ms. The replication
// lag is 60 ms on average.
constexpr Duration initialLagRetryDelay = 30ms;
constexpr unsigned maxLagCount = 5;
// After two lost or refused connections, the database counts as unresponsive without an answer for this long.
constexpr Duration lostConnectionTimeout = 60ms;
// A database may notice that a connection was closed only after the start of the one that replaces it, which it then refuses as too many.
constexpr unsigned maxFullRetries = 3;
constexpr Duration evictionRetryDelay = 15ms;
constexpr Duration evictionTime = 1s;
// All proxies together attempt to open a connection to a full database this often on average. An attempt that is refused takes no slot of
// the database, but costs the proxy processor time, so that the attempts of one proxy are at least the shortest pause apart.
constexpr Duration fullAttemptInterval = 10ms;
constexpr Duration minFullPause = 150ms;
constexpr Duration fullLogInterval = 5s; // connecting to a full database is retried, which would flood the log
// A database that left a statement unanswered is avoided for this long if another one is available.
constexpr Duration avoidanceTime = 500ms;

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
    , m_longestFullPause(m_options.maxFullRetryDelay)
    , m_pauseEnd(executor)
    , m_fullPauses(m_options.fullRetryDelay, m_options.maxFullRetryDelay, std::hash<std::string>()(m_options.caller + m_member.id()))
{
}

DatabasePool::~DatabasePool() = default;

asio::awaitable<DatabasePool::ConnectionPointer> DatabasePool::acquire(const SessionState &session, std::optional<std::string> workspace, int rank,
                                                                       TimePoint deadline)
{
    if (m_closed || m_options.limit == 0) {
        co_return nullptr;
    }
    if (workspace) {
        m_lastWorkspace = *workspace;
    }
    // Statements that wait can't use an idle connection, which belongs to another workspace.
    if (auto idle = takeIdle(session, workspace)) {
        co_return handOut(std::move(idle));
    }
    const auto self = shared_from_this();
    const auto tag = m_tags.next(workspace.value_or(std::string()));
    Waiter waiter {rank, tag, std::move(workspace), &session, asio::steady_timer(m_executor), nullptr, false};
    const auto place = std::find_if(m_waiting.begin(), m_waiting.end(),
                                    [&](const Waiter *other) { return std::tie(other->rank, other->tag) > std::tie(waiter.rank, waiter.tag); });
    const auto position = m_waiting.insert(place, &waiter);
    openMore();
    if (m_count == 0) {
        m_waiting.erase(position);
        co_return nullptr; // no connection is open or being opened: the database can't be reached at present
    }
    waiter.signal.expires_after(deadline - Clock::now());
    co_await waiter.signal.async_wait(useTuple);
    if (waiter.connection == nullptr && !waiter.failed) {
        m_waiting.erase(position);
    }
    if (m_waiting.empty()) {
        m_tags.clear();
    }
    co_return std::move(waiter.connection);
}

void DatabasePool::removeEndedIdle()
{
    m_count -= std::erase_if(m_idle, [](const Idle &idle) { return !idle.connection->isOpen(); });
}

DatabasePool::ConnectionPointer DatabasePool::takeIdle(const SessionState &session, const std::optional<std::string> &workspace)
{
    removeEndedIdle();
    // Searches from the back, so that among equal connections the most recently used one is chosen.
    auto best = m_idle.rend();
    for (auto idle = m_idle.rbegin(); idle != m_idle.rend(); ++idle) {
        const bool usable = !workspace || idle->connection->workspace() == *workspace;
        if (usable && (best == m_idle.rend() || idle->connection->state().distance(session) < best->connection->state().distance(session))) {
            best = idle;
        }
    }
    if (best == m_idle.rend()) {
        return nullptr;
    }
    auto connection = std::move(best->connection);
    m_idle.erase(std::next(best).base());
    return connection;
}

std::vector<connection_assignment::Waiting> DatabasePool::describeWaiting() const
{
    std::vector<connection_assignment::Waiting> waiting;
    waiting.reserve(m_waiting.size());
    for (const auto *waiter : m_waiting) {
        waiting.push_back({waiter->workspace ? std::optional<std::string_view>(*waiter->workspace) : std::nullopt, waiter->rank, waiter->tag});
    }
    return waiting;
}

std::list<DatabasePool::Waiter *>::iterator DatabasePool::chooseWaiter(const DatabaseConnection &connection)
{
    const auto chosen = connection_assignment::chooseWaiting(describeWaiting(), connection.workspace());
    return chosen ? std::next(m_waiting.begin(), static_cast<std::ptrdiff_t>(*chosen)) : m_waiting.end();
}

bool DatabasePool::evictIdle(std::string_view workspace)
{
    removeEndedIdle();
    if (m_count < m_options.limit) {
        return true;
    }
    std::vector<connection_assignment::Idle> idle;
    for (const auto &one : m_idle) {
        idle.push_back({one.connection->workspace(), one.since});
    }
    const auto chosen = connection_assignment::chooseEvicted(idle, workspace);
    if (!chosen) {
        return false;
    }
    static auto &evictions = Metrics::instance().counter("waxwing_pool_evictions_total");
    evictions.add();
    m_evictedAt = Clock::now();
    m_idle.erase(m_idle.begin() + static_cast<std::ptrdiff_t>(*chosen));
    --m_count;
    return true;
}

DatabasePool::ConnectionPointer DatabasePool::handOut(ConnectionPointer connection)
{
    ++m_busy;
    m_inUse.insert(connection.get());
    m_lastHandOut = Clock::now();
    connection->handedOutAt = m_lastHandOut;
    return connection;
}

void DatabasePool::release(ConnectionPointer connection)
{
    --m_busy;
    m_inUse.erase(connection.get());
    if (connection->isOpen() && !WAXWING_INVARIANT(connection->transaction() == TransactionState::Idle, "pooled-connection-in-transaction")) {
        connection->close();
    }
    if (connection->handedOutAt != TimePoint()) {
        m_holdTime = average(m_holdTime, Clock::now() - connection->handedOutAt);
    }
    if (!connection->isOpen() || m_closed || m_count > m_options.limit) {
        connection.reset();
        --m_count;
        openMore();
        return;
    }
    const auto chosen = m_waiting.empty() ? m_waiting.end() : chooseWaiter(*connection);
    if (chosen == m_waiting.end()) {
        m_idle.push_back({std::move(connection), Clock::now()});
        openMore(); // it may make room for a connection of another workspace
        return;
    }
    auto *waiter = *chosen;
    m_waiting.erase(chosen);
    m_tags.serve(waiter->tag);
    waiter->connection = handOut(std::move(connection));
    waiter->signal.cancel();
}

std::size_t DatabasePool::maxOpening() const
{
    if (m_full) {
        return 1; // others would be refused as well
    }
    // With workspaces a connection is opened for many statements, at times over a long way.
    return m_lastWorkspace.empty() ? minOpening : std::max(minOpening, m_options.limit / 2);
}

void DatabasePool::open(std::string workspace)
{
    ++m_count;
    m_opening.push_back(workspace);
    asio::co_spawn(m_executor, openOne(std::move(workspace)), asio::detached);
}

void DatabasePool::openMore()
{
    const auto mayOpen = [this] {
        return !m_closed && m_opening.size() < maxOpening() && Clock::now() >= m_openAfter;
    };
    if (!m_waiting.empty() && mayOpen()) {
        for (auto &workspace : connection_assignment::missingConnections(describeWaiting(), m_opening, m_lastWorkspace)) {
            if (!mayOpen() || m_options.limit == 0 || !evictIdle(workspace)) {
                return;
            }
            open(std::move(workspace));
        }
    }
    if (!m_waiting.empty()) {
        openAfterPause();
    }
    const auto warm = std::min(m_options.limit, m_warmConnections);
    while (mayOpen() && m_count < warm) {
        open({});
    }
}

void DatabasePool::openAfterPause()
{
    const auto now = Clock::now();
    if (m_closed || m_pauseTimed || now >= m_openAfter) {
        return;
    }
    m_pauseTimed = true;
    m_pauseEnd.expires_after(m_openAfter - now);
    m_pauseEnd.async_wait([weak = weak_from_this()](const boost::system::error_code &) {
        if (const auto self = weak.lock()) {
            self->m_pauseTimed = false;
            self->openMore();
        }
    });
}

asio::awaitable<void> DatabasePool::openOne(std::string workspace)
{
    const auto self = shared_from_this();
    static auto &opened = Metrics::instance().counter("waxwing_pool_connections_total");
    auto connection = std::make_unique<DatabaseConnection>(m_executor);
    DatabaseConnection::Target target {m_member.address(), m_member.service(), m_member.id(), m_options.caller, workspace};
    auto result = co_await connection->open(target, Clock::now() + m_options.connectTimeout);
    asio::steady_timer pause(m_executor);
    for (unsigned i = 0; i < maxFullRetries && result == DatabaseConnection::OpenResult::Full && Clock::now() - m_evictedAt < evictionTime; ++i) {
        pause.expires_after(evictionRetryDelay);
        co_await pause.async_wait(useTuple);
        connection = std::make_unique<DatabaseConnection>(m_executor);
        result = co_await connection->open(target, Clock::now() + m_options.connectTimeout);
    }
    m_opening.erase(std::find(m_opening.begin(), m_opening.end(), workspace));
    const auto now = Clock::now();
    if (result != DatabaseConnection::OpenResult::Open) {
        --m_count;
        recordOpenFailure(result, now);
        openMore(); // waits for the end of the pause
        co_return;
    }
    opened.add();
    m_full = false;
    m_lastReply = now;
    m_failures = 0;
    m_fullPauses.reset();
    ++m_busy;
    release(std::move(connection));
    openMore();
}

void DatabasePool::recordOpenFailure(DatabaseConnection::OpenResult result, TimePoint now)
{
    Metrics::instance().counter("waxwing_pool_connect_failures_total", "reason", openResultName(result)).add();
    if (result == DatabaseConnection::OpenResult::Full) {
        m_full = true;
        m_openAfter = now + m_fullPauses.next(m_longestFullPause);
        if (now >= m_nextFullLog) {
            m_nextFullLog = now + fullLogInterval;
            log::write(
                log::Level::Warning, "database full",
                {{"database", m_member.id()}, {"service", m_member.service()}, {"open", m_count}, {"share", m_options.share}, {"limit", m_options.limit}});
        }
    } else {
        m_full = false;
        ++m_failures;
        const auto pause = std::min(m_options.maxFailureRetryDelay, m_options.failureRetryDelay * (1U << std::min(m_failures - 1, 3U)));
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
    for (auto *connection : m_inUse) {
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

Duration DatabasePool::longestFullPause(std::size_t proxies, Duration maximum)
{
    const auto pause = fullAttemptInterval * static_cast<std::int64_t>(proxies);
    return std::min(maximum, std::max<Duration>(minFullPause, pause));
}

void DatabasePool::setLimits(std::size_t share, std::size_t limit, std::size_t proxies)
{
    m_longestFullPause = longestFullPause(proxies, m_options.maxFullRetryDelay);
    m_options.share = share;
    m_options.limit = limit;
    while (m_count > m_options.limit && !m_idle.empty()) {
        m_idle.erase(m_idle.begin());
        --m_count;
    }
    if (m_options.limit == 0) {
        endWaits();
    }
    openMore();
}

void DatabasePool::closeSurplus(TimePoint now)
{
    while (m_count > m_options.share && !m_idle.empty() && now - m_idle.front().since >= m_options.surplusIdleTimeout) {
        m_idle.erase(m_idle.begin());
        --m_count;
    }
    openMore();
}

void DatabasePool::recordLag(bool lagging, TimePoint now)
{
    if (!lagging) {
        m_consecutiveLags = 0;
        m_laggingUntil = now;
        return;
    }
    m_consecutiveLags = std::min(m_consecutiveLags + 1, maxLagCount);
    m_laggingUntil = now + initialLagRetryDelay * (1U << (m_consecutiveLags - 1));
}

void DatabasePool::warm(std::size_t count)
{
    m_warmConnections = count;
    openMore();
}

void DatabasePool::close()
{
    m_closed = true;
    m_count -= m_idle.size();
    m_idle.clear();
    endWaits();
}

void DatabasePool::recordSent(TimePoint now)
{
    ++m_sentSinceMeasurement;
    if (m_pendingExchanges++ == 0) {
        m_exchangesPendingSince = now;
    }
}

void DatabasePool::recordReply(TimePoint now)
{
    --m_pendingExchanges;
    m_lastReply = now;
    m_failures = 0;
}

void DatabasePool::recordReplyTime(Duration took, TimePoint now)
{
    m_replyTime = average(m_replyTime, took);
    m_replyTimeAt = now;
    m_sentSinceMeasurement = 0;
}

Duration DatabasePool::expectedWait(int rank, TimePoint now) const
{
    if (m_count == 0) {
        return std::max(Duration::zero(), m_openAfter - now);
    }
    const auto ahead = std::count_if(m_waiting.begin(), m_waiting.end(), [rank](const Waiter *waiter) { return waiter->rank <= rank; });
    if (ahead == 0 && (!m_idle.empty() || (m_count < m_options.limit && now >= m_openAfter))) {
        return Duration::zero();
    }
    const auto delay = m_busy == 0 ? Duration::zero() : std::max(Duration::zero(), now - m_lastHandOut - m_holdTime);
    return m_holdTime * (ahead + 1) / static_cast<int>(m_count) + delay;
}

Duration DatabasePool::expectedReply(Duration base, TimePoint now) const
{
    return m_replyTime == Duration::zero() ? base : weightedByAge(m_replyTime, base, measurementAge(now));
}

void DatabasePool::recordNoReply(TimePoint now)
{
    --m_pendingExchanges;
    m_avoidUntil = std::max(m_avoidUntil, now + avoidanceTime);
    ++m_failures;
}

bool DatabasePool::isPersistentlyLagging() const
{
    return m_consecutiveLags == maxLagCount;
}

std::string DatabasePool::describe() const
{
    return m_member.id() + (m_member.draining() ? " draining" : "") + " open " + std::to_string(m_count) + '/' + std::to_string(m_options.limit) + " idle "
        + std::to_string(m_idle.size()) + " used " + std::to_string(m_busy) + " running " + std::to_string(m_pendingExchanges) + " waiting "
        + std::to_string(m_waiting.size()) + " failures " + std::to_string(m_failures) + " lags " + std::to_string(m_consecutiveLags);
}

bool DatabasePool::isSilent(TimePoint now, Duration limit) const
{
    if (m_failures > 1 && m_lastReply + std::min(limit, lostConnectionTimeout) < now) {
        return true;
    }
    return m_pendingExchanges > 0 && std::max(m_exchangesPendingSince, m_lastReply) + limit < now;
}

} // namespace waxwing
