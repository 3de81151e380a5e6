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
#include <utility>
#include <vector>

namespace waxwing
{

struct AdmissionOptions
{
    std::size_t queueLength = 1000; ///< statements that wait, of all classes
    double callerShare = 0.5; ///< part of the queue that one caller may hold; 1 for no limit
    bool predictsDeadlines = true; ///< refuses at once what can't finish in time; false is the baseline
    CallerShareOptions shares {};
    Duration shareInterval = 5ms; ///< how often the callers over their share are determined
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
    std::optional<RefusalReason> refusal {}; ///< the offered statement is refused
    std::optional<RefusedStatement> displaced {}; ///< a waiting statement of lower rank made room for it
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
    /// @param slots slots that its class can use on the databases it can run on, see SlotSchedule::slotsFor()
    AdmissionResult admit(QueuedStatement statement, double slots, TimePoint now)
    {
        if (statement.deadline <= now) {
            return {.refusal = RefusalReason::DeadlinePassed, .displaced = std::nullopt};
        }
        const auto known = m_callers.find(statement.caller);
        const double callerLimit = std::max(1.0, m_options.callerShare * static_cast<double>(m_options.queueLength));
        if (m_options.callerShare < 1.0 && known != m_callers.end() && static_cast<double>(known->second.waiting) >= callerLimit) {
            return {.refusal = RefusalReason::CallerShareExceeded, .displaced = std::nullopt};
        }
        if (m_options.predictsDeadlines && now + predictedWait(statement, slots) + statement.predictedCost > statement.deadline) {
            return {.refusal = RefusalReason::DeadlineUnreachable, .displaced = std::nullopt};
        }
        AdmissionResult result;
        if (m_entries.size() >= m_options.queueLength) {
            const auto last = std::max_element(m_entries.begin(), m_entries.end(), [this](const Entry &a, const Entry &b) { return isBefore(a.rank, b.rank); });
            if (!Order::separatesClasses || last == m_entries.end() || !isBefore(rankOf(statement), last->rank)) {
                return {.refusal = RefusalReason::QueueFull, .displaced = std::nullopt};
            }
            result.displaced = RefusedStatement {removeAt(last), RefusalReason::QueueFull};
        }
        const auto rank = rankOf(statement);
        ++m_callers[statement.caller].waiting;
        ++m_waiting[static_cast<std::size_t>(statement.workClass)];
        m_entries.push_back({std::move(statement), rank});
        WAXWING_INVARIANT(m_entries.size() <= m_options.queueLength, "queue-bounded");
        return result;
    }

    /// @brief Finds the first statement of a class, in the order of the queue, that a predicate accepts.
    /// @param workClass class; ignored if the order does not separate classes
    /// @param canRun predicate on QueuedStatement; the last statement that it accepts is the one returned
    /// @return the statement, valid until the queue changes, or nullptr
    template<class Predicate>
    const QueuedStatement *first(WorkClass workClass, Predicate canRun) const
    {
        const Entry *best = nullptr;
        for (const auto &entry : m_entries) {
            if (Order::separatesClasses && entry.statement.workClass != workClass) {
                continue;
            }
            if ((best == nullptr || isBefore(entry.rank, best->rank)) && canRun(entry.statement)) {
                best = &entry;
            }
        }
        return best == nullptr ? nullptr : &best->statement;
    }

    /// @brief Removes a statement, to run it or because it was cancelled.
    /// @return the statement, or nothing if it does not wait
    std::optional<QueuedStatement> remove(std::uint64_t id)
    {
        const auto found = std::find_if(m_entries.begin(), m_entries.end(), [id](const Entry &entry) { return entry.statement.id == id; });
        return found == m_entries.end() ? std::nullopt : std::optional(removeAt(found));
    }

    /// @brief Removes and returns the statements that have missed, or can no longer meet, their deadline.
    std::vector<RefusedStatement> takeOverdue(TimePoint now)
    {
        std::vector<RefusedStatement> refused;
        for (std::size_t i = m_entries.size(); i-- > 0;) {
            const auto &statement = m_entries[i].statement;
            if (statement.deadline <= now) {
                refused.push_back({removeAt(m_entries.begin() + static_cast<std::ptrdiff_t>(i)), RefusalReason::DeadlinePassed});
            } else if (m_options.predictsDeadlines && now + statement.predictedCost > statement.deadline) {
                refused.push_back({removeAt(m_entries.begin() + static_cast<std::ptrdiff_t>(i)), RefusalReason::DeadlineUnreachable});
            }
        }
        return refused;
    }

