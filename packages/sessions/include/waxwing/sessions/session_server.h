#pragma once

#include <waxwing/sessions/client_session.h>
#include <waxwing/sessions/forwarded_statements.h>
#include <waxwing/sessions/session_directory.h>
#include <waxwing/sessions/session_resources.h>
#include <waxwing/sessions/statement_backend.h>
#include <waxwing/sessions/statement_forwarder.h>
#include <waxwing/sessions/statement_path.h>
#include <waxwing/transport/transport_error.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace waxwing
{

/// @brief Accepts connections of callers and runs their sessions. Not thread-safe.
class SessionServer
{
public:
    /// Links to the other proxies; without them every statement runs on connections of this proxy.
    struct Links
    {
        std::uint64_t incarnation = 0; ///< see StatementForwarder
        StatementForwarder::Send forward;
        ForwardedStatements::Send answer;
    };

    /// @param maxSessions maximum number of sessions; further callers wait in the queue of the listening socket
    SessionServer(boost::asio::io_context &context, SessionDirectory &directory, std::size_t maxSessions);
    SessionServer(boost::asio::io_context &context, SessionDirectory &directory, std::size_t maxSessions, Links links, const SessionLimits &limits = {});

    /// @brief Opens the listening socket.
    /// @param address IP:port
    /// @return success, or TransportError::BadAddress or ListenFailed
    TransportResult<void> listen(std::string_view address);

    /// @brief Port that the server listens on.
    unsigned short port() const;

    /// @brief Accepts the connections that the kernel has already accepted, then closes the listening socket.
    void stopAccepting();

    /// @brief From now on refuses statements that can't be sent to a database immediately, and closes each session as soon as it is
    /// idle.
    void refuseWaitingStatements()
    {
        m_path.stop();
    }

    /// @brief Announces a planned stop: statements of other proxies are declined, and no statement runs past the given time.
    /// @param end time at which interrupt() is called
    void announceStop(TimePoint end)
    {
        m_path.setEnd(end);
        m_forwarded.stop();
    }

    /// @brief Interrupts running statements and refuses further ones, so that all callers get an answer before the process exits.
    void interrupt()
    {
        m_path.interrupt();
        m_directory.interrupt();
        m_forwarder.interrupt();
    }

    /// @brief Closes the sessions without an open transaction or outstanding request.
    /// @return number of remaining sessions plus unfinished statements and transactions of other proxies
    std::size_t closeIdle();

    /// @brief Rolls back open transactions that run no statement at the moment.
    /// @param reason is sent to the callers
    void abortTransactions(std::string_view reason);

    /// @brief Number of statements accepted since the start.
    std::uint64_t statements() const
    {
        return m_path.statements();
    }

    /// @brief Forwards statements to other proxies.
    StatementForwarder &forwarder()
    {
        return m_forwarder;
    }

    /// @brief Runs statements that other proxies forward to this one.
    ForwardedStatements &forwarded()
    {
        return m_forwarded;
    }

    /// @brief Number of sessions that wait for an answer from this proxy.
    std::size_t outstandingRequests() const;

    /// @brief Tells whether no further session can be taken.
    bool isFull() const;

    /// @brief Sets the gauges of the memory held for clients.
    void recordMemory() const;

    /// @brief Number of sessions.
    std::size_t sessions() const
    {
        return m_sessions.size();
    }

private:
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket, std::string address);
    /// Starts the session of an accepted connection, unless its address has too many.
    void take(boost::asio::ip::tcp::socket socket);
    /// Closes the oldest connections without a first message.
    void closeUnstarted();
    /// Closes the sessions that hold the most memory while too much is used.
    void relieve();

    boost::asio::io_context &m_context;
    SessionDirectory &m_directory;
    std::shared_ptr<SessionResources> m_resources;
    StatementPath m_path;
    StatementForwarder m_forwarder;
    ForwardedStatements m_forwarded;
    StatementBackend m_backend;
    std::size_t m_maxSessions;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::set<ClientSession *> m_sessions; ///< each is owned by its coroutine
    std::map<std::string, std::size_t> m_sessionsByAddress;
};

} // namespace waxwing
