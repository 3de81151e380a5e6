#pragma once

#include <waxwing/coordination/caller_shares.h>
#include <waxwing/coordination/queue_order.h>
#include <waxwing/coordination/queued_statement.h>
#include <waxwing/state/refusal_reason.h>
#include <waxwing/support/invariant.h>
#include <waxwing/support/time.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace waxwing
{

struct AdmissionOptions
{
    std::size_t queueLength = 1000; ///< maximum number of waiting statements, of all classes
    double callerShare = 0.5; ///< fraction of the queue that one caller may occupy; 1 for no limit
    bool predictsDeadlines = true; ///< refuses statements at once that can't finish in time; false is the baseline
    /// Time reserved to run a statement, as a multiple of its predicted cost. Costs vary, and a statement that misses
    /// its deadline by that variation wastes its slot.
    double costMargin = 1.3;
    /// Maximum predicted wait of a statement, as a fraction of the time to its deadline. The rest is left for statements
    /// of higher value that arrive later, and keeps the queue short enough to drain soon after a peak.
    double waitShare = 0.75;
    CallerShareOptions shares {};
    Duration shareInterval = 5ms; ///< interval at which the callers over their share are determined
};

/// @brief Number of slots that a class of work can use, see SlotSchedule::slotsFor().
struct AvailableSlots
{
    double onPrimary = 0.0;
    double onReplicas = 0.0; ///< not usable by statements that require the primary
};

/// @brief A statement that leaves the queue without running.
struct RefusedStatement
{
    QueuedStatement statement;
    RefusalReason reason;
};

/// @brief Result of offering a statement to the queue.
struct AdmissionResult
{
    std::optional<RefusalReason> refusal {}; ///< set if the offered statement is refused
    std::optional<RefusedStatement> displaced {}; ///< waiting statement of lower rank that was removed in its favour
};

/// @brief Statements of one group that wait for a slot.
template<QueueOrder Order>
class AdmissionQueue
{
public:
    using OrderType = Order;

    explicit AdmissionQueue(AdmissionOptions options = {}, Order order = {})
        : m_options(options)
        , m_order(order)
        , m_shares(options.shares)
    {
    }

    /// @brief Admits a statement, or refuses it.
    /// @param slots slots that its class can use
    AdmissionResult admit(QueuedStatement statement, const AvailableSlots &slots, TimePoint now)
    {
        if (statement.deadline <= now) {
            return {.refusal = RefusalReason::DeadlinePassed, .displaced = std::nullopt};
        }
        const auto known = m_callers.find(statement.caller);
        const double callerLimit = std::max(1.0, m_options.callerShare * static_cast<double>(m_options.queueLength));
        if (m_options.callerShare < 1.0 && known != m_callers.end() && static_cast<double>(known->second.waiting) >= callerLimit) {
            return {.refusal = RefusalReason::CallerShareExceeded, .displaced = std::nullopt};
        }
        if (m_options.predictsDeadlines && !isReachable(statement, slots, now)) {
            return {.refusal = RefusalReason::DeadlineUnreachable, .displaced = std::nullopt};
        }
        AdmissionResult result;
        const auto rank = rankOf(statement);
        if (size() >= m_options.queueLength) {
            const auto last = lowestRank();
            if (!Order::separatesClasses || !last || !m_order.isBefore(rank, *last)) {
                return {.refusal = RefusalReason::QueueFull, .displaced = std::nullopt};
            }
            result.displaced = RefusedStatement {*remove(last->id), RefusalReason::QueueFull};
        }
        ++m_callers[statement.caller].waiting;
        m_waitingForPrimary[classIndex(statement.workClass)] += statement.requiresPrimary ? 1 : 0;
        m_nextOverdue = std::min(m_nextOverdue, overdueAt(statement));
        const auto index = classIndex(statement.workClass);
        const auto id = statement.id;
        if (WAXWING_INVARIANT(m_locations.try_emplace(id, Location {index, rank}).second, "queued-statement-unique")) {
            m_entries[index].emplace(rank, std::move(statement));
        }
        WAXWING_INVARIANT(size() <= m_options.queueLength, "queue-bounded");
        return result;
    }

    /// @brief Finds the first statement of a class, in the order of the queue, that a predicate accepts.
    /// @param workClass class; ignored if the order does not separate classes
    /// @param canRun predicate on QueuedStatement; called in order until it accepts a statement
    /// @return the statement, valid until the queue changes, or nullptr
    template<class Predicate>
    const QueuedStatement *first(WorkClass workClass, Predicate canRun) const
    {
        for (const auto &[rank, statement] : m_entries[classIndex(workClass)]) {
            if (canRun(statement)) {
                return &statement;
            }
        }
        return nullptr;
    }

    /// @brief Removes a statement, to run it or because it was cancelled.
    /// @return the statement, or nothing if it is not in the queue
    std::optional<QueuedStatement> remove(std::uint64_t id)
    {
        const auto location = m_locations.find(id);
        if (location == m_locations.end()) {
            return std::nullopt;
        }
        auto entry = m_entries[location->second.index].extract(location->second.rank);
        m_locations.erase(location);
        if (!WAXWING_INVARIANT(!entry.empty(), "queue-places-match")) {
            return std::nullopt;
        }
        m_waitingForPrimary[classIndex(entry.mapped().workClass)] -= entry.mapped().requiresPrimary ? 1 : 0;
        const auto caller = m_callers.find(entry.mapped().caller);
        if (WAXWING_INVARIANT(caller != m_callers.end(), "queue-callers-counted") && --caller->second.waiting == 0) {
            m_callers.erase(caller);
        }
        return std::move(entry.mapped());
    }

    /// @brief Removes and returns the statements that have missed their deadline, or can no longer meet it.
    std::vector<RefusedStatement> takeOverdue(TimePoint now)
    {
        std::vector<RefusedStatement> refused;
        if (now < m_nextOverdue) {
            return refused;
        }
        std::vector<std::uint64_t> overdue;
        m_nextOverdue = TimePoint::max();
        for (const auto &entries : m_entries) {
            for (const auto &[rank, statement] : entries) {
                if (overdueAt(statement) <= now) {
                    overdue.push_back(rank.id);
                } else {
                    m_nextOverdue = std::min(m_nextOverdue, overdueAt(statement));
                }
            }
        }
        for (const auto id : overdue) {
            auto statement = remove(id);
            const auto reason = statement->deadline <= now ? RefusalReason::DeadlinePassed : RefusalReason::DeadlineUnreachable;
            refused.push_back({std::move(*statement), reason});
        }
        return refused;
    }

    /// @brief Removes and returns all statements, e.g. when ownership of the group is lost.
    std::vector<QueuedStatement> takeAll()
    {
        std::vector<QueuedStatement> statements;
        statements.reserve(size());
        for (auto &entries : m_entries) {
            for (auto &[rank, statement] : entries) {
                statements.push_back(std::move(statement));
            }
            entries.clear();
        }
        m_locations.clear();
        m_callers.clear();
        m_waitingForPrimary = {};
        m_nextOverdue = TimePoint::max();
        return statements;
    }

    /// @brief Earliest time at which takeOverdue() may return a statement; TimePoint::max() if the queue is empty.
    TimePoint nextOverdue() const
    {
        return m_locations.empty() ? TimePoint::max() : m_nextOverdue;
    }

    /// @brief Adds slot time that a caller used, when its statement finishes.
    void recordUse(std::string_view caller, Duration slotTime, TimePoint now)
    {
        m_shares.use(caller, slotTime, now);
        if (Order::separatesClasses && now >= m_nextShareUpdate) {
            m_nextShareUpdate = now + m_options.shareInterval;
            for (auto &[name, state] : m_callers) {
                const bool isOverShare = m_shares.isOverShare(name, m_callers.size(), now);
                if (state.isOverShare != isOverShare) {
                    state.isOverShare = isOverShare;
                    updateRanks(name);
                }
            }
        }
    }

    /// @brief Predicts how long a statement would wait for a slot.
    /// @param slots slots that its class can use
    Duration predictedWait(const QueuedStatement &statement, const AvailableSlots &slots) const
    {
        const auto rank = rankOf(statement);
        Duration aheadOnPrimary = Duration::zero();
        Duration aheadAnywhere = Duration::zero();
        for (const auto &[otherRank, other] : m_entries[classIndex(statement.workClass)]) {
            if (!m_order.isBefore(otherRank, rank)) {
                break;
            }
            (other.requiresPrimary ? aheadOnPrimary : aheadAnywhere) += other.predictedCost;
        }
        // If long work occupies all slots, assumes that one of them is released soon.
        const auto drainTime = [](Duration work, double count) {
            return std::chrono::duration_cast<Duration>(work / std::max(count, 1.0));
        };
        const auto onAll = drainTime(aheadOnPrimary + aheadAnywhere, slots.onPrimary + slots.onReplicas);
        if (statement.requiresPrimary) {
            return std::max(drainTime(aheadOnPrimary, slots.onPrimary), onAll);
        }
        // A read waits at most until the replicas have run the reads ahead of it, regardless of the work for the primary.
        return slots.onReplicas > 0.0 ? std::min(drainTime(aheadAnywhere, slots.onReplicas), onAll) : onAll;
    }

    /// @brief Number of waiting statements.
    std::size_t size() const
    {
        return m_locations.size();
    }

    /// @brief Number of waiting statements of a class; of all classes if the order does not separate them.
    std::size_t size(WorkClass workClass) const
    {
        return m_entries[classIndex(workClass)].size();
    }

    /// @brief Returns whether statements of a class are waiting that only the primary may run.
    bool hasWaitingForPrimary(WorkClass workClass) const
    {
        return m_waitingForPrimary[classIndex(workClass)] > 0;
    }

private:
    struct RankLess
    {
        Order order;

        bool operator()(const QueueRank &a, const QueueRank &b) const
        {
            return order.isBefore(a, b);
        }
    };
    /// Where a statement is stored in m_entries.
    struct Location
    {
        std::size_t index;
        QueueRank rank;
    };
    struct Caller
    {
        std::size_t waiting = 0;
        bool isOverShare = false;
    };
    using Entries = std::map<QueueRank, QueuedStatement, RankLess>;

    static std::size_t classIndex(WorkClass workClass)
    {
        return Order::separatesClasses && workClass == WorkClass::Long ? 1 : 0;
    }

    TimePoint overdueAt(const QueuedStatement &statement) const
    {
        // A statement that would finish exactly at its deadline may still run, so it is overdue one tick later.
        return m_options.predictsDeadlines ? statement.deadline - reservedCost(statement) + Duration(1) : statement.deadline;
    }

    Duration reservedCost(const QueuedStatement &statement) const
    {
        return std::chrono::duration_cast<Duration>(statement.predictedCost * m_options.costMargin);
    }

    bool isReachable(const QueuedStatement &statement, const AvailableSlots &slots, TimePoint now) const
    {
        const Duration slack = statement.deadline - now - reservedCost(statement);
        return slack >= Duration::zero() && predictedWait(statement, slots) <= slack * m_options.waitShare;
    }

    QueueRank rankOf(const QueuedStatement &statement) const
    {
        auto rank = QueueRank::of(statement);
        const auto found = m_callers.find(statement.caller);
        rank.isOverShare = found != m_callers.end() && found->second.isOverShare;
        return rank;
    }

    void updateRanks(const std::string &caller)
    {
        for (auto &[id, location] : m_locations) {
            auto entry = m_entries[location.index].find(location.rank);
            if (entry != m_entries[location.index].end() && entry->second.caller == caller) {
                auto node = m_entries[location.index].extract(entry);
                node.key() = location.rank = rankOf(node.mapped());
                m_entries[location.index].insert(std::move(node));
            }
        }
    }

    std::optional<QueueRank> lowestRank() const
    {
        std::optional<QueueRank> last;
        for (const auto &entries : m_entries) {
            if (!entries.empty() && (!last || m_order.isBefore(*last, entries.rbegin()->first))) {
                last = entries.rbegin()->first;
            }
        }
        return last;
    }

    AdmissionOptions m_options;
    Order m_order;
    CallerShares m_shares;
    std::array<Entries, 2> m_entries; ///< by class
    std::unordered_map<std::uint64_t, Location> m_locations; ///< by id of the statement
    std::map<std::string, Caller, std::less<>> m_callers; ///< callers with waiting statements
    std::array<std::size_t, 2> m_waitingForPrimary {}; ///< waiting statements that only the primary may run, by class
    TimePoint m_nextOverdue = TimePoint::max();
    TimePoint m_nextShareUpdate; ///< when the callers over their share are next determined
};

} // namespace waxwing
