#include "database_calls.h"

#include <waxwing/platform/database_wire.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace waxwing::control
{

namespace asio = boost::asio;

namespace
{

// Delay before a database without a free slot is asked again; about the duration of one statement.
constexpr Duration busyRetryDelay = 15ms;

DatabaseCalls::Reach reachOf(DatabaseConnection::OpenResult result)
{
    switch (result) {
    case DatabaseConnection::OpenResult::Refused:
        return DatabaseCalls::Reach::Refused;
    case DatabaseConnection::OpenResult::WrongInstance:
        return DatabaseCalls::Reach::Replaced;
    case DatabaseConnection::OpenResult::Silent:
        return DatabaseCalls::Reach::Silent;
    case DatabaseConnection::OpenResult::Full:
    case DatabaseConnection::OpenResult::Open:
        break;
    }
    return DatabaseCalls::Reach::Busy;
}

std::string commandText(DatabaseCalls::Command command, std::uint64_t term)
{
    switch (command) {
    case DatabaseCalls::Command::Status:
        return platform::statusText();
    case DatabaseCalls::Command::Pause:
        return platform::pauseText(term);
    case DatabaseCalls::Command::StepDown:
        return platform::stepDownText(term);
    case DatabaseCalls::Command::Resume:
        break;
    }
    return platform::resumeText();
}

/// Answers of several calls; shared by the calls and the coroutine that waits for them.
struct PendingAnswers
{
    explicit PendingAnswers(asio::io_context &context)
        : signal(context, asio::steady_timer::time_point::max())
    {
    }

    std::map<std::string, DatabaseCalls::Answer> answers;
    std::size_t missing = 0;
    asio::steady_timer signal;
};

} // namespace

bool isPaused(const DatabaseCalls::Answer &answer, std::uint64_t term)
{
    return answer.status && !answer.status->primary && answer.status->pausedTerm >= term;
}

std::string reachName(const DatabaseCalls::Answer &answer)
{
    switch (answer.reach) {
    case DatabaseCalls::Reach::Answered:
        return answer.status->primary ? "primary" : "replica";
    case DatabaseCalls::Reach::Refused:
        return "refused";
    case DatabaseCalls::Reach::Replaced:
        return "replaced";
    case DatabaseCalls::Reach::Silent:
        return "silent";
    case DatabaseCalls::Reach::Busy:
        break;
    }
    return "busy";
}

DatabaseCalls::DatabaseCalls(asio::io_context &context, std::string caller)
    : m_context(context)
    , m_caller(std::move(caller))
{
}

void DatabaseCalls::closeAll()
{
    m_connections.clear();
}

asio::awaitable<DatabaseCalls::Answer> DatabaseCalls::call(wire::PoolMember member, Command command, std::uint64_t term, Duration timeout)
{
    const auto deadline = Clock::now() + timeout;
    const auto connectionKey = member.id() + ' ' + member.address();
    Answer answer;
    // An idle connection may have been closed by the database; the second attempt opens a new one.
    for (int attempt = 0; attempt < 2; ++attempt) {
        Connection connection = std::exchange(m_connections[connectionKey], nullptr);
        const bool reused = connection != nullptr && connection->isOpen();
        if (!reused) {
            connection = std::make_unique<DatabaseConnection>(m_context.get_executor());
            DatabaseConnection::Target target {member.address(), member.service(), member.id(), m_caller};
            const auto opened = co_await connection->open(std::move(target), deadline);
            if (opened != DatabaseConnection::OpenResult::Open) {
                answer.reach = reachOf(opened);
                co_return answer;
            }
        }
        answer = co_await callOn(*connection, command, term, deadline);
        if (connection->isOpen()) {
            m_connections[connectionKey] = std::move(connection);
            co_return answer;
        }
        if (!reused || Clock::now() >= deadline) {
            break;
        }
    }
    co_return answer;
}

asio::awaitable<DatabaseCalls::Answer> DatabaseCalls::callOn(DatabaseConnection &connection, Command command, std::uint64_t term, TimePoint deadline)
{
    Answer answer;
    while (Clock::now() < deadline) {
        std::string bytes = platform::encodeOwnStatement(commandText(command, term));
        const auto result = co_await connection.run(std::move(bytes), 1, deadline);
        if (result.status != DatabaseConnection::RunStatus::Complete) {
            answer.reach = result.status == DatabaseConnection::RunStatus::TimedOut ? Reach::Silent : Reach::Refused;
            co_return answer;
        }
        answer.status = platform::decodeStatus(result.replies.front());
        answer.reach = answer.status ? Reach::Answered : Reach::Busy;
        if (answer.status || result.replies.front().error != SessionError::Busy) {
            co_return answer;
        }
        asio::steady_timer pause(m_context, busyRetryDelay);
        co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    co_return answer;
}

asio::awaitable<std::map<std::string, DatabaseCalls::Answer>> DatabaseCalls::callAll(std::vector<wire::PoolMember> members, Command command, std::uint64_t term,
                                                                                     Duration timeout)
{
    const auto pending = std::make_shared<PendingAnswers>(m_context); // shared: a call may end after the waiting coroutine has gone
    pending->missing = members.size();
    for (const auto &member : members) {
        auto callOne = [](DatabaseCalls &self, std::shared_ptr<PendingAnswers> pendingAnswers, wire::PoolMember target, Command requestedCommand,
                          std::uint64_t requestedTerm, Duration callTimeout) -> asio::awaitable<void> {
            const auto answer = co_await self.call(target, requestedCommand, requestedTerm, callTimeout);
            pendingAnswers->answers[target.id()] = answer;
            if (--pendingAnswers->missing == 0) {
                pendingAnswers->signal.cancel();
            }
        };
        asio::co_spawn(m_context, callOne(*this, pending, member, command, term, timeout), asio::detached);
    }
    if (pending->missing != 0) {
        co_await pending->signal.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    co_return pending->answers;
}

} // namespace waxwing::control
