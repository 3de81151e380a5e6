#include <waxwing/sessions/session_server.h>
#include <waxwing/support/counter.h>
#include <waxwing/support/log.h>
#include <waxwing/support/metrics.h>
#include <waxwing/transport/socket_address.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace waxwing
{

namespace asio = boost::asio;

namespace
{

constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);
// Delay after a failed accept, which is usually caused by a lack of file descriptors, and between checks of the session limit.
constexpr Duration acceptRetryDelay = 50ms;

} // namespace

SessionServer::SessionServer(asio::io_context &context, SessionDirectory &directory, std::size_t maxSessions)
    : SessionServer(context, directory, maxSessions, Links())
{
}

SessionServer::SessionServer(asio::io_context &context, SessionDirectory &directory, std::size_t maxSessions, Links links)
    : m_context(context)
    , m_directory(directory)
    , m_path(directory)
    , m_forwarder(context.get_executor(), links.incarnation, std::move(links.forward))
    , m_forwarded(context, directory, m_path, std::move(links.answer))
    , m_backend(directory, m_path, m_forwarder)
    , m_maxSessions(maxSessions)
    , m_acceptor(context)
{
}

TransportResult<void> SessionServer::listen(std::string_view address)
{
    const auto parsed = parseSocketAddress(address);
    if (!parsed) {
        return parsed.error();
    }
    boost::system::error_code error;
    m_acceptor.open(parsed.value().protocol(), error);
    if (!error) {
        m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
        m_acceptor.bind(parsed.value(), error);
    }
    if (!error) {
        m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return make_error_code(TransportError::ListenFailed);
    }
    asio::co_spawn(m_context, accept(), asio::detached);
    return boost::outcome_v2::success();
}

unsigned short SessionServer::port() const
{
    boost::system::error_code ignored;
    return m_acceptor.local_endpoint(ignored).port();
}

asio::awaitable<void> SessionServer::accept()
{
    asio::steady_timer pause(m_context);
    while (m_acceptor.is_open()) {
        if (m_sessions.size() >= m_maxSessions) {
            pause.expires_after(acceptRetryDelay);
            co_await pause.async_wait(useTuple);
            continue;
        }
        auto [error, socket] = co_await m_acceptor.async_accept(useTuple);
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        if (error) {
            Metrics::instance().counter("waxwing_session_accept_failures_total").add();
            log::write(log::Level::Warning, "accept failed", {{"error", error.message()}, {"sessions", m_sessions.size()}});
            pause.expires_after(acceptRetryDelay);
            co_await pause.async_wait(useTuple);
            continue;
        }
        asio::co_spawn(m_context, serve(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> SessionServer::serve(asio::ip::tcp::socket socket)
{
    ClientSession session(std::move(socket), m_directory, m_backend);
    m_sessions.insert(&session);
    co_await session.serve();
    m_sessions.erase(&session);
}

void SessionServer::stopAccepting()
{
    // When the listening socket is closed, the kernel resets the connections that are still in its queue.
    boost::system::error_code error;
    m_acceptor.non_blocking(true, error);
    while (!error) {
        asio::ip::tcp::socket socket(m_context);
        m_acceptor.accept(socket, error);
        if (!error) {
            asio::co_spawn(m_context, serve(std::move(socket)), asio::detached);
        }
    }
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
}

std::size_t SessionServer::closeIdle()
{
    for (auto *session : m_sessions) {
        session->closeIfIdle();
    }
    return m_sessions.size() + m_forwarded.unfinished();
}

std::size_t SessionServer::outstandingRequests() const
{
    return static_cast<std::size_t>(
        std::count_if(m_sessions.begin(), m_sessions.end(), [](const ClientSession *session) { return session->hasOutstandingRequest(); }));
}

void SessionServer::abortTransactions(std::string_view reason)
{
    for (auto *session : m_sessions) {
        session->abortTransaction(reason);
    }
    m_forwarded.abortTransactions();
}

} // namespace waxwing
