#include "position_poll.h"

#include <waxwing/platform/database_wire.h>
#include <waxwing/support/counter.h>
#include <waxwing/support/metrics.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace waxwing
{

namespace
{

// Ages from 1,500 ms on are asked for; with a position each 400 ms one is always young enough, a lost one included.
constexpr Duration pollAge = 400ms;
constexpr Duration pollLimit = 500ms; // a round trip of 40 ms and the statements that hold all connections
constexpr int pollRank = -1; // before statements, since they depend on it

} // namespace

PositionPoll::PositionPoll(boost::asio::io_context &context, SessionDirectory &directory)
    : m_context(context)
    , m_directory(directory)
{
}

void PositionPoll::tick(TimePoint now)
{
    for (const auto &[name, service] : m_directory.services()) {
        const auto newest = service->history().newest();
        const bool due = !newest || now - *newest >= pollAge;
        if (due && service->holdsConnections() && service->primary() && m_asking.insert(name).second) {
            boost::asio::co_spawn(m_context, ask(name), boost::asio::detached);
        }
    }
}

boost::asio::awaitable<void> PositionPoll::ask(std::string name)
{
    static auto &asked = Metrics::instance().counter("waxwing_session_position_polls_total");
    auto *service = m_directory.service(name);
    const auto pool = service->primary();
    const auto epoch = service->epoch();
    const SessionState session;
    const auto limit = Clock::now() + pollLimit;
    auto connection = co_await pool->acquire(session, std::nullopt, pollRank, limit);
    if (connection) {
        asked.add();
        // An empty transaction takes no slot; every answer tells the position. One that may write is refused by a database that
        // no longer leads, so that no lease is needed unless a replaced primary goes on.
        std::string bytes = platform::encodeOwnStatement(platform::beginText(false)) + platform::encodeOwnStatement(platform::rollbackText());
        const auto sentAt = Clock::now();
        pool->recordSent(sentAt);
        const auto answer = co_await connection->run(std::move(bytes), 2, limit);
        const auto now = Clock::now();
        const bool complete = answer.status == DatabaseConnection::RunStatus::Complete;
        if (complete) {
            pool->recordReply(now);
        } else {
            pool->recordNoReply(now);
        }
        const bool clean = complete && answer.replies.front().error == SessionError::None && answer.replies.back().state == TransactionState::Idle;
        const bool leads = m_directory.options().replacedPrimaryStops || m_directory.lease().covers(name, epoch, now);
        if (clean && leads && answer.replies.front().position && service->epoch() == epoch) {
            service->history().add(*answer.replies.front().position, sentAt);
        } else if (complete && !clean) {
            connection->close();
        }
        pool->release(std::move(connection));
    }
    m_asking.erase(name);
}

} // namespace waxwing
