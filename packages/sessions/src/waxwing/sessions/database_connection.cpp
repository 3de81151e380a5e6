#include "socket_options.h"

#include <waxwing/platform/database_wire.h>
#include <waxwing/sessions/database_connection.h>
#include <waxwing/transport/socket_address.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <sys/socket.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <utility>

namespace waxwing
{

namespace asio = boost::asio;

namespace
{

constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t readBytes = 4096; // more than the usual answer of 500 bytes

// A database that does not acknowledge bytes for this long is unreachable; statements have at most 1 to 2 s.
constexpr Duration unacknowledgedTimeout = 2s;
// Idle connections are probed rarely, because each probe is paid for; statements detect an unresponsive connection by their
// deadline.
constexpr Duration keepAliveIdle = 10s;

std::uint64_t nextNumber()
{
    static std::atomic<std::uint64_t> last {0};
    return ++last;
}

} // namespace

DatabaseConnection::DatabaseConnection(const asio::any_io_executor &executor)
    : m_socket(executor)
    , m_timer(executor)
    , m_number(nextNumber())
{
}

DatabaseConnection::~DatabaseConnection()
{
    close();
}

void DatabaseConnection::close()
{
    m_open = false;
    m_timer.cancel();
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

void DatabaseConnection::startTimer(TimePoint deadline)
{
    m_timedOut = false;
    m_timer.start(deadline - Clock::now(), [this] {
        m_timedOut = true;
        boost::system::error_code ignored;
        m_socket.close(ignored);
    });
}

asio::awaitable<DatabaseConnection::OpenResult> DatabaseConnection::open(Target target, TimePoint deadline)
{
    const auto address = parseSocketAddress(target.address);
    if (!address) {
        co_return OpenResult::Refused;
    }
    startTimer(deadline);
    auto [connectError] = co_await m_socket.async_connect(address.value(), useTuple);
    if (connectError) {
        const bool refused = connectError == asio::error::connection_refused || connectError == asio::error::connection_reset;
        close();
        co_return refused ? OpenResult::Refused : OpenResult::Silent;
    }
    configureSocket(m_socket, unacknowledgedTimeout, keepAliveIdle);
    m_open = true;
    m_timer.cancel();
    m_workspace = std::move(target.workspace);
    std::string start = platform::encodeDatabaseStart(target.service, m_workspace.empty() ? target.caller : m_workspace, target.database);
    auto result = co_await run(std::move(start), 1, deadline);
    if (result.status != RunStatus::Complete) {
        co_return OpenResult::Silent;
    }
    const auto error = result.replies.front().error;
    if (error != SessionError::None) {
        close();
        co_return error == SessionError::TooManyConnections ? OpenResult::Full : OpenResult::WrongInstance;
    }
    m_started = true;
    co_return OpenResult::Open;
}

bool DatabaseConnection::hasEnded()
{
    // The database may have closed the connection or sent unsolicited bytes while the connection was idle.
    char byte = 0;
    const auto size = ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK) || !m_lines.isEmpty();
}

asio::awaitable<DatabaseConnection::RunResult> DatabaseConnection::run(std::string bytes, std::size_t commands, TimePoint deadline)
{
    RunResult result;
    if (!m_open || hasEnded()) {
        close();
        result.status = RunStatus::NotSent;
        co_return result;
    }
    startTimer(deadline);
    auto [writeError, written] = co_await asio::async_write(m_socket, asio::buffer(bytes), useTuple);
    bool complete = !writeError;
    while (complete && result.replies.size() < commands) {
        PoolReply reply;
        complete = co_await readReply(reply);
        if (complete) {
            result.replies.push_back(std::move(reply));
        }
    }
    m_timer.cancel();
    if (!complete) {
        result.status = m_timedOut ? RunStatus::TimedOut : RunStatus::Lost;
        close();
    }
    co_return result;
}

asio::awaitable<bool> DatabaseConnection::readReply(PoolReply &reply)
{
    while (true) {
        while (const auto line = m_lines.next()) {
            const auto progress = m_replies.add(*line);
            if (progress == platform::ReplyReader::Progress::Malformed) {
                co_return false;
            }
            if (progress == platform::ReplyReader::Progress::Complete) {
                reply = m_replies.take();
                m_transaction = reply.state;
                // A READY line alone answers the start only; as an answer to a statement it would be a success without a signature.
                co_return !m_started || reply.error != SessionError::None || !reply.signature.empty();
            }
        }
        // An error that ends the connection is not followed by a READY line.
        std::array<char, readBytes> chunk {};
        auto [error, size] = co_await m_socket.async_read_some(asio::buffer(chunk), useTuple);
        if (error || m_lines.isOverflowing()) {
            reply = m_replies.take();
            co_return reply.error == SessionError::TooManyConnections || reply.error == SessionError::WrongInstance;
        }
        m_lines.add(std::string_view(chunk.data(), size));
    }
}

} // namespace waxwing
