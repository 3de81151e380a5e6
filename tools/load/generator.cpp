#include "generator.h"

#include "load_options.h"

#include <waxwing/support/identifier.h>
#include <waxwing/transport/http_exchange.h>

#include <boost/asio/io_context.hpp>

#include <algorithm>

namespace waxwing::load
{

namespace
{

constexpr auto warmUp = 500ms; // Connections open before the first arrival.
// Beyond the deadline, for the response that tells that it has passed.
constexpr auto responseMargin = 1s;
constexpr unsigned maxAttempts = 6;
constexpr auto retryDelay = 100ms;
constexpr double ownKeyShare = 0.5; // Share of session reads of the key that the session wrote last.
constexpr double rollbackShare = 0.2;
constexpr unsigned transactionWrites = 3;

std::string costSuffix(double milliseconds)
{
    return " cost=" + std::to_string(milliseconds);
}

} // namespace

Generator::Generator(boost::asio::io_context &context, const LoadOptions &options)
    : m_context(context)
    , m_options(options)
    , m_classes(runClasses(options))
    , m_arrivals(planArrivals(options, m_classes))
    , m_api(options)
    , m_run(toHex(randomIdentifier()).substr(0, 8))
    , m_pool(context, options.proxies, options.connections, !options.isDirect)
    , m_history(options.history, m_run)
    , m_results(options, m_classes, m_arrivals)
    , m_random(options.seed ^ 0x9e3779b97f4a7c15ULL)
    , m_timer(context)
{
}

void Generator::start()
{
    m_pool.open();
    m_start = Clock::now() + warmUp;
    m_results.start(m_start);
    startDue();
}

void Generator::startDue()
{
    while (m_next < m_arrivals.size() && m_start + m_arrivals[m_next].planned <= Clock::now()) {
        startOperation(m_next++);
    }
    if (m_next == m_arrivals.size()) {
        finishIfLast();
        return;
    }
    m_timer.expires_after(m_start + m_arrivals[m_next].planned - Clock::now());
    m_timer.async_wait([this](const boost::system::error_code &) { startDue(); });
}

void Generator::startOperation(std::size_t index)
{
    const auto &arrival = m_arrivals[index];
    const auto operation = std::make_shared<Operation>();
    operation->identifier = index;
    operation->arrival = index;
    operation->operationClass = &m_classes[arrival.operation];
    operation->service = m_options.services[arrival.service];
    operation->planned = m_start + arrival.planned;
    operation->session = takeSession();
    if (operation->operationClass->mustNotRepeat) {
        operation->idempotencyKey = makeUuid7();
    }
    addSteps(*operation, arrival.key);
    ++m_inProgress;
    send(operation);
}

void Generator::addSteps(Operation &operation, unsigned number)
{
    const auto &operationClass = *operation.operationClass;
    auto &session = m_sessions[operation.session];
    std::string key = operation.service + "-key" + std::to_string(number);
    const auto value = key + ":" + m_run + ":" + std::to_string(operation.identifier);
    const auto cost = costSuffix(operationClass.costMilliseconds);
    if (operationClass.isTransaction && !m_options.isDirect) {
        operation.steps.push_back({.kind = Step::Kind::Begin});
        for (unsigned index = 0; index < transactionWrites; ++index) {
            const auto part = key + "-part" + std::to_string(index);
            const auto partValue = part + ":" + m_run + ":" + std::to_string(operation.identifier);
            operation.steps.push_back(
                {.kind = Step::Kind::TransactionStatement, .statement = "write " + part + " " + partValue + cost, .key = part, .value = partValue});
        }
        operation.steps.push_back({.kind = m_random.chance(rollbackShare) ? Step::Kind::Rollback : Step::Kind::Commit});
        return;
    }
    if (operationClass.isWrite) {
        session.lastKey = key;
        operation.steps.push_back({.statement = "write " + key + " " + value + cost, .key = key, .value = value});
        return;
    }
    if (operationClass.isLong) {
        // A prefix that no key has: the cost counts here, not the rows.
        key = operationClass.name;
        operation.steps.push_back({.statement = "scan " + key + cost, .key = key});
        return;
    }
    if (operationClass.freshness == "session" && session.lastKey.starts_with(operation.service + "-") && m_random.chance(ownKeyShare)) {
        key = session.lastKey;
    }
    operation.steps.push_back({.statement = "read " + key + cost, .key = key});
}

std::size_t Generator::takeSession()
{
    std::size_t index = m_sessions.size();
    if (m_idleSessions.empty()) {
        m_sessions.push_back({.proxy = m_random.between(0, m_options.proxies.size() - 1)});
    } else {
        // A random one of the idle sessions.
        std::swap(m_idleSessions[m_random.between(0, m_idleSessions.size() - 1)], m_idleSessions.back());
        index = m_idleSessions.back();
        m_idleSessions.pop_back();
    }
    if (m_random.chance(m_options.roam)) {
        m_sessions[index].proxy = m_random.between(0, m_options.proxies.size() - 1);
    }
    return index;
}

void Generator::send(const OperationPointer &operation)
{
    auto preferred = m_sessions[operation->session].proxy + operation->attempt;
    if (m_options.isDirect && operation->operationClass->isWrite) {
        preferred = 0;
    }
    m_pool.acquire(preferred % m_options.proxies.size(), [this, operation](ConnectionPool::Connection connection, std::size_t proxy) {
        operation->proxy = proxy;
        if (connection) {
            exchange(operation, std::move(connection));
            return;
        }
        Answer answer;
        answer.reason = "no-proxy";
        receive(operation, answer, Clock::now());
    });
}

void Generator::exchange(const OperationPointer &operation, ConnectionPool::Connection connection)
{
    const auto sent = Clock::now();
    // The planned arrival starts the deadline; a retry gets the full time again, up to the end of the retry window.
    const auto begin = operation->attempt == 0 ? operation->planned : sent;
    const auto end = operation->attempt == 0 ? begin + m_options.deadline : std::min(begin + m_options.deadline, operation->planned + m_options.retryWindow);
    const auto remaining = std::max<Duration>(end - sent, 1ms);
    const auto request = m_api.request(*operation, m_sessions[operation->session], remaining);
    auto &target = *connection;
    // Shared with the handler, which returns the connection to the pool.
    const auto held = std::make_shared<ConnectionPool::Connection>(std::move(connection));
    target.exchange(request, remaining + responseMargin, [this, operation, held, sent](HttpExchange &&exchange) {
        m_pool.release(std::move(*held), operation->proxy);
        receive(operation, m_api.answer(exchange), sent);
    });
}

void Generator::receive(const OperationPointer &operation, const Answer &answer, TimePoint sent)
{
    m_history.record(*operation, answer, sent);
    auto &session = m_sessions[operation->session];
    if (!answer.session.empty()) {
        session.token = answer.session;
    }
    if (operation->steps[operation->step].kind == Step::Kind::Begin) {
        operation->transaction = answer.transaction;
    }
    if (retries(*operation, answer)) {
        ++operation->attempt;
        const auto timer = std::make_shared<boost::asio::steady_timer>(m_context, retryDelay); // Shared with its handler.
        timer->async_wait([this, operation, timer](const boost::system::error_code &) { send(operation); });
        return;
    }
    if (answer.outcome == "done" && operation->step + 1 < operation->steps.size()) {
        ++operation->step;
        operation->attempt = 0;
        session.proxy = m_random.chance(m_options.roam) ? m_random.between(0, m_options.proxies.size() - 1) : session.proxy;
        send(operation);
        return;
    }
    finish(operation, answer);
}

bool Generator::retries(const Operation &operation, const Answer &answer) const
{
    if (!operation.operationClass->mustNotRepeat || m_options.isDirect || answer.outcome == "done" || answer.outcome == "failed") {
        return false;
    }
    return operation.attempt + 1 < maxAttempts && answer.status != 400 && answer.status != 409
        && Clock::now() + retryDelay < operation.planned + m_options.retryWindow;
}

void Generator::finish(const OperationPointer &operation, const Answer &answer)
{
    m_results.add(*operation, answer);
    m_idleSessions.push_back(operation->session);
    --m_inProgress;
    finishIfLast();
}

void Generator::finishIfLast()
{
    if (m_next == m_arrivals.size() && m_inProgress == 0) {
        m_pool.stop();
        m_context.stop();
    }
}

} // namespace waxwing::load
