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
#include <cstddef>
#include <utility>
#include <vector>

namespace waxwing
{

namespace asio = boost::asio;

namespace
{

constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);
// Delay after a failed accept, which is usually caused by a lack of file descriptors, and between checks of the session limit.
constexpr Duration acceptRetryDelay = 50ms;
// At the session limit, this share of the connections without a first message is closed at once, since finding the oldest ones takes
// a look at all sessions.
constexpr std::size_t unstartedShare = 16;
// A connection may still be on its way to its first message: callers in another region need 40 ms for a round trip.
constexpr Duration unstartedGrace = 200ms;

} // namespace

SessionServer::SessionServer(asio::io_context &context, SessionDirectory &directory, std::size_t maxSessions)
    : SessionServer(context, directory, maxSessions, Links())
{
}

SessionServer::SessionServer(asio::io_context &context, SessionDirectory &directory, std::size_t maxSessions, Links links, const SessionLimits &limits)
    : m_context(context)
    , m_directory(directory)
    , m_resources(std::make_shared<SessionResources>(limits))
    , m_path(directory)
    , m_forwarder(context.get_executor(), links.incarnation, std::move(links.forward))
    , m_forwarded(context, directory, m_path, std::move(links.answer), m_resources)
    , m_backend(directory, m_path, m_forwarder)
    , m_maxSessions(maxSessions)
    , m_acceptor(context)
{
    m_resources->relieve = [this] {
        relieve();
    };
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
            closeUnstarted();
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
        take(std::move(socket));
    }
}

void SessionServer::take(asio::ip::tcp::socket socket)
{
    boost::system::error_code ignored;
    auto address = socket.remote_endpoint(ignored).address().to_string();
    const auto found = m_sessionsByAddress.find(address);
    if (found != m_sessionsByAddress.end() && found->second >= m_resources->limits.sessionsPerAddress) {
        Metrics::instance().counter("waxwing_session_clients_closed_total", "reason", "address-limit").add();
        log::write(log::Level::Warning, "client closed by a limit", {{"reason", "address-limit"}, {"address", address}, {"held_bytes", 0}});
        return;
    }
    asio::co_spawn(m_context, serve(std::move(socket), std::move(address)), asio::detached);
}

asio::awaitable<void> SessionServer::serve(asio::ip::tcp::socket socket, std::string address)
{
    ClientSession session(std::move(socket), m_directory, m_backend, m_resources, address);
    m_sessions.insert(&session);
    ++m_sessionsByAddress[address];
    co_await session.serve();
    m_sessions.erase(&session);
    if (const auto found = m_sessionsByAddress.find(address); --found->second == 0) {
        m_sessionsByAddress.erase(found);
    }
}

void SessionServer::closeUnstarted()
{
    const auto latest = Clock::now() - unstartedGrace;
    std::vector<std::pair<TimePoint, ClientSession *>> unstarted;
    for (auto *session : m_sessions) {
        if (const auto since = session->awaitsFirstMessageSince(); since && *since <= latest) {
            unstarted.emplace_back(*since, session);
        }
    }
    const auto number = std::min(unstarted.size(), std::max<std::size_t>(m_maxSessions / unstartedShare, 1));
    std::partial_sort(unstarted.begin(), unstarted.begin() + static_cast<std::ptrdiff_t>(number), unstarted.end());
    unstarted.resize(number);
    for (const auto &[since, session] : unstarted) {
        session->close("session-limit");
    }
}

void SessionServer::relieve()
{
    while (const auto *account = BudgetPolicy::closes(m_resources->budget)) {
        const auto found = std::find_if(m_sessions.begin(), m_sessions.end(), [&](const auto *session) { return &session->account() == account; });
        if (found == m_sessions.end()) {
            return;
        }
        (*found)->close("memory");
    }
}

bool SessionServer::isFull() const
{
    return m_sessions.size() >= m_maxSessions
        && std::none_of(m_sessions.begin(), m_sessions.end(), [](const auto *session) { return session->awaitsFirstMessageSince().has_value(); });
}

void SessionServer::recordMemory() const
{
    for (std::size_t i = 0; i < MemoryBudget::kinds; ++i) {
        const auto kind = static_cast<MemoryBudget::Kind>(i);
        Metrics::instance().gauge("waxwing_session_memory_bytes", "kind", MemoryBudget::name(kind)).set(m_resources->budget.used(kind));
    }
    Metrics::instance().gauge("waxwing_session_memory_limit_bytes").set(m_resources->budget.limit());
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
            take(std::move(socket));
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
