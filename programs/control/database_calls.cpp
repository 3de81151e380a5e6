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

// A database without a free slot is asked again after this pause; about one statement.
constexpr Duration busyPause = 15ms;

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

/// Answers that are still missing; shared by the calls and the one that waits for them.
struct Gathering
{
    explicit Gathering(asio::io_context &context)
        : signal(context, asio::steady_timer::time_point::max())
    {
    }

    std::map<std::string, DatabaseCalls::Answer> answers;
    std::size_t missing = 0;
    asio::steady_timer signal;
};

} // namespace

DatabaseCalls::DatabaseCalls(asio::io_context &context, std::string caller)
    : m_context(context)
    , m_caller(std::move(caller))
{
}

void DatabaseCalls::closeAll()
{
    m_connections.clear();
}

asio::awaitable<DatabaseCalls::Answer> DatabaseCalls::call(wire::PoolMember member, Command command, std::uint64_t term, Duration limit)
{
    const auto deadline = Clock::now() + limit;
    const auto key = member.id() + ' ' + member.address();
    Answer answer;
    // A kept connection may have ended; a second attempt uses a new one.
    for (int attempt = 0; attempt < 2; ++attempt) {
        Connection connection = std::exchange(m_connections[key], nullptr);
        const bool kept = connection != nullptr && connection->isOpen();
        if (!kept) {
            connection = std::make_unique<DatabaseConnection>(m_context.get_executor());
            DatabaseConnection::Target target {member.address(), member.service(), member.id(), m_caller};
            const auto opened = co_await connection->open(std::move(target), deadline);
            if (opened != DatabaseConnection::OpenResult::Open) {
                answer.reach = opened == DatabaseConnection::OpenResult::Silent ? Reach::Silent
                    : opened == DatabaseConnection::OpenResult::Full            ? Reach::Busy
                                                                                : Reach::Refused;
                co_return answer;
            }
        }
        answer = co_await callOn(*connection, command, term, deadline);
        if (connection->isOpen()) {
            m_connections[key] = std::move(connection);
            co_return answer;
        }
        if (!kept || Clock::now() >= deadline) {
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
        asio::steady_timer pause(m_context, busyPause);
        co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    co_return answer;
}

asio::awaitable<std::map<std::string, DatabaseCalls::Answer>> DatabaseCalls::callAll(std::vector<wire::PoolMember> members, Command command, std::uint64_t term,
                                                                                     Duration limit)
{
    const auto gathering = std::make_shared<Gathering>(m_context); // shared: a call may end after the wait was given up
    gathering->missing = members.size();
    for (const auto &member : members) {
        auto one = [](DatabaseCalls &self, std::shared_ptr<Gathering> shared, wire::PoolMember target, Command wanted, std::uint64_t wantedTerm,
                      Duration within) -> asio::awaitable<void> {
            const auto answer = co_await self.call(target, wanted, wantedTerm, within);
            shared->answers[target.id()] = answer;
            if (--shared->missing == 0) {
                shared->signal.cancel();
            }
        };
        asio::co_spawn(m_context, one(*this, gathering, member, command, term, limit), asio::detached);
    }
    if (gathering->missing != 0) {
        co_await gathering->signal.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    co_return gathering->answers;
}

} // namespace waxwing::control
