#include "socket_options.h"

#include <waxwing/platform/caller_wire.h>
#include <waxwing/platform/database_wire.h>
#include <waxwing/sessions/client_session.h>
#include <waxwing/sessions/retry_advice.h>
#include <waxwing/sessions/statement_log.h>
#include <waxwing/support/budget_policy.h>
#include <waxwing/support/counter.h>
#include <waxwing/support/log.h>
#include <waxwing/support/metrics.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace waxwing
{

namespace asio = boost::asio;

namespace
{

constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t readBytes = 4096; // more than the usual request of 200 bytes

// Callers that disappear are detected within half a minute, at the cost of one probe every 20 s.
constexpr Duration callerUnacknowledgedTimeout = 10s;
constexpr Duration callerKeepAliveIdle = 20s;
// Answers are complete this long before the statement times out, which leaves time for their transmission.
constexpr Duration answerMargin = 30ms;
// How long a start or a statement waits for the configuration; callers time out a start after 2 s.
constexpr Duration configTimeout = 1500ms;
// A new connection counts as idle only after this time without a start message. Callers send the message as soon as they are
// connected, and a round trip between two regions takes at most 40 ms.
constexpr Duration startGracePeriod = 500ms;
// A stopping proxy has been removed from the load balancer, so the caller's next connection reaches another proxy.
constexpr Duration otherProxyRetryDelay = 20ms;
// Reasons of refusals without a route.
constexpr std::string_view stoppingReason = "stopping";
constexpr std::string_view noConfigReason = "no-configuration";
constexpr std::string_view unconfirmedReason = "configuration-unconfirmed";
constexpr std::size_t excerptBytes = 64; // names of databases are shorter

// Values and prepared statements that one session may keep; several messages of the greatest length.
constexpr std::size_t maxStoredBytes = std::size_t(4) << 20;
constexpr std::size_t storedEntryBytes = 128; // memory of an entry besides its texts
// Copies of a message and of the session's state while a statement runs: request, job, and texts that are sent to a database or a holder.
constexpr std::size_t messageCopies = 6;
constexpr std::size_t stateCopies = 3;
// Interval at which a session that gives way asks for memory again.
constexpr Duration readMemoryPoll = 100ms;
constexpr Duration runMemoryPoll = 20ms;
// A message that finds no memory is refused after this time, so that its caller can still use another proxy.
constexpr Duration memoryTimeout = 1s;
constexpr std::string_view memoryReason = "memory";
constexpr std::string_view stateReason = "session-state";
constexpr std::string_view messageTooLongText = "not run, the message is too long to be passed on";
constexpr std::string_view sessionTooLargeText = "not run, the session keeps too much";

/// Tells whether a message from a caller may be too long for a database once the proxy has added to it.
bool isTooLarge(const SessionStatement &statement)
{
    using Kind = SessionStatement::Kind;
    const bool grows = statement.kind == Kind::Read || statement.kind == Kind::Execute || statement.kind == Kind::Prepare
        || (statement.kind == Kind::SetValue && statement.value.empty()); // the caller may leave out the blank before the value
    return grows && platform::encodeStatement(statement.id, statement.text).size() + platform::maxAddedBytes > platform::LineReader::maxLine;
}

/// Start of a name that a caller sent, for the log: printable characters only.
std::string excerpt(std::string_view name)
{
    std::string text(name.substr(0, excerptBytes));
    std::replace_if(
        text.begin(), text.end(), [](char c) { return c < ' ' || c > '~'; }, '?');
    return text;
}

/// @param received bytes that were read before the close; 0 if they are still in the socket
void recordCancelledClosing(std::size_t received)
{
    static auto &counter = Metrics::instance().counter("waxwing_session_closings_cancelled_total");
    counter.add();
    log::write(log::Level::Info, "closing of a session cancelled", {{"received_bytes", received}});
}

} // namespace

ClientSession::ClientSession(asio::ip::tcp::socket socket, SessionDirectory &directory, StatementBackend &backend, std::shared_ptr<SessionResources> resources,
                             std::string address)
    : m_resources(std::move(resources))
    , m_address(std::move(address))
    , m_account(m_resources->budget, m_address)
    , m_buffered(m_account, MemoryBudget::Kind::ReadBuffer)
    , m_stored(m_account, MemoryBudget::Kind::SessionState)
    , m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
    , m_limitTimer(m_socket.get_executor())
    , m_directory(directory)
    , m_backend(backend)
{
    configureSocket(m_socket, callerUnacknowledgedTimeout, callerKeepAliveIdle);
}

asio::awaitable<void> ClientSession::serve()
{
    m_limitTimer.start(m_resources->limits.firstMessage, [this] { close("first-message"); });
    std::string line;
    while (!m_ended) {
        const bool received = co_await readLine(line);
        if (!received) {
            break;
        }
        m_requestOutstanding = true;
        std::string answer;
        if (m_lines.takeDiscarded()) {
            answer = refuseForMemory();
        } else {
            answer = co_await answerMessage(std::move(line));
            line.clear();
        }
        if (answer.empty()) {
            break;
        }
        const bool sent = co_await send(std::move(answer));
        m_requestOutstanding = false;
        if (!sent || (m_backend.isStopping() && isIdle())) {
            break;
        }
    }
    m_ended = true;
    m_limitTimer.cancel();
    if (m_transactionState == TransactionState::Open) {
        rollBackTransaction();
    }
    if (!m_startedWorkspace.empty()) {
        m_directory.admission().recordSession(m_startedWorkspace, false);
    }
    boost::system::error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    m_socket.close(ignored);
}

asio::awaitable<std::string> ClientSession::answerMessage(std::string line)
{
    const auto length = line.size();
    MemoryBudget::Reservation running(m_account, MemoryBudget::Kind::Message, line.capacity());
    const bool admitted = co_await awaitRunMemory(running, length);
    if (!admitted) {
        co_return refuseForMemory();
    }
    auto request = platform::decodeRequest(line);
    std::string().swap(line);
    if (request.kind == SessionRequest::Kind::Terminate) {
        co_return std::string();
    }
    std::string answer = co_await handle(std::move(request));
    co_return answer;
}

asio::awaitable<bool> ClientSession::awaitRunMemory(MemoryBudget::Reservation &running, std::size_t length)
{
    const auto bytes = messageCopies * length + stateCopies * m_stored.bytes();
    const auto deadline = m_receivedAt + std::min(memoryTimeout, m_statementTimeout > Duration::zero() ? m_statementTimeout / 2 : memoryTimeout);
    while (BudgetPolicy::run(m_account, length + m_stored.bytes(), bytes) != BudgetPolicy::Decision::Proceed) {
        if (m_closed || Clock::now() >= deadline) {
            co_return false;
        }
        asio::steady_timer pause(m_socket.get_executor(), runMemoryPoll);
        co_await pause.async_wait(useTuple);
    }
    running.resize(bytes);
    co_return true;
}

std::string ClientSession::refuseForMemory()
{
    Metrics::instance().counter("waxwing_session_refusals_total", "reason", memoryReason).add();
    log::write(log::Level::Warning, "message refused for lack of memory",
               {{"address", m_address}, {"held_bytes", m_account.used()}, {"used_bytes", m_resources->budget.used()}});
    const auto text = RetryAdvice::text(RetryAdvice::otherProxy, memoryReason, false);
    if (m_database.empty()) {
        m_ended = true;
        countOutcome(SessionError::Busy);
        return platform::encodeStartRefusal(SessionError::Busy, text);
    }
    if (m_transactionState == TransactionState::Open) {
        return failTransaction(SessionError::Aborted, "memory is short; nothing is kept");
    }
    countOutcome(SessionError::Busy);
    return platform::encodeError(SessionError::Busy, text, m_transactionState);
}

void ClientSession::close(std::string_view reason)
{
    if (std::exchange(m_closed, true)) {
        return;
    }
    Metrics::instance().counter("waxwing_session_clients_closed_total", "reason", reason).add();
    log::write(log::Level::Warning, "client closed by a limit", {{"reason", reason}, {"address", m_address}, {"held_bytes", m_account.used()}});
    m_account.excludeFromClosing();
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

void ClientSession::recordBuffer()
{
    // The buffers of idle sessions are part of what a session costs; with them, no client would ever be the only one that holds memory.
    m_buffered.resize(m_lines.capacity() > readBytes ? m_lines.capacity() : 0);
}

void ClientSession::limitMessageTime()
{
    if (m_hasStarted && !m_messageLimited && !m_lines.isEmpty()) {
        m_messageLimited = true;
        m_limitTimer.start(m_resources->limits.messageTime, [this] { close("message-time"); });
    }
}

asio::awaitable<bool> ClientSession::awaitReadMemory()
{
    const auto deadline = Clock::now() + memoryTimeout;
    while (!m_closed && !m_lines.isDiscarding()) {
        const auto length = m_lines.size() + readBytes;
        const auto decision = BudgetPolicy::readMore(m_account, length, m_lines.capacityWith(readBytes) - m_lines.capacity());
        if (decision == BudgetPolicy::Decision::Proceed) {
            m_buffered.resize(m_lines.capacityWith(readBytes));
            m_resources->relieve();
            break;
        }
        if (decision == BudgetPolicy::Decision::Refuse || (length > BudgetPolicy::smallMessage && Clock::now() >= deadline)) {
            m_lines.discardLine();
            m_buffered.resize(0);
            break;
        }
        asio::steady_timer pause(m_socket.get_executor(), readMemoryPoll);
        co_await pause.async_wait(useTuple);
    }
    co_return !m_closed;
}

asio::awaitable<bool> ClientSession::readLine(std::string &line)
{
    while (true) {
        if (m_lines.hasDiscarded()) {
            break;
        }
        if (const auto next = m_lines.next()) {
            line.assign(*next);
            m_lines.releaseReturned();
            break;
        }
        if (m_lines.isOverflowing()) {
            std::string refusal = platform::encodeStartRefusal(SessionError::TooLarge, "a message has at most 1 MiB");
            co_await send(std::move(refusal));
            co_return false;
        }
        recordBuffer();
        limitMessageTime();
        // Short messages on an idle connection need no decision.
        if (!m_lines.isEmpty()) {
            const bool open = co_await awaitReadMemory();
            if (!open) {
                co_return false;
            }
        }
        const auto config = m_directory.config();
        if (m_transactionState == TransactionState::Open && config && config->transactionIdle != Duration::zero()) {
            m_timer.start(config->transactionIdle, [this] { abortTransaction("idle for too long"); });
        }
        std::array<char, readBytes> chunk {};
        auto [error, size] = co_await m_socket.async_read_some(asio::buffer(chunk), useTuple);
        m_timer.cancel();
        const bool closing = std::exchange(m_closing, false);
        if (error == asio::error::operation_aborted && closing && !isIdle()) {
            recordCancelledClosing(0);
            continue;
        }
        if (error) {
            co_return false;
        }
        if (closing) {
            recordCancelledClosing(size);
        }
        m_receivedAt = Clock::now();
        m_lines.add(std::string_view(chunk.data(), size));
    }
    m_hasStarted = true;
    m_messageLimited = false;
    m_limitTimer.cancel();
    recordBuffer();
    co_return true;
}

asio::awaitable<bool> ClientSession::send(std::string bytes)
{
    const MemoryBudget::Reservation held(m_account, MemoryBudget::Kind::Answer, bytes.capacity());
    m_resources->relieve();
    m_limitTimer.start(m_resources->limits.unreadAnswer, [this] { close("unread-answer"); });
    auto [error, size] = co_await asio::async_write(m_socket, asio::buffer(bytes), useTuple);
    m_limitTimer.cancel();
    co_return !error;
}

asio::awaitable<std::string> ClientSession::handle(SessionRequest request)
{
    if (request.kind == SessionRequest::Kind::Statement && !m_database.empty()) {
        std::string answer = co_await handleStatement(std::move(request.statement));
        co_return answer;
    }
    if (request.kind == SessionRequest::Kind::Start && m_database.empty()) {
        std::string answer = co_await start(std::move(request.database), std::move(request.key));
        co_return answer;
    }
    m_ended = true;
    co_return platform::encodeStartRefusal(SessionError::Malformed, "not a valid message");
}

asio::awaitable<std::string> ClientSession::start(std::string database, std::string key)
{
    m_database = std::move(database);
    m_key = std::move(key);
    // After the start of the process the configuration arrives within moments, which is sooner than the caller's next attempt.
    if (!access()) {
        co_await awaitAccess(m_backend.limitDeadline(m_receivedAt + configTimeout));
    }
    if (m_backend.isStopping()) {
        co_return refuseStart();
    }
    const auto granted = access();
    if (!granted) {
        m_ended = true;
        const auto refusal = refuseAccess();
        co_return platform::encodeStartRefusal(refusal.error, refusal.text);
    }
    m_statementTimeout = granted.route->statementTimeout;
    m_startedWorkspace = granted.caller.workspace;
    if (!m_startedWorkspace.empty()) {
        m_directory.admission().recordSession(m_startedWorkspace, true);
    }
    co_return platform::encodeReady(m_transactionState);
}

std::string ClientSession::refuseStart()
{
    m_ended = true;
    countOutcome(SessionError::Busy);
    return platform::encodeStartRefusal(SessionError::Busy,
                                        "not run, the proxy stops, retry after " + std::to_string(toMilliseconds(otherProxyRetryDelay).count()) + " ms");
}

ClientSession::Access ClientSession::access() const
{
    const auto &config = m_directory.config();
    if (!config) {
        return {};
    }
    Access result;
    if (const auto found = config->routes.find(m_database); found != config->routes.end()) {
        result.route = &found->second;
    }
    const auto *workspace = config->findWorkspaceByKey(m_key);
    if (workspace != nullptr) {
        result.caller = {workspace->name, workspace->priority, workspace->operationsPerSecond > 0};
    }
    result.isAuthorized = workspace != nullptr || !config->hasWorkspaces || (result.route != nullptr && result.route->isPublic);
    return result;
}

bool ClientSession::mayContinueTransaction() const
{
    const auto &config = m_directory.config();
    if (!config || m_transaction.caller.workspace.empty()) {
        return true;
    }
    const auto *workspace = config->findWorkspaceByKey(m_key);
    return workspace != nullptr && workspace->name == m_transaction.caller.workspace;
}

TimePoint ClientSession::answerLimit(Duration statementTimeout) const
{
    return m_backend.limitDeadline(m_receivedAt + statementTimeout - std::min(answerMargin, statementTimeout / 4));
}

asio::awaitable<void> ClientSession::awaitAccess(TimePoint limit)
{
    const auto deadline = std::min(limit, m_receivedAt + configTimeout);
    for (auto now = Clock::now(); now < deadline; now = Clock::now()) {
        if (access() || m_directory.hasLatestConfig(now) || m_backend.isStopping()) {
            co_return;
        }
        co_await m_directory.waitForConfig(deadline);
    }
}

ClientSession::Refusal ClientSession::refuseAccess() const
{
    const auto now = Clock::now();
    Refusal refusal {SessionError::UnknownDatabase, "no such database"};
    if (access().route != nullptr) {
        refusal = {SessionError::Unauthorized, "no such key", true};
    }
    if (!m_directory.hasLatestConfig(now)) {
        const std::string_view reason = m_backend.isStopping() ? stoppingReason : m_directory.config() ? unconfirmedReason : noConfigReason;
        Metrics::instance().counter("waxwing_session_refusals_total", "reason", reason).add();
        refusal.error = SessionError::Busy;
        refusal.text = RetryAdvice::text(RetryAdvice::otherProxy, reason, false);
    }
    countOutcome(refusal.error);
    log::write(log::Level::Info, refusal.isKeyUnknown ? "unknown key" : "name without a route",
               {{"request", m_requestId},
                {"name", excerpt(m_database)},
                {"answer", refusal.text},
                {"config_version", m_directory.configVersion()},
                {"newest_version", m_directory.newestConfigVersion()},
                {"lease_left_ms", toMilliseconds(m_directory.lease().expiresAt() - now).count()},
                {"held_ms", toMilliseconds(now - m_receivedAt).count()}});
    return refusal;
}

asio::awaitable<std::string> ClientSession::handleStatement(SessionStatement statement)
{
    using Kind = SessionStatement::Kind;
    m_requestId = statement.id;
    if (m_transactionState == TransactionState::Failed) {
        co_return co_await handleFailed(statement);
    }
    const bool open = m_transactionState == TransactionState::Open;
    if (open && !mayContinueTransaction()) {
        co_return failTransaction(SessionError::Unauthorized, "the key was withdrawn; nothing is kept");
    }
    if (isTooLarge(statement)) {
        co_return refuseTooLarge(messageTooLongText, open && statement.kind != Kind::Prepare);
    }
    switch (statement.kind) {
    case Kind::SetValue:
    case Kind::Prepare:
    case Kind::Deallocate:
        co_return storeInSession(statement);
    case Kind::Begin:
    case Kind::BeginReadOnly:
        if (!open) {
            co_return co_await begin(statement.kind == Kind::BeginReadOnly);
        }
        break;
    case Kind::Rollback:
        if (open) {
            co_return rollback();
        }
        break;
    case Kind::Commit:
        if (open) {
            co_return co_await commit(std::move(statement));
        }
        break;
    case Kind::Read:
    case Kind::Write:
    case Kind::Execute:
        if (open) {
            co_return co_await runInTransaction(std::move(statement));
        }
        co_return co_await runSingle(std::move(statement));
    case Kind::Unreadable:
        break;
    }
    countOutcome(SessionError::Malformed);
    co_return platform::encodeError(SessionError::Malformed, "not valid here", m_transactionState);
}

asio::awaitable<std::string> ClientSession::handleFailed(const SessionStatement &statement)
{
    using Kind = SessionStatement::Kind;
    if (statement.kind == Kind::Rollback) {
        m_transactionState = TransactionState::Idle;
        co_return platform::encodeAccepted(m_transactionState);
    }
    if (statement.kind == Kind::Commit) {
        m_transactionState = TransactionState::Idle;
        co_return platform::encodeError(SessionError::Aborted, "the transaction was rolled back", m_transactionState);
    }
    // The abort of a transaction between two statements is reported in the answer to the next statement.
    auto failure = std::exchange(m_transaction.failure, {});
    const auto error = failure.empty() ? SessionError::Malformed : SessionError::Aborted;
    countOutcome(error);
    co_return platform::encodeError(error, failure.empty() ? "the transaction has failed" : failure, m_transactionState);
}

std::string ClientSession::refuseTooLarge(std::string_view text, bool endsTransaction)
{
    if (endsTransaction) {
        return failTransaction(SessionError::TooLarge, text);
    }
    countOutcome(SessionError::TooLarge);
    return platform::encodeError(SessionError::TooLarge, text, m_transactionState);
}

std::string ClientSession::storeInSession(const SessionStatement &statement)
{
    using Kind = SessionStatement::Kind;
    const auto size = [&](const std::string &content) {
        return storedEntryBytes + statement.name.size() + content.size();
    };
    auto stored = m_stored.bytes();
    if (statement.kind == Kind::SetValue) {
        const auto known = m_state.values.find(statement.name);
        stored += size(statement.value);
        stored -= known == m_state.values.end() ? 0 : size(known->second);
    } else {
        const auto known = m_state.prepared.find(statement.name);
        if (statement.kind == Kind::Deallocate && known == m_state.prepared.end()) {
            return platform::encodeError(SessionError::UnknownStatement, "no such prepared statement", m_transactionState);
        }
        stored += statement.kind == Kind::Prepare ? size(statement.shape) : 0;
        stored -= known == m_state.prepared.end() ? 0 : size(known->second.shape);
    }
    if (stored > maxStoredBytes) {
        return refuseTooLarge(sessionTooLargeText, false);
    }
    if (stored > m_stored.bytes() && !BudgetPolicy::mayStore(m_account, stored - m_stored.bytes())) {
        Metrics::instance().counter("waxwing_session_refusals_total", "reason", stateReason).add();
        countOutcome(SessionError::Busy);
        return platform::encodeError(SessionError::Busy, RetryAdvice::text(RetryAdvice::otherProxy, stateReason, false), m_transactionState);
    }
    m_stored.resize(stored);
    if (statement.kind == Kind::SetValue) {
        m_state.values[statement.name] = statement.value;
    } else if (statement.kind == Kind::Prepare) {
        m_state.prepared[statement.name] = {statement.writes, statement.shape};
    } else {
        m_state.prepared.erase(statement.name);
    }
    return platform::encodeAccepted(m_transactionState);
}

asio::awaitable<std::string> ClientSession::begin(bool readOnly)
{
    if (!access()) {
        co_await awaitAccess(answerLimit(m_statementTimeout));
    }
    const auto granted = access();
    if (!granted) {
        const auto refusal = refuseAccess();
        co_return platform::encodeError(refusal.error, refusal.text, m_transactionState);
    }
    m_statementTimeout = granted.route->statementTimeout;
    // Copied, since the configuration may change while the operation waits.
    const auto route = *granted.route;
    const auto caller = granted.caller;
    if (m_backend.isStopping()) {
        countOutcome(SessionError::Busy);
        co_return platform::encodeError(
            SessionError::Busy, "not run, retry after " + std::to_string(toMilliseconds(otherProxyRetryDelay).count()) + " ms: stopping", m_transactionState);
    }
    const auto refusal = co_await admit(caller);
    if (!refusal.empty()) {
        co_return refusal;
    }
    m_transaction = {};
    m_transaction.route = route;
    m_transaction.caller = caller;
    m_transaction.readOnly = readOnly;
    m_transactionState = TransactionState::Open;
    co_return platform::encodeAccepted(m_transactionState);
}

asio::awaitable<std::string> ClientSession::admit(Caller caller)
{
    if (!caller.hasRateLimit) {
        co_return std::string();
    }
    const auto refusal = co_await m_directory.admission().admit(caller.workspace, answerLimit(m_statementTimeout / 2));
    if (!refusal) {
        co_return std::string();
    }
    countOutcome(SessionError::Busy);
    co_return platform::encodeError(SessionError::Busy, RetryAdvice::text(refusal->retryAfter, refusal->reason, false), m_transactionState);
}

std::string ClientSession::rollback()
{
    rollBackTransaction();
    m_transactionState = TransactionState::Idle;
    return platform::encodeAccepted(m_transactionState);
}

void ClientSession::rollBackTransaction()
{
    m_backend.rollBack(m_transaction.begun);
}

std::string ClientSession::failTransaction(SessionError error, std::string_view text)
{
    countOutcome(error);
    log::write(log::Level::Info, "transaction failed",
               {{"request", m_requestId},
                {"service", m_transaction.route.service},
                {"database", m_transaction.begun.database},
                {"error", static_cast<int>(error)},
                {"text", text},
                {"held_ms", toMilliseconds(Clock::now() - m_receivedAt).count()},
                {"directory_version", m_directory.directoryVersion()}});
    rollBackTransaction();
    m_transactionState = TransactionState::Failed;
    return platform::encodeError(error, text, m_transactionState);
}

void ClientSession::abortTransaction(std::string_view reason)
{
    if (m_requestOutstanding || m_transactionState != TransactionState::Open) {
        return;
    }
    rollBackTransaction();
    m_transactionState = TransactionState::Failed;
    m_transaction.failure = "rolled back: " + std::string(reason);
}

bool ClientSession::isIdle() const
{
    boost::system::error_code ignored;
    const bool awaitsStart = m_database.empty() && Clock::now() - m_acceptedAt < startGracePeriod;
    return !awaitsStart && !m_requestOutstanding && m_transactionState == TransactionState::Idle && m_lines.isEmpty() && m_socket.available(ignored) == 0;
}

void ClientSession::closeIfIdle()
{
    if (!isIdle()) {
        return;
    }
    // The pending read is cancelled instead of shutting down the socket: a shutdown would let the read take a request that can't be
    // answered any more. A read that has already completed still delivers its request.
    m_closing = true;
    boost::system::error_code ignored;
    m_socket.cancel(ignored);
}

std::optional<SessionJob> ClientSession::makeJob(const SessionStatement &statement, const PoolRoute &route, const Caller &caller) const
{
    SessionJob job;
    job.route = route;
    job.workspace = caller.workspace;
    job.workspacePriority = caller.priority;
    job.session = &m_state;
    job.id = statement.id;
    job.text = statement.text;
    job.writes = statement.kind == SessionStatement::Kind::Write;
    job.receivedAt = m_receivedAt;
    job.deadline = answerLimit(route.statementTimeout);
    if (statement.kind == SessionStatement::Kind::Execute) {
        const auto known = m_state.prepared.find(statement.name);
        if (known == m_state.prepared.end()) {
            return std::nullopt;
        }
        job.prepared = known->second;
        job.writes = known->second.writes;
        job.text = statement.arguments;
    }
    return job;
}

void ClientSession::recordCommit(const std::string &service, const StatementResult &result)
{
    if (result.committed) {
        auto &position = m_state.positions[service];
        position = std::max(position, *result.committed);
    }
}

std::string ClientSession::logUnknown(const SessionStatement &statement, const PoolRoute &route, const std::string &text, std::string answer) const
{
    const auto now = Clock::now();
    log::write(log::Level::Info, "outcome unknown",
               {{"request", statement.id},
                {"service", route.service},
                {"reason", text},
                {"held_ms", toMilliseconds(now - m_receivedAt).count()},
                {"lease_left_ms", toMilliseconds(m_directory.lease().expiresAt() - now).count()},
                {"directory_version", m_directory.directoryVersion()}});
    return answer;
}

asio::awaitable<std::string> ClientSession::runSingle(SessionStatement statement)
{
    if (!access()) {
        co_await awaitAccess(answerLimit(m_statementTimeout));
    }
    const auto granted = access();
    if (!granted) {
        const auto refusal = refuseAccess();
        co_return platform::encodeError(refusal.error, refusal.text, m_transactionState);
    }
    m_statementTimeout = granted.route->statementTimeout;
    const auto job = makeJob(statement, *granted.route, granted.caller);
    if (!job) {
        co_return platform::encodeError(SessionError::UnknownStatement, "no such prepared statement", m_transactionState);
    }
    const auto refusal = co_await admit(granted.caller);
    if (!refusal.empty()) {
        co_return refusal;
    }
    SessionTransaction unused;
    const auto result = co_await m_backend.run(*job, unused);
    countOutcome(result.error);
    recordCommit(job->route.service, result);
    if (result.error == SessionError::None) {
        co_return platform::encodeResult(result.reply, m_transactionState);
    }
    auto answer = platform::encodeError(result.error, result.text, m_transactionState);
    co_return result.error == SessionError::Unknown ? logUnknown(statement, job->route, result.text, std::move(answer)) : std::move(answer);
}

asio::awaitable<std::string> ClientSession::beginWith(SessionStatement statement, bool commits)
{
    auto job = makeJob(statement, m_transaction.route, m_transaction.caller);
    if (!job) {
        co_return failTransaction(SessionError::UnknownStatement, "no such prepared statement");
    }
    job->begins = true;
    job->readOnly = m_transaction.readOnly;
    job->commits = commits;
    const auto result = co_await m_backend.run(*job, m_transaction.begun);
    if (commits) {
        m_transactionState = TransactionState::Idle;
        countOutcome(result.error);
        co_return result.error == SessionError::None ? platform::encodeResult(result.reply, m_transactionState)
                                                     : platform::encodeError(result.error, result.text, m_transactionState);
    }
    if (result.error != SessionError::None) {
        co_return failTransaction(result.error, result.text);
    }
    countOutcome(result.error);
    m_transaction.writes = job->writes;
    if (!m_transaction.begun.isBegun()) {
        co_return failTransaction(SessionError::Aborted, "the database ended the transaction");
    }
    co_return platform::encodeResult(result.reply, m_transactionState);
}

asio::awaitable<std::string> ClientSession::runInTransaction(SessionStatement statement)
{
    if (!m_transaction.begun.isBegun()) {
        std::string answer = co_await beginWith(std::move(statement), false);
        co_return answer;
    }
    const auto job = makeJob(statement, m_transaction.route, m_transaction.caller);
    if (!job) {
        co_return failTransaction(SessionError::UnknownStatement, "no such prepared statement");
    }
    m_transaction.writes = m_transaction.writes || job->writes;
    const auto result = co_await m_backend.runIn(m_transaction.begun, *job);
    if (result.error != SessionError::None) {
        co_return failTransaction(result.error, result.text);
    }
    countOutcome(result.error);
    recordSuccess(*job, {.database = result.database, .queued = result.queued, .ran = result.ran});
    co_return platform::encodeResult(result.reply, m_transactionState);
}

asio::awaitable<std::string> ClientSession::commit(SessionStatement statement)
{
    if (!m_transaction.begun.isBegun()) {
        std::string answer = co_await beginWith(std::move(statement), true);
        co_return answer;
    }
    auto job = makeJob(statement, m_transaction.route, m_transaction.caller);
    job->writes = m_transaction.writes;
    const auto result = co_await m_backend.commit(m_transaction.begun, *job);
    recordCommit(job->route.service, result);
    m_transactionState = TransactionState::Idle;
    countOutcome(result.error);
    if (result.error == SessionError::None) {
        co_return platform::encodeResult(result.reply, m_transactionState);
    }
    auto answer = platform::encodeError(result.error, result.text, m_transactionState);
    co_return result.error == SessionError::Unknown ? logUnknown(statement, job->route, result.text, std::move(answer)) : std::move(answer);
}

} // namespace waxwing
