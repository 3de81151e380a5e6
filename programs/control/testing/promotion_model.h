#pragma once

#include "../epoch_withdrawal.h"
#include "../pending_orders.h"
#include "../session_leases.h"

#include <waxwing/coordination/commit_tracker.h>
#include <waxwing/coordination/epoch_lease.h>
#include <waxwing/coordination/position_history.h>
#include <waxwing/coordination/primary_choice.h>
#include <waxwing/support/random.h>

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace waxwing::control::testing
{

/// @brief Seeded model of one service with three databases, three proxies and control, in virtual time, with crashes, network
/// cuts, suspensions, lost messages and promotion orders that are executed late. Databases restart, leave, or are started again
/// under their id without their log, at any time, also between a promotion order and the promotion. One whose deregistration is
/// not answered goes on for some seconds.
///
/// The decisions are made by the classes of the program (SessionLeases, EpochWithdrawal, PrimaryChoice, EpochLease,
/// PositionHistory); databases, network and platform are modelled according to their specified behaviour.
class PromotionModel
{
public:
    /// What the platform guarantees about orders.
    enum class Platform {
        Fenced, ///< refuses an order with a lower token than one that it has seen; a replaced primary stops at once
        Unfenced, ///< carries out every order; a replaced primary goes on until it is told to stop, or 1 s after it reaches the new one
    };

    /// Defect that is injected to show that the checks detect it.
    enum class Defect {
        PromoteWithoutWithdrawal, ///< promotions do not wait until leases are withdrawn or have ended
        ForgetDeregistered, ///< a database that has deregistered is not looked for
        TrustDeregistration, ///< a database that has deregistered is taken to have ended
        TrustEndedPause, ///< a pause of a database that has deregistered is relied on after the next promotion
        ForgetSilent, ///< a database that fell silent is not looked for by the next leader
        TrustRestarted, ///< the log of a database that was started again is taken for that of its earlier run
        CompareBeforeClosing, ///< logs are compared while proxies still acknowledge commits of the former primary
        IgnoreStatedCommits, ///< promotions ignore what the proxies state of acknowledged commits as long as nobody is missing
        IgnoreAcknowledgedPosition, ///< promotions ignore which position the proxies acknowledged when a replica does not answer
        AcknowledgeInClosedEpoch, ///< proxies acknowledge commits of closed epochs
        ReadWithoutLease, ///< proxies without a lease read from a database that claims to lead
        IgnoreLateOrders, ///< another database is promoted while an earlier order may still be carried out
        TrustEarlierTerm, ///< a replaced primary that goes on is taken for the primary of the latest term
    };

    PromotionModel(std::uint64_t seed, Platform platform, std::set<Defect> defects = {});

    /// @brief Runs the model for a duration of virtual time.
    /// @return description of the first violation; empty if there was none
    std::string run(Duration duration);

    /// @brief Number of finished changes of the primary.
    unsigned finishedChanges() const
    {
        return m_finishedChanges;
    }

private:
    static constexpr std::size_t nodeCount = 3; ///< number of databases, and of proxies
    static constexpr std::size_t noDatabase = nodeCount;

    struct Commit
    {
        std::uint64_t id = 0;
        TermPosition position;
    };

    struct Database
    {
        bool running = true;
        std::uint64_t born = 1; ///< counts its runs
        std::uint64_t disk = 1; ///< counts its disks, each of which starts empty
        bool leads = false; ///< according to itself
        bool leaving = false; ///< it has deregistered, got no answer, and still receives
        TimePoint reachesNewPrimarySince; ///< while it leads in an earlier term; zero while it does not reach the new primary
        bool controlReachable = true; ///< from control
        std::array<bool, nodeCount> receivesFrom {true, true, true}; ///< replication from each database works
        std::array<bool, nodeCount> reachableFromProxies {true, true, true};
        std::vector<Commit> log;
        std::uint64_t term = 1;
        std::uint64_t pausedTerm = 0; ///< replication from primaries of lower terms is stopped
    };

    struct Proxy
    {
        std::string name;
        std::uint64_t incarnation = 1;
        bool controlReachable = true; ///< in both directions
        TimePoint suspendedUntil;
        EpochLease lease;
        PositionHistory history;
        CommitTracker commits;
        std::uint64_t epoch = 0; ///< in the received directory
        std::size_t primary = noDatabase;
        std::pair<std::size_t, std::uint64_t> connection; ///< database and its run; opening one shows whether the database leads
    };

    struct Stop
    {
        TermPosition received;
        std::uint64_t term = 0; ///< before the next promotion
    };

    /// State in the replicated log of control.
    struct Record
    {
        std::array<std::uint64_t, nodeCount> runs {1, 1, 1}; ///< run of each database; 0 while it is gone
        std::set<std::pair<std::size_t, std::uint64_t>> absent; ///< earlier runs that may hold commits which the others lack
        std::map<std::pair<std::size_t, std::uint64_t>, Stop> stopped; ///< absent runs that receive nothing before the next promotion
        std::uint64_t epoch = 1;
        std::size_t primary = 0;
        std::size_t previousPrimary = 0;
        std::uint64_t term = 1; ///< highest term in which a published primary led
        std::set<std::string, std::less<>> proxies;
        std::set<std::size_t> orders; ///< databases that may still be promoted by an earlier order
    };

    struct PrimaryChange
    {
        bool active = false;
        std::optional<std::size_t> candidate;
        std::uint64_t candidateDisk = 0; ///< when the logs were compared
        TimePoint orderedAt; ///< when the promotion was ordered and answered; zero before
        std::optional<TimePoint> possibleCommitsAwaitedSince; ///< see PrimarySupervisor
        TimePoint neededSince; ///< last time that no change was needed
    };

    bool has(Defect defect) const
    {
        return m_defects.contains(defect);
    }

    void schedule(Duration delay, std::function<void()> action);
    void scheduleEvery(Duration interval, std::function<void()> action);
    TermPosition lastPosition(const Database &database) const;
    bool holds(const Database &database, const Commit &commit) const;
    bool holdsAllAcknowledged(const Database &database, std::size_t count) const; ///< checks the given number of first acknowledged commits
    void reportViolation(const std::string &what);
    void injectFault();
    std::size_t latestLeader() const; ///< database that leads in the latest term, or noDatabase
    void learnOfPromotion(std::size_t index);
    /// Tells whether control knows of a database or of an earlier run. The model assumes that others receive nothing yet.
    bool isKnown(std::size_t index) const;
    void replicate(std::size_t to);
    void write(std::size_t proxy);
    void abandonWrite(std::size_t proxy, std::uint64_t incarnation, const CommitTracker::Commit &sent);
    /// @param stated position that the primary states with the answer
    void answerWrite(std::size_t proxy, std::uint64_t incarnation, std::uint64_t epoch, const Commit &commit, TermPosition stated,
                     const CommitTracker::Commit &sent);
    void read(std::size_t proxy);
    void renew(std::size_t proxy);
    void handleGrant(std::size_t proxy, std::uint64_t incarnation, TimePoint sentAt, std::uint64_t epoch, std::size_t primary);
    void withdraw(const std::string &name, const wire::PoolWithdraw &request);
    void startControlTerm();
    /// Tells whether control hears of a database and uses it.
    static bool isInUse(const Database &database)
    {
        return database.running && database.controlReachable && !database.leaving;
    }

    void replaceDatabase(std::size_t index, Duration duration);
    /// Makes control pause a replica that deregisters, and record what it has received.
    void stopReceiving(std::size_t index);
    /// Ends a run and loses its log.
    void endRun(std::size_t index, Duration downtime);
    void recordDatabases();
    void recordGone(std::size_t index, bool looksForIt);
    void forgetAbsent();
    void advancePrimaryChange();
    bool advanceWithdrawal();
    void requireAcknowledgedCommits(waxwing::PrimaryChoice &choice);
    std::optional<std::size_t> chooseCandidate();
    bool mayOrder(std::size_t candidate);
    void orderPromotion(std::size_t candidate, std::uint64_t token);
    /// The platform carries out an order only on the disk that its database had when it was sent.
    bool acceptOrder(std::size_t database, std::uint64_t token, std::uint64_t disk);
    void promote(std::size_t database);

    Random m_random;
    Platform m_platform;
    std::set<Defect> m_defects;
    TimePoint m_now;
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::array<Database, nodeCount> m_databases;
    std::array<Proxy, nodeCount> m_proxies;
    std::uint64_t m_fencingToken = 0;
    Record m_record;
    SessionLeases m_leases;
    EpochWithdrawal m_withdrawal;
    PendingOrders m_pendingOrders;
    PrimaryChange m_primaryChange;
    std::array<TimePoint, nodeCount> m_heardAt {}; ///< when control got the last heartbeat of each database
    std::set<std::pair<std::size_t, std::uint64_t>> m_forgottenByNextLeader; ///< see Defect::ForgetSilent
    std::uint64_t m_controlTerm = 0;
    std::uint64_t m_logIndex = 1;
    std::uint64_t m_lastCommit = 0;
    std::vector<Commit> m_acknowledged;
    unsigned m_finishedChanges = 0;
    std::string m_violation;
};

} // namespace waxwing::control::testing
