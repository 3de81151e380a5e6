#pragma once

#include <waxwing/coordination/admission_queue.h>
#include <waxwing/coordination/decaying_sum.h>
#include <waxwing/coordination/endpoint_state.h>
#include <waxwing/coordination/read_routing.h>
#include <waxwing/support/time.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace waxwing
{

class Random;

struct SlotScheduleOptions
{
    /// Part of the slot time that long work gets at least while it waits.
    double longShare = 0.2;
    /// Half-life of the slot time by which the share is measured.
    Duration shareHalfLife = 2s;
    /// Part of the time that a statement can wait after which it counts as urgent.
    double patience = 0.5;
    /// Wait after which long work may take slots that are otherwise kept for short work; at most the part above.
    Duration longPatience = 1200ms;
    /// Slots kept for short work: its load plus this many times the square root of it (square-root staffing).
    double shortReserve = 1.0;
};

/// @brief Where a statement may run: on a preferred endpoint, or on an overflow one if no preferred one has a free slot.
struct EligibleEndpoints
{
    EndpointSet preferred {};
    EndpointSet overflow {};
};

/// @brief A statement that starts now.
struct Assignment
{
    std::uint64_t statement = 0;
    std::size_t endpoint = 0; ///< index into the endpoints
};

/// @brief Largest number of slots of an endpoint that long work may hold.
/// @param limit statements that may run at a time
constexpr std::size_t longSlots(std::size_t limit)
{
    // With a single slot, long work could otherwise never run.
    return limit > 1 ? limit - 1 : limit;
}

/// @brief Decides which waiting statement goes to which endpoint.
class SlotSchedule
{
public:
    explicit SlotSchedule(SlotScheduleOptions options = {});

    /// @brief Chooses the next statement to start.
    /// @param queue waiting statements; the caller removes the chosen one
    /// @param places callable that returns the EligibleEndpoints of a QueuedStatement now
    /// @return nothing if no statement can start
    template<class Queue, class Places>
    std::optional<Assignment> next(const Queue &queue, std::span<const EndpointState> endpoints, Places places, Random &random, TimePoint now) const
    {
        if constexpr (!Queue::OrderType::separatesClasses) {
            return choose(queue, WorkClass::Short, endpoints, places, random, now);
        }
        std::array classes {WorkClass::Short, WorkClass::Long};
        if (isLongOwed(now)) {
            std::swap(classes[0], classes[1]);
        }
        for (const auto workClass : classes) {
            if (const auto assignment = choose(queue, workClass, endpoints, places, random, now)) {
                return assignment;
            }
        }
        return std::nullopt;
    }

    /// @brief Adds slot time that a statement used while it ran; called when it finishes and, for long work, at each reclassification.
    /// @param longWaits whether long work waits; slot time while none waits does not count towards its share
    void recordUse(WorkClass workClass, Duration slotTime, bool longWaits, TimePoint now);

    /// @brief Tells whether long work has had less than its share.
    bool isLongOwed(TimePoint now) const;

    /// @brief Slots that the class of a statement can use.
    /// @param primary index of the primary, or the number of endpoints if none is known
    static AvailableSlots slotsFor(const QueuedStatement &statement, std::span<const EndpointState> endpoints, std::size_t primary);

private:
    bool hasWaited(const QueuedStatement &statement, Duration limit, TimePoint now) const;
    EndpointSet withReserve(std::span<const EndpointState> endpoints, TimePoint now) const;
    static EndpointSet free(WorkClass workClass, bool separatesClasses, std::span<const EndpointState> endpoints);

    template<class Queue, class Places>
    std::optional<Assignment> choose(const Queue &queue, WorkClass workClass, std::span<const EndpointState> endpoints, Places &places, Random &random,
                                     TimePoint now) const
    {
        // Most calls find all slots taken and end before any waiting statement is looked at.
        constexpr bool separatesClasses = Queue::OrderType::separatesClasses;
        const auto open = free(workClass, separatesClasses, endpoints);
        if (open.none()) {
            return std::nullopt;
        }
        const bool isLong = separatesClasses && workClass == WorkClass::Long;
        const auto unreserved = isLong ? open & withReserve(endpoints, now) : open;
        const bool isOwed = isLong && isLongOwed(now);
        // The overflow endpoint is the primary. Reads leave it to the statements that can run nowhere else, as long as
        // they can wait for a replica. The baseline does not look at other statements.
        const bool sparesOverflow = isLong || (separatesClasses && queue.hasWaitingForPrimary(workClass));
        EndpointSet chosen;
        const auto *statement = queue.first(workClass, [&](const QueuedStatement &candidate) {
            const EligibleEndpoints where = places(candidate);
            const bool isImpatient = isLong && (isOwed || hasWaited(candidate, m_options.longPatience, now));
            const auto &usable = isImpatient ? open : unreserved;
            chosen = where.preferred & usable;
            if (chosen.none() && (!sparesOverflow || hasWaited(candidate, Duration::max(), now))) {
                chosen = where.overflow & usable;
            }
            return chosen.any();
        });
        if (statement == nullptr) {
            return std::nullopt;
        }
        const auto endpoint = chooseOfTwo(chosen, endpoints, random);
        return endpoint ? std::optional(Assignment {statement->id, *endpoint}) : std::nullopt;
    }

    SlotScheduleOptions m_options;
    DecayingSum m_longUse;
    DecayingSum m_totalUse; ///< while long work waits
    DecayingSum m_shortUse;
};

} // namespace waxwing
