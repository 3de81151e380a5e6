#include <waxwing/sessions/forward_codec.h>
#include <waxwing/sessions/forwarded_statements.h>
#include <waxwing/support/counter.h>
#include <waxwing/support/log.h>
#include <waxwing/support/metrics.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace waxwing
{

namespace asio = boost::asio;

namespace
{

// Idle timeout if the configuration sets none: the transactions of a crashed proxy stay open for this long.
constexpr Duration defaultIdleTimeout = 10s;

// Copies of a forwarded statement while it runs: message, job, and the text for the database.
constexpr std::size_t messageCopies = 6;

/// Tells whether the message has what a prepared statement is executed with. Those of earlier releases have a text with a name that is
/// not known here.
bool isReadable(const wire::PoolForward &message)
{
    return !message.executes() || message.has_arguments();
}

void countForwarded(std::string_view outcome)
{
    Metrics::instance().counter("waxwing_session_forwarded_total", "outcome", outcome).add();
}

} // namespace

ForwardedStatements::ForwardedStatements(asio::io_context &context, SessionDirectory &directory, StatementPath &path, Send send,
                                         std::shared_ptr<SessionResources> resources)
    : m_context(context)
    , m_directory(directory)
    , m_path(path)
    , m_send(std::move(send))
    , m_memory(new Memory {resources, {resources->budget, "other proxies"}})
{
    m_memory->account.excludeFromClosing();
}

void ForwardedStatements::receive(const std::string &proxy, const wire::PoolForward &message)
{
    dropEarlierIncarnations(proxy, message.incarnation());
    const Key key {proxy, message.incarnation(), message.transaction()};
    switch (message.kind()) {
    case wire::PoolForward::SINGLE:
    case wire::PoolForward::BEGIN:
        // A running statement of the transaction uses the entry that a second begin would replace.
        if (!canServe(message) || !hasMemory(message) || (message.kind() == wire::PoolForward::BEGIN && m_transactions.contains(key))) {
            countForwarded("declined");
            wire::PoolForwardAnswer content;
            content.set_result(wire::PoolForwardAnswer::DECLINED);
            answer(proxy, message, std::move(content));
            return;
        }
        asio::co_spawn(m_context, runFirst(proxy, message, hold(message)), asio::detached);
        return;
    case wire::PoolForward::CONTINUE:
    case wire::PoolForward::COMMIT: {
        const auto found = m_transactions.find(key);
        if (found == m_transactions.end() || found->second.busy || found->second.rollbackPending || !isReadable(message)) {
            countForwarded("no-transaction");
            wire::PoolForwardAnswer content;
            content.set_result(wire::PoolForwardAnswer::NO_TRANSACTION);
            answer(proxy, message, std::move(content));
            return;
        }
        found->second.busy = true;
        asio::co_spawn(m_context, runNext(proxy, message, hold(message)), asio::detached);
        return;
    }
    case wire::PoolForward::DROP:
        rollBack(key);
        return;
    default:
        countForwarded("unreadable");
    }
}

bool ForwardedStatements::canServe(const wire::PoolForward &message) const
{
    const auto *service = m_directory.service(message.service());
    return !m_stopping && isReadable(message) && service != nullptr && service->holdsConnections();
}

bool ForwardedStatements::hasMemory(const wire::PoolForward &message) const
{
    const auto length = message.ByteSizeLong();
    const bool has = BudgetPolicy::run(m_memory->account, length, messageCopies * length) == BudgetPolicy::Decision::Proceed;
    if (!has) {
        Metrics::instance().counter("waxwing_session_forwarded_memory_refusals_total").add();
        log::write(log::Level::Warning, "statement of another proxy declined for lack of memory",
                   {{"service", message.service()}, {"bytes", length}, {"used_bytes", m_memory->resources->budget.used()}});
    }
    return has;
}

ForwardedStatements::Held ForwardedStatements::hold(const wire::PoolForward &message) const
{
    return {m_memory, {m_memory->account, MemoryBudget::Kind::Forwarded, messageCopies * message.ByteSizeLong()}};
}

void ForwardedStatements::dropEarlierIncarnations(const std::string &proxy, std::uint64_t incarnation)
{
    auto &newest = m_incarnations[proxy];
    if (newest == incarnation) {
        return;
    }
    newest = incarnation;
    std::vector<Key> earlier;
    for (const auto &[key, transaction] : m_transactions) {
        if (key.proxy == proxy && key.incarnation != incarnation) {
            earlier.push_back(key);
        }
    }
    for (const auto &key : earlier) {
        rollBack(key);
    }
}

void ForwardedStatements::rollBack(const Key &key)
{
    const auto found = m_transactions.find(key);
    if (found == m_transactions.end()) {
        return;
    }
    if (found->second.busy) {
        found->second.rollbackPending = true;
    } else {
        m_transactions.erase(found);
    }
}

void ForwardedStatements::stateLoad(const std::string &service, wire::PoolForwardAnswer &content) const
{
    const auto *state = m_directory.service(service);
    if (state == nullptr) {
        return;
    }
    std::size_t waiting = 0;
    std::size_t running = 0;
    for (const auto &[id, pool] : state->pools()) {
        waiting += pool->waiting();
        running += pool->busy();
    }
    content.set_waiting(static_cast<std::uint32_t>(waiting));
    content.set_running(static_cast<std::uint32_t>(running));
    content.set_states_load(true);
}

void ForwardedStatements::answer(const std::string &proxy, const wire::PoolForward &message, wire::PoolForwardAnswer content)
{
    content.set_correlation(message.correlation());
    content.set_incarnation(message.incarnation());
    stateLoad(message.service(), content);
    // Rounded up, because 0 states that there is no lease.
    const auto leaseLeft = m_directory.lease().expiresAt() - Clock::now();
    content.set_states_load(true);
    content.set_lease_left_ms(leaseLeft > Duration::zero() ? static_cast<std::uint32_t>(toMilliseconds(leaseLeft).count()) + 1 : 0);
    m_send(proxy, content);
}

asio::awaitable<void> ForwardedStatements::runFirst(std::string proxy, wire::PoolForward message, Held /*held*/)
{
    const Key key {proxy, message.incarnation(), message.transaction()};
    const bool begins = message.kind() == wire::PoolForward::BEGIN;
    if (begins) {
        m_transactions[key].idleTimeout = message.idle_ms() == 0 ? defaultIdleTimeout : Duration(std::chrono::milliseconds(message.idle_ms()));
    }
    ++m_running;
    const auto session = decodeForwardSession(message);
    const auto job = decodeForwardJob(message, session, Clock::now());
    auto result = co_await m_path.run(job);
    --m_running;
    auto content = encodeForwardAnswer(result);
    if (result.declined) {
        content.set_result(wire::PoolForwardAnswer::DECLINED);
    }
    if (begins) {
        auto &transaction = m_transactions[key];
        transaction.busy = false;
        transaction.idleSince = Clock::now();
        transaction.open = std::move(result.transaction);
        content.set_open(transaction.open != nullptr && !transaction.rollbackPending);
        if (!content.open()) {
            m_transactions.erase(key);
        }
    }
    if (result.declined) {
        countForwarded("declined");
    } else {
        countForwarded(result.error == SessionError::None ? "done" : "not-done");
    }
    answer(proxy, message, std::move(content));
}

asio::awaitable<void> ForwardedStatements::runNext(std::string proxy, wire::PoolForward message, Held /*held*/)
{
    const Key key {proxy, message.incarnation(), message.transaction()};
    const bool commits = message.kind() == wire::PoolForward::COMMIT;
    ++m_running;
    const auto session = decodeForwardSession(message);
    const auto job = decodeForwardJob(message, session, Clock::now());
    auto &transaction = m_transactions[key];
    StatementResult result;
    if (commits) {
        result = co_await transaction.open->commit(job, m_directory);
    } else {
        result = co_await transaction.open->run(job);
    }
    --m_running;
    transaction.busy = false;
    transaction.idleSince = Clock::now();
    auto content = encodeForwardAnswer(result);
    content.set_open(!commits && result.error == SessionError::None && !transaction.rollbackPending);
    if (!content.open()) {
        m_transactions.erase(key);
    }
    countForwarded(result.error == SessionError::None ? "done" : "not-done");
    answer(proxy, message, std::move(content));
}

void ForwardedStatements::tick(TimePoint now)
{
    std::erase_if(m_transactions, [now](const auto &item) {
        const auto &transaction = item.second;
        return !transaction.busy && now - transaction.idleSince >= transaction.idleTimeout;
    });
}

void ForwardedStatements::abortTransactions()
{
    std::erase_if(m_transactions, [](const auto &item) { return !item.second.busy; });
}

} // namespace waxwing
