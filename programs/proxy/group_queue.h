#pragma once

#include "service_view.h"

#include <waxwing/coordination/admission_queue.h>
#include <waxwing/coordination/slot_schedule.h>

#include <variant>

namespace waxwing
{

/// @brief Waiting statements of one group and the choice of the next one to start, with the policy in force.
class GroupQueue
{
public:
    /// @brief Takes over the policy. Statements that wait stay.
    void configure(const ServiceLimits &limits, const ServicePolicy &policy, TimePoint now)
    {
        if (m_isConfigured && limits == m_limits && policy == m_policy) {
            return;
        }
        m_isConfigured = true;
        m_limits = limits;
        m_policy = policy;
        auto waiting = takeAll();
        const AdmissionOptions options {.queueLength = limits.queueLength, .callerShare = limits.callerShare, .predictsDeadlines = policy.predictsDeadlines};
        if (policy.hasClasses) {
            m_queue.emplace<AdmissionQueue<DensityOrder>>(options);
        } else {
            m_queue.emplace<AdmissionQueue<FifoOrder>>(options);
        }
        m_schedule = SlotSchedule({.longShare = policy.longShare});
        for (auto &statement : waiting) {
            // A statement that no longer fits is refused at its deadline at the latest, by its group.
            admit(std::move(statement), unlimitedSlots, now);
        }
    }

    /// @brief Admits a statement, or refuses it.
    AdmissionResult admit(QueuedStatement statement, const AvailableSlots &slots, TimePoint now)
    {
        return std::visit([&](auto &queue) { return queue.admit(std::move(statement), slots, now); }, m_queue);
    }

    /// @brief Chooses and removes the next statement to start.
    template<class Places>
    std::optional<Assignment> next(std::span<const EndpointState> endpoints, Places places, Random &random, TimePoint now)
    {
        return std::visit(
            [&](auto &queue) {
                auto assignment = m_schedule.next(queue, endpoints, places, random, now);
                if (assignment) {
                    queue.remove(assignment->statement);
                }
                return assignment;
            },
            m_queue);
    }

    /// @brief Removes a statement.
    void remove(std::uint64_t id)
    {
        std::visit([&](auto &queue) { queue.remove(id); }, m_queue);
    }

    /// @brief Removes and returns the statements that can no longer meet their deadline.
    std::vector<RefusedStatement> takeOverdue(TimePoint now)
    {
        return std::visit([&](auto &queue) { return queue.takeOverdue(now); }, m_queue);
    }

    /// @brief Removes and returns all statements.
    std::vector<QueuedStatement> takeAll()
    {
        return std::visit([](auto &queue) { return queue.takeAll(); }, m_queue);
    }

    /// @brief Adds slot time that a statement used.
    void recordUse(std::string_view caller, WorkClass workClass, Duration slotTime, TimePoint now)
    {
        const bool longWaits = std::visit([](const auto &queue) { return queue.size(WorkClass::Long) > 0; }, m_queue);
        m_schedule.recordUse(workClass, slotTime, longWaits, now);
        std::visit([&](auto &queue) { queue.recordUse(caller, slotTime, now); }, m_queue);
    }

    std::size_t size() const
    {
        return std::visit([](const auto &queue) { return queue.size(); }, m_queue);
    }

private:
    static constexpr AvailableSlots unlimitedSlots {.onPrimary = 1e9, .onReplicas = 1e9};

    bool m_isConfigured = false;
    ServiceLimits m_limits;
    ServicePolicy m_policy;
    std::variant<AdmissionQueue<DensityOrder>, AdmissionQueue<FifoOrder>> m_queue;
    SlotSchedule m_schedule;
};

} // namespace waxwing