    /// @brief Removes and returns all statements, e.g. when ownership of the group is lost.
    std::vector<QueuedStatement> takeAll()
    {
        std::vector<QueuedStatement> statements;
        statements.reserve(m_entries.size());
        for (auto &entry : m_entries) {
            statements.push_back(std::move(entry.statement));
        }
        m_entries.clear();
        m_callers.clear();
        m_waiting = {};
        return statements;
    }

    /// @brief Earliest time at which takeOverdue() has work; TimePoint::max() if the queue is empty.
    TimePoint nextOverdue() const
    {
        auto next = TimePoint::max();
        for (const auto &entry : m_entries) {
            next = std::min(next, entry.statement.deadline - (m_options.predictsDeadlines ? entry.statement.predictedCost : Duration::zero()));
        }
        return next;
    }

    /// @brief Adds slot time that a caller used, when its statement finishes.
    void recordUse(std::string_view caller, Duration slotTime, TimePoint now)
    {
        m_shares.use(caller, slotTime, now);
        if (Order::separatesClasses && now >= m_nextShares) {
            m_nextShares = now + m_options.shareInterval;
            for (auto &[name, state] : m_callers) {
                state.isOverShare = m_shares.isOverShare(name, m_callers.size(), now);
            }
            for (auto &entry : m_entries) {
                entry.rank.isOverShare = isOverShare(entry.statement.caller);
            }
        }
    }

    /// @brief Predicts how long a statement would wait for a slot.
    /// @param slots slots that its class can use on the databases it can run on
    Duration predictedWait(const QueuedStatement &statement, double slots) const
    {
        const auto rank = rankOf(statement);
        Duration ahead = Duration::zero();
        for (const auto &entry : m_entries) {
            const auto &other = entry.statement;
            const bool sharesSlots = (!Order::separatesClasses || other.workClass == statement.workClass) && other.requiresPrimary >= statement.requiresPrimary;
            if (sharesSlots && isBefore(entry.rank, rank)) {
                ahead += other.predictedCost;
            }
        }
        return std::chrono::duration_cast<Duration>(ahead / std::max(slots, 0.1));
    }

    /// @brief Number of statements that wait.
    std::size_t size() const
    {
        return m_entries.size();
    }

    /// @brief Number of statements of a class that wait.
    std::size_t size(WorkClass workClass) const
    {
        return m_waiting[static_cast<std::size_t>(workClass)];
    }

private:
    struct Entry
    {
        QueuedStatement statement;
        QueueRank rank;
    };
    struct Caller
    {
        std::size_t waiting = 0;
        bool isOverShare = false;
    };

    bool isBefore(const QueueRank &a, const QueueRank &b) const
    {
        return m_order.isBefore(a, b);
    }

    bool isOverShare(std::string_view caller) const
    {
        const auto found = m_callers.find(caller);
        return found != m_callers.end() && found->second.isOverShare;
    }

    QueueRank rankOf(const QueuedStatement &statement) const
    {
        auto rank = QueueRank::of(statement);
        rank.isOverShare = isOverShare(statement.caller);
        return rank;
    }

    QueuedStatement removeAt(typename std::vector<Entry>::iterator place)
    {
        const auto caller = m_callers.find(place->statement.caller);
        if (WAXWING_INVARIANT(caller != m_callers.end(), "queue-callers-counted") && --caller->second.waiting == 0) {
            m_callers.erase(caller);
        }
        --m_waiting[static_cast<std::size_t>(place->statement.workClass)];
        auto statement = std::move(place->statement);
        if (std::next(place) != m_entries.end()) {
            *place = std::move(m_entries.back());
        }
        m_entries.pop_back();
        return statement;
    }

    AdmissionOptions m_options;
    Order m_order;
    CallerShares m_shares;
    std::vector<Entry> m_entries;
    std::map<std::string, Caller, std::less<>> m_callers; // those with waiting statements
    std::array<std::size_t, 2> m_waiting {};
    TimePoint m_nextShares;
};

} // namespace waxwing
