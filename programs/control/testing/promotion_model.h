#pragma once

#include "../epoch_withdrawal.h"
#include "../session_leases.h"

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
#include <vector>

namespace waxwing::control::testing
{

/// @brief Seeded model of one service of three databases, three proxies and control, in virtual time, under crashes, cuts,
/// suspensions, lost messages and orders that are carried out late.
///
/// The decisions are those of the program (SessionLeases, EpochWithdrawal, PrimaryChoice, EpochLease, PositionHistory);
/// databases, network and platform are modelled after the rules that they state.
class PromotionModel
{
public:
    /// Mechanism that is taken out, to show that the checks find its absence.
    enum class Weakness {
        None,
        NoWithdrawal, ///< promotions do not wait for leases
        NoAcknowledged, ///< promotions go on without a replica that does not answer
        NoClosing, ///< proxies acknowledge commits of epochs that were closed
    };

    PromotionModel(std::uint64_t seed, Weakness weakness);

    /// @brief Plays a number of seconds.
    /// @return what was violated; empty if nothing was
    std::string run(Duration length);

    /// @brief Changes of the primary that were finished.
    unsigned changes() const
    {
        return m_changes;
    }

private:
    static constexpr std::size_t size = 3; ///< databases, and proxies
    static constexpr std::size_t none = size;

    struct Commit
    {
        std::uint64_t id = 0;
        TermPosition position;
    };

    struct Database
    {
        bool up = true;
        bool control = true; ///< reached by control
        std::array<bool, size> receives {true, true, true}; ///< from the other databases
        std::array<bool, size> proxies {true, true, true}; ///< reached by proxies
        std::vector<Commit> log;
        std::uint64_t term = 1;
        std::uint64_t pausedTerm = 0;
    };

    struct Proxy
    {
        std::string name;
        std::uint64_t incarnation = 1;
        bool control = true; ///< reaches control
        TimePoint frozenUntil;
        EpochLease lease;
        PositionHistory history;
        TermPosition acknowledged;
        std::uint64_t epoch = 0; ///< of the directory
        std::size_t primary = none;
    };

    /// State in the replicated log of control.
    struct Record
    {
        std::uint64_t epoch = 1;
        std::size_t primary = 0;
        std::size_t previous = 0;
        std::uint64_t term = 1; ///< highest in which a published primary led
        std::set<std::string, std::less<>> proxies;
    };

    struct Change
    {
        bool active = false;
        std::optional<std::size_t> candidate;
        bool ordered = false; ///< with an answer
        TimePoint since;
    };

    void at(Duration delay, std::function<void()> action);
    void every(Duration interval, std::function<void()> action);
    TermPosition endOf(const Database &database) const;
    bool holds(const Database &database, const Commit &commit) const;
    bool holdsAcknowledged(const Database &database, std::size_t count) const; ///< the first acknowledged commits
    void fail(const std::string &what);
    void disturb();
    void replicate(std::size_t to);
    void write(std::size_t proxy);
    void answerWrite(std::size_t proxy, std::uint64_t incarnation, std::uint64_t epoch, const Commit &commit, TimePoint sentAt);
    void read(std::size_t proxy);
    void renew(std::size_t proxy);
    void takeGrant(std::size_t proxy, std::uint64_t incarnation, TimePoint sentAt, std::uint64_t epoch, std::size_t primary);
    void withdraw(const std::string &name, const wire::PoolWithdraw &request);
    void lead();
    void advanceChange();
    std::optional<std::size_t> choose();
    void order(std::size_t candidate, std::uint64_t token);
    void promote(std::size_t database, std::uint64_t token);

    Random m_random;
    Weakness m_weakness;
    TimePoint m_now;
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::array<Database, size> m_databases;
    std::array<Proxy, size> m_proxies;
    std::size_t m_leading = 0; ///< database that leads, or none
    std::uint64_t m_fence = 0;
    Record m_record;
    SessionLeases m_leases;
    EpochWithdrawal m_withdrawal;
    Change m_change;
    std::uint64_t m_leadership = 0;
    std::uint64_t m_index = 1;
    std::uint64_t m_lastCommit = 0;
    std::vector<Commit> m_acknowledged;
    unsigned m_changes = 0;
    std::string m_violation;
};

} // namespace waxwing::control::testing
