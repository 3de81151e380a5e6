#pragma once

#include "absent_runs.h"
#include "connection_holders.h"
#include "database_calls.h"
#include "epoch_withdrawal.h"
#include "pending_orders.h"
#include "session_control_ports.h"
#include "session_leases.h"

#include <waxwing/coordination/pool_directory.h>
#include <waxwing/coordination/primary_choice.h>
#include <waxwing/coordination/term_position.h>
#include <waxwing/state/sessions_machine.h>
#include <waxwing/support/time.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace waxwing::control
{

/// @brief Monitors the primary of each service and replaces it when it fails or drains. Acts on the leader of control only.
///
/// The guarantees depend on the order of the steps: a new epoch is committed before the old one is withdrawn; a promotion
/// is ordered only after every proxy has given up its lease on the old epoch, or the lease has ended; positions are compared
/// after that, and, unless the primary has stepped down, after the proxies have stopped acknowledging commits of the old
/// epoch; a primary is published only after an order with the fencing token of its own epoch was confirmed.
class PrimarySupervisor
{
public:
    struct State
    {
        const SessionsMachine &machine;
        const PoolDirectory &directory;
        const SessionLeases &leases;
        const ConnectionHolders &holders;
    };

    struct Options
    {
        std::string name; ///< name of this member, sent to databases as the caller
        bool ordersAreFenced = false; ///< the platform refuses an order with a lower token than one that it has seen
        Duration lateOrderLimit = 15s; ///< without fencing: longest time from sending an order until the platform carries it out
        /// Time for the former primary or an unknown database to come back with commits that may be acknowledged. A change of the primary
        /// has to end within 10 s, of which the end of a lease and the promotion take up to 1 s each.
        Duration possibleCommitsTimeout = 8s;
        AbsentRuns::Options absence = {};
    };

    /// @param publish called when the directory must be sent to the proxies
    PrimarySupervisor(boost::asio::io_context &context, State state, const SessionControlPorts &ports, Options options, std::function<void()> publish);

    /// @brief Starts or ends a leadership. Coroutines of an earlier leadership stop at their next step.
    /// @param leads whether this member leads from now on
    void reset(bool leads);

    /// @brief Stores what a proxy reports about the primaries that it uses.
    void report(const std::string &proxy, const wire::PoolRenewal &renewal, TimePoint now);

    /// @brief Handles a proxy's confirmation that it has given up an epoch.
    void confirmWithdrawal(const wire::PoolWithdrawn &message);

    /// @brief Stops a replica that has deregistered from receiving, so that no commit is acknowledged for its sake any more.
    /// @param leaving run of the database
    /// @param handler called once with the run; if the replica has stopped, it states what it had received
    void stopReceiving(wire::PoolMember leaving, std::function<void(wire::PoolMember)> handler);

    /// @brief Starts the checks and primary changes that are due.
    /// @param directoryComplete every database has had time to send a heartbeat
    void tick(TimePoint now, bool directoryComplete);

private:
    using Answers = std::map<std::string, DatabaseCalls::Answer>;

    /// What proxies have acknowledged: at least up to the first position, and at most up to the second one.
    struct AcknowledgedBounds
    {
        TermPosition certain;
        TermPosition possible;
    };

    struct Report
    {
        TimePoint at;
        bool unreachable = false;
        bool stalled = false;
        bool lagging = false;
    };

    struct Service
    {
        explicit Service(const Options &options)
            : absentRuns(options.absence)
            , pendingOrders(options.lateOrderLimit)
        {
        }

        bool busy = false; ///< a check or a primary change is running
        unsigned suspicions = 0; ///< consecutive checks that found a fault, but not enough evidence to replace the primary
        TermPosition lastPosition; ///< received position of the primary at the last check
        std::uint64_t term = 0; ///< highest term reported by a database or proxy
        TimePoint nextCheckAt;
        TimePoint nextClaimCheckAt; ///< of a database that claims to lead beside the primary
        TimePoint changedAt; ///< when the last primary change ended
        std::uint64_t lastFencingToken = 0; ///< of the last promotion order
        TimePoint nextUnconfirmedLogAt;
        unsigned unansweredOrders = 0; ///< consecutive promotion orders without an answer
        std::map<std::string, Report> reports; ///< by proxy, for the current epoch
        EpochWithdrawal withdrawal;
        std::string lastComparison; ///< of the logs, as it was logged
        std::optional<TimePoint> possibleCommitsAwaitedSince; ///< since the known logs have all that is certainly acknowledged, but no more
        AbsentRuns absentRuns; ///< as far as this leader knows
        TimePoint nextAbsenceCheckAt;
        bool checksAbsence = false; ///< a check is running
        PendingOrders pendingOrders;
    };

    Service &serviceState(const std::string &name)
    {
        return m_services.try_emplace(name, m_options).first->second;
    }

    bool isCurrent(std::uint64_t generation) const
    {
        return m_leads && generation == m_generation;
    }

    void adoptFirstPrimary(const std::string &name, Service &service);
    void superviseCurrentPrimary(const std::string &name, Service &service, const wire::EpochRecord &record, TimePoint now, bool directoryComplete);
    boost::asio::awaitable<void> adoptPrimary(std::string name, wire::PoolMember member);
    void reportUnconfirmed(const std::string &name, const std::string &database, const std::string &reach);
    /// Makes a database that claims to lead, but is not the published primary, step down. If it leads in a later term, the published
    /// primary has been replaced.
    boost::asio::awaitable<void> checkClaim(std::string name, wire::PoolMember claimant);
    boost::asio::awaitable<void> checkPrimary(std::string name, wire::PoolMember primary);
    /// Removes absent databases from the record whose commits another replica is known to have.
    void superviseAbsent(const std::string &name, Service &service, const wire::PoolMember &primary, TimePoint now);
    boost::asio::awaitable<void> pauseLeaving(wire::PoolMember leaving, std::uint64_t term, std::function<void(wire::PoolMember)> handler);
    /// Returns whether a later run of the database is known, or another database that was started later at its address.
    bool isSuperseded(const wire::PoolMember &absent) const;
    /// Finds out which absent databases have ended, and removes those whose commits another replica has received since.
    boost::asio::awaitable<void> checkAbsent(std::string name, wire::PoolMember primary);
    /// Asks absent databases for their state.
    boost::asio::awaitable<void> probeAbsent(std::string name, std::vector<wire::PoolMember> absent, std::uint64_t generation);
    boost::asio::awaitable<bool> isAnyReplicaCaughtUp(std::string name, wire::PoolMember primary, std::uint64_t generation);
    boost::asio::awaitable<bool> forget(std::string name, wire::ForgetMembers members);
    std::string evaluate(const std::string &name, Service &service, const DatabaseCalls::Answer &answer) const;
    boost::asio::awaitable<bool> areReplicasLagging(std::string name, std::string primary);
    std::size_t countReports(const Service &service, bool Report::*kind, TimePoint now) const;
    boost::asio::awaitable<void> changePrimary(std::string name, std::string cause);
    boost::asio::awaitable<bool> tryChangePrimary(const std::string &name, std::uint64_t generation, bool primaryLost);
    boost::asio::awaitable<std::optional<std::uint64_t>> startEpoch(std::string name, std::uint64_t expected);
    boost::asio::awaitable<bool> setPrimary(std::string name, std::uint64_t epoch, std::string primary);
    bool advanceWithdrawal(const std::string &name);
    /// Waits for the withdrawal for some time.
    /// @return whether no proxy reads, or acknowledges commits of a closed epoch, under a lease on an earlier epoch any more
    boost::asio::awaitable<bool> awaitWithdrawal(std::string name, std::uint64_t generation);
    boost::asio::awaitable<std::string> chooseCandidateAfterLoss(const std::string &name, std::string previous, std::uint64_t generation);
    boost::asio::awaitable<std::string> chooseCandidate(const std::string &name, std::string previous, std::uint64_t generation);
    void updateHighestTerm(const std::string &name, const Answers &answers);
    PrimaryChoice makePrimaryChoice(const std::string &name, const std::string &previous, const Answers &answers) const;
    /// Allows only logs with all commits that are certainly acknowledged and, for a limited time, with those that may be.
    AcknowledgedBounds requireAcknowledgedCommits(const std::string &name, PrimaryChoice &choice);
    /// Logs a comparison that differs from the one before.
    void reportComparison(const std::string &name, const std::string &chosen, const PrimaryChoice &choice, const Answers &answers,
                          const AcknowledgedBounds &bounds);
    /// Chooses after the epochs were closed.
    std::string chooseAmongPaused(const std::string &name, const std::string &previous, const Answers &answers);
    boost::asio::awaitable<void> awaitCaughtUpReplica(const std::string &name, std::string previous, Answers &answers, std::uint64_t generation);
    boost::asio::awaitable<bool> orderPromotion(std::string name, std::string candidate, std::uint64_t epoch);
    /// Records an order in the log before it is sent.
    boost::asio::awaitable<bool> recordOrder(std::string name, std::string candidate, std::uint64_t epoch);
    void settleOrder(const std::string &name, const std::string &database, std::uint64_t epoch);
    /// Returns whether no earlier order may still promote another database.
    bool mayOrder(const std::string &name, const std::string &candidate, TimePoint now);
    /// Makes primaries of earlier terms step down and adds them to the replicas.
    boost::asio::awaitable<void> stopReplacedPrimaries(std::string name, std::vector<wire::PoolMember> replaced, Answers &answers);
    boost::asio::awaitable<bool> awaitPrimaryRole(wire::PoolMember member, std::uint64_t generation);
    boost::asio::awaitable<void> sleepFor(Duration duration);
    boost::asio::awaitable<LogReply> propose(wire::SessionsCommand command);
    bool isReplaceable(const std::string &name) const;
    std::vector<wire::PoolMember> members(const std::string &name) const;

    boost::asio::io_context &m_context;
    State m_state;
    const SessionControlPorts &m_ports;
    Options m_options;
    std::function<void()> m_publish;
    DatabaseCalls m_databaseCalls;
    std::map<std::string, Service> m_services;
    std::uint64_t m_generation = 0; ///< counts leaderships, so that coroutines of an earlier one stop
    bool m_leads = false;
    bool m_directoryComplete = false; ///< every database has had time to send a heartbeat
};

} // namespace waxwing::control
