#pragma once

#include <waxwing/sessions/client_session.h>
#include <waxwing/sessions/forwarded_statements.h>
#include <waxwing/sessions/session_directory.h>
#include <waxwing/sessions/statement_backend.h>
#include <waxwing/sessions/statement_forwarder.h>
#include <waxwing/sessions/statement_path.h>
#include <waxwing/transport/transport_error.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace waxwing
{

/// @brief Accepts callers and keeps their sessions. One thread.
class SessionServer
{
public:
    /// Links to the other proxies; without them every statement runs on connections of this one.
    struct Links
    {
        std::uint64_t incarnation = 0; ///< of this process
        StatementForwarder::Send forward;
        ForwardedStatements::Send answer;
    };

    /// @param maxSessions further callers wait in the queue of the listening socket
    SessionServer(boost::asio::io_context &context, SessionDirectory &directory, std::size_t maxSessions);
    SessionServer(boost::asio::io_context &context, SessionDirectory &directory, std::size_t maxSessions, Links links);

    /// @brief Opens the listening socket.
    /// @param address IP:port
    /// @return success, or TransportError::BadAddress or ListenFailed
    TransportResult<void> listen(std::string_view address);

    /// @brief Port that the server listens on.
    unsigned short port() const;

    /// @brief Stops accepting callers, after those that the kernel has accepted already.
    void stopAccepting();

    /// @brief Refuses what can't be sent to a database at once, and closes each session as soon as nothing of it is open.
    void refuseWaits()
    {
        m_path.stop();
    }

    /// @brief Ends what databases still run, so that its callers get their answers before the process ends.
    void interrupt()
    {
        m_directory.interrupt();
        m_forwarder.interrupt();
    }

    /// @brief Closes the sessions that have nothing open or outstanding.
    /// @return number of sessions that are left, and of unfinished statements and transactions of other proxies
    std::size_t closeIdle();

    /// @brief Rolls open transactions back that wait for their caller.
    void abortTransactions(std::string_view reason);

    /// @brief Statements that were taken so far.
    std::uint64_t statements() const
    {
        return m_path.statements();
    }

    /// @brief Statements that are passed to other proxies.
    StatementForwarder &forwarder()
    {
        return m_forwarder;
    }

    /// @brief Statements that other proxies pass to this one.
    ForwardedStatements &forwarded()
    {
        return m_forwarded;
    }

    /// @brief Sessions that wait for an answer of this proxy.
    std::size_t handling() const;

    /// @brief Number of sessions.
    std::size_t sessions() const
    {
        return m_sessions.size();
    }

private:
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);

    boost::asio::io_context &m_context;
    SessionDirectory &m_directory;
    StatementPath m_path;
    StatementForwarder m_forwarder;
    ForwardedStatements m_forwarded;
    StatementBackend m_backend;
    std::size_t m_maxSessions;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::set<ClientSession *> m_sessions; ///< each lives in its coroutine
};

} // namespace waxwing
