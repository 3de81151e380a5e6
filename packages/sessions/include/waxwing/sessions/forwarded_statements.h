#pragma once

#include <waxwing/sessions/open_transaction.h>
#include <waxwing/sessions/session_directory.h>
#include <waxwing/sessions/session_resources.h>
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

/// @brief Runs statements that other proxies forward to this one, on connections of this proxy. Not thread-safe.
class ForwardedStatements
{
public:
    /// Sends an answer to the proxy with this name.
    using Send = std::function<void(const std::string &proxy, const wire::PoolForwardAnswer &answer)>;

    ForwardedStatements(boost::asio::io_context &context, SessionDirectory &directory, StatementPath &path, Send send,
                        std::shared_ptr<SessionResources> resources);

    /// @brief Handles a message from another proxy.
    void receive(const std::string &proxy, const wire::PoolForward &message);

    /// @brief Rolls back transactions that exceed their idle timeout; call it periodically.
    void tick(TimePoint now);

    /// @brief Declines new statements and transactions from now on; used by a planned stop.
    void stop()
    {
        m_stopping = true;
    }

    /// @brief Rolls back open transactions that run no statement at the moment.
    void abortTransactions();

    /// @brief Number of running statements plus open transactions.
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
        bool busy = true; ///< a statement is running
        bool rollbackPending = false; ///< roll back as soon as the running statement has ended
        TimePoint idleSince;
        Duration idleTimeout {};
    };

    /// Account of all statements of other proxies.
    struct Memory
    {
        std::shared_ptr<SessionResources> resources;
        MemoryBudget::Account account;
    };

    /// Memory of one statement; its coroutine may outlive this object.
    struct Held
    {
        std::shared_ptr<Memory> memory;
        MemoryBudget::Reservation reservation;
    };

    bool canServe(const wire::PoolForward &message) const;
    void dropEarlierIncarnations(const std::string &proxy, std::uint64_t incarnation);
    void rollBack(const Key &key);
    /// Adds the load of the service's connections to an answer, so that proxies can choose between holders.
    void stateLoad(const std::string &service, wire::PoolForwardAnswer &content) const;
    void answer(const std::string &proxy, const wire::PoolForward &message, wire::PoolForwardAnswer content);
    bool hasMemory(const wire::PoolForward &message) const;
    Held hold(const wire::PoolForward &message) const;
    boost::asio::awaitable<void> runFirst(std::string proxy, wire::PoolForward message, Held held);
    boost::asio::awaitable<void> runNext(std::string proxy, wire::PoolForward message, Held held);

    boost::asio::io_context &m_context;
    SessionDirectory &m_directory;
    StatementPath &m_path;
    Send m_send;
    std::shared_ptr<Memory> m_memory;
    std::map<Key, Transaction> m_transactions;
    std::map<std::string, std::uint64_t> m_incarnations; ///< latest incarnation by proxy
    std::size_t m_running = 0;
    bool m_stopping = false;
};

} // namespace waxwing
