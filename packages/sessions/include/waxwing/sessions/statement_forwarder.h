#pragma once

#include <waxwing/sessions/statement_holder.h>
#include <waxwing/support/time.h>
#include <waxwing/wire/sessions.pb.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>

namespace waxwing
{

/// @brief Passes statements to proxies that hold connections, and gives their answers back. One thread.
class StatementForwarder
{
public:
    /// Sends to the link of a holder; false if nothing was sent.
    using Send = std::function<bool(const std::string &link, const wire::PoolForward &message)>;

    enum class Status {
        Answered,
        NotSent, ///< nothing reached the holder
        Silent, ///< no answer in time; the statement may have run
    };

    struct Answer
    {
        Status status = Status::NotSent;
        wire::PoolForwardAnswer content; ///< if answered
    };

    /// @param incarnation of this process
    StatementForwarder(boost::asio::any_io_executor executor, std::uint64_t incarnation, Send send);

    /// @brief Passes a statement on and waits for its answer.
    /// @param message without correlation, incarnation and remaining time, which are filled in
    /// @param limit the answer is given up then
    /// @param deadline end of the statement's time
    boost::asio::awaitable<Answer> exchange(StatementHolder holder, wire::PoolForward message, TimePoint limit, TimePoint deadline);

    /// @brief Rolls a transaction back at its holder.
    void drop(const StatementHolder &holder, std::uint64_t transaction);

    /// @brief Takes an answer of a holder.
    void receive(const wire::PoolForwardAnswer &answer);

    /// @brief Ends all waits for answers; the statements may have run.
    void interrupt();

    /// @brief Takes note that a statement provably was not sent.
    void recordNotSent(const wire::PoolForward &message);

    /// @brief Holder to ask: the nearest one that answers, and among equals the one that was asked least lately.
    /// @param distance of a failure domain, see SessionDirectory::distance()
    /// @param tried names of holders that could not run it
    /// @return null if there is none
    const StatementHolder *choose(std::span<const StatementHolder> holders, const std::function<unsigned(std::string_view domain)> &distance,
                                  const std::set<std::string> &tried, TimePoint now) const;

    /// @brief Number for a new transaction, unique for this process.
    std::uint64_t nextTransaction()
    {
        return ++m_transactions;
    }

private:
    struct Waiter
    {
        explicit Waiter(const boost::asio::any_io_executor &executor)
            : signal(executor)
        {
        }

        boost::asio::steady_timer signal;
        Answer answer;
        bool ended = false;
    };

    struct Peer
    {
        std::size_t waiting = 0; ///< statements without an answer yet
        TimePoint avoidUntil;
    };

    boost::asio::any_io_executor m_executor;
    std::uint64_t m_incarnation;
    Send m_send;
    std::uint64_t m_correlations = 0;
    std::uint64_t m_transactions = 0;
    std::map<std::uint64_t, Waiter *> m_waiting; ///< by correlation; each lives in its coroutine
    std::map<std::string, Peer> m_peers; ///< by name of the holder
};

} // namespace waxwing
