#pragma once

#include <waxwing/sessions/open_transaction.h>
#include <waxwing/sessions/session_directory.h>
#include <waxwing/sessions/statement_path.h>
#include <waxwing/support/time.h>
#include <waxwing/wire/sessions.pb.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace waxwing
{

/// @brief Runs the statements of proxies that hold no connections, on the connections of this one. One thread.
class ForwardedStatements
{
public:
    /// Sends an answer to a proxy by its name.
    using Send = std::function<void(const std::string &proxy, const wire::PoolForwardAnswer &answer)>;

    ForwardedStatements(boost::asio::io_context &context, SessionDirectory &directory, StatementPath &path, Send send);

    /// @brief Takes a statement of another proxy.
    void receive(const std::string &proxy, const wire::PoolForward &message);

    /// @brief Rolls back transactions that were idle for too long.
    void tick(TimePoint now);

    /// @brief Declines new work from now on; used before a planned stop.
    void stop()
    {
        m_stopping = true;
    }

    /// @brief Rolls open transactions back that wait for their caller.
    void abortTransactions();

    /// @brief Statements that run and transactions that are open.
    std::size_t unfinished() const
    {
        return m_running + m_transactions.size();
    }

private:
    struct Key
    {
        std::string proxy;
        std::uint64_t incarnation = 0;
        std::uint64_t number = 0;

        auto operator<=>(const Key &) const = default;
    };

    struct Transaction
    {
        std::unique_ptr<OpenTransaction> open; ///< null until its first statement has run
        bool busy = true; ///< a statement runs
        bool dropped = false; ///< is rolled back when the statement has ended
        TimePoint idleSince;
        Duration idleLimit {};
    };

    bool isServed(const wire::PoolForward &message) const;
    void forgetEarlier(const std::string &proxy, std::uint64_t incarnation);
    void drop(const Key &key);
    void answer(const std::string &proxy, const wire::PoolForward &message, wire::PoolForwardAnswer content);
    boost::asio::awaitable<void> runFirst(std::string proxy, wire::PoolForward message);
    boost::asio::awaitable<void> runNext(std::string proxy, wire::PoolForward message);

    boost::asio::io_context &m_context;
    SessionDirectory &m_directory;
    StatementPath &m_path;
    Send m_send;
    std::map<Key, Transaction> m_transactions;
    std::map<std::string, std::uint64_t> m_incarnations; ///< newest by proxy
    std::size_t m_running = 0;
    bool m_stopping = false;
};

} // namespace waxwing
