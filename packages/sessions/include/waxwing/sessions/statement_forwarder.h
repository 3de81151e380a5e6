#pragma once

#include <waxwing/coordination/load_balancing.h>
#include <waxwing/sessions/statement_holder.h>
#include <waxwing/sessions/transfer_time.h>
#include <waxwing/support/time.h>
#include <waxwing/wire/sessions.pb.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>

namespace waxwing
{

/// @brief Forwards statements to proxies that hold connections, and returns their answers. Not thread-safe.
class StatementForwarder
{
public:
    /// Sends a message to the link of a holder; returns false if nothing was sent.
    using Send = std::function<bool(const std::string &link, const wire::PoolForward &message)>;

    enum class Status {
        Answered,
        NotSent, ///< nothing reached the holder
        Silent, ///< no answer before the limit; the statement may have run
    };

    struct Answer
    {
        Status status = Status::NotSent;
        wire::PoolForwardAnswer content; ///< valid if the status is Answered
    };

    /// @param incarnation number of this run of the process, so that its transactions and answers differ from those of an earlier run
    StatementForwarder(boost::asio::any_io_executor executor, std::uint64_t incarnation, Send send);

    /// @brief Forwards a statement and waits for its answer.
    /// @param message correlation, incarnation and remaining time are filled in here; the remaining time leaves the holder's answer
    /// enough time to arrive before the limit
    /// @param limit time at which the wait for the answer ends
    /// @param distance distance to the holder, see SessionDirectory::distance()
    boost::asio::awaitable<Answer> exchange(StatementHolder holder, wire::PoolForward message, TimePoint limit, unsigned distance);

    /// @brief Tells a holder to roll back a transaction.
    void rollBack(const StatementHolder &holder, std::uint64_t transaction);

    /// @brief Handles an answer from a holder. One to a statement of an earlier run of the process is ignored.
    void receive(const wire::PoolForwardAnswer &answer);

    /// @brief Ends all waits for answers with Silent; the statements may have run.
    void interrupt();

    /// @brief Ends the wait for a statement that provably was not sent.
    void recordNotSent(const wire::PoolForward &message);

    /// @brief Chooses one of the nearest responsive holders by the load that they state in their answers, see LoadBalancing.
    /// @param distance returns the distance to a failure domain, see SessionDirectory::distance()
    /// @param tried names of holders that could not run the statement; they are excluded
    /// @param needsLease holders that are known to have no lease come last, however near they are
    /// @return null if no holder is left
    const StatementHolder *choose(std::span<const StatementHolder> holders, const std::function<unsigned(std::string_view domain)> &distance,
                                  const std::set<std::string> &tried, TimePoint now, bool needsLease);

    /// @brief Tells whether the holder stated recently that it has no lease. After a pause it may have one again, and one statement is sent
    /// to it to find out.
    bool isWithoutLease(const std::string &proxy, TimePoint now) const;

    /// @brief Returns since when the holder that lost its lease last is known to be without one.
    /// @return nothing if no holder is known to be without a lease
    std::optional<TimePoint> lastLeaseLoss(std::span<const StatementHolder> holders) const;

    /// @brief Returns a number for a new transaction that is unique within this process.
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
        explicit Peer(Duration assumedTransfer)
            : transfer(assumedTransfer)
        {
        }

        std::size_t pendingStatements = 0; ///< statements without an answer yet
        TimePoint avoidUntil;
        std::optional<std::size_t> statedLoad; ///< statements that wait or run there, for all proxies together
        TimePoint statedAt;
        std::size_t sentSinceStated = 0;
        std::optional<TimePoint> withoutLeaseSince; ///< set while the last answer that stated the lease stated that there is none
        TimePoint leaseCheckAt; ///< until then a holder without a lease is not asked again
        TransferTime transfer;
    };

    void recordLoad(Peer &peer, const wire::PoolForwardAnswer &answer);
    const StatementHolder *chooseByLoad(std::span<const StatementHolder *const> holders, TimePoint now);
    Peer &findPeer(const std::string &proxy, unsigned distance);
    static void recordLease(Peer &peer, const wire::PoolForwardAnswer &answer, TimePoint now);

    boost::asio::any_io_executor m_executor;
    std::uint64_t m_incarnation;
    Send m_send;
    LoadBalancing m_balancing;
    std::uint64_t m_correlations = 0;
    std::uint64_t m_transactions = 0;
    std::map<std::uint64_t, Waiter *> m_waiting; ///< by correlation; each is owned by its coroutine
    std::map<std::string, Peer> m_peers; ///< by name of the holder; entries are never erased
};

} // namespace waxwing
