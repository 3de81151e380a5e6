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
    /// Minimum fraction of the slot time that long work gets while it waits.
    double longShare = 0.2;
    /// Half-life of the decaying sums of slot time that measure the share.
    Duration shareHalfLife = 2s;
    /// Fraction of its possible wait after which a statement counts as urgent.
    double urgentWaitFraction = 0.5;
    /// Wait after which long work counts as urgent and may use slots reserved for short work, if this is earlier.
    Duration maxLongWait = 1200ms;
    /// Slots reserved for short work are its load plus this factor times the square root of the load (square-root staffing).
    double shortReserveFactor = 1.0;
};

/// @brief Endpoints on which a statement may run. Overflow endpoints are used if no preferred one has a free slot.
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

/// @brief Maximum number of slots of an endpoint that long work may occupy.
/// @param limit statements that may run at a time
constexpr std::size_t longSlots(std::size_t limit)
{
    // One slot is left to short work; with a single slot, long work could otherwise never run.
    return limit > 1 ? limit - 1 : limit;
}

/// @brief Decides which waiting statement goes to which endpoint.
class SlotSchedule
{
public:
    explicit SlotSchedule(SlotScheduleOptions options = {});

    /// @brief Chooses the next statement to start.
    /// @param queue waiting statements; the caller removes the chosen one
    /// @param eligible callable that returns the current EligibleEndpoints of a QueuedStatement
    /// @return nothing if no statement can start
    template<class Queue, class Eligible>
    std::optional<Assignment> next(const Queue &queue, std::span<const EndpointState> endpoints, Eligible eligible, Random &random, TimePoint now) const
    {
        if constexpr (!Queue::OrderType::separatesClasses) {
            return choose(queue, WorkClass::Short, endpoints, eligible, random, now);
        }
        std::array classes {WorkClass::Short, WorkClass::Long};
        if (isLongBelowShare(now)) {
            std::swap(classes[0], classes[1]);
        }
        for (const auto workClass : classes) {
            if (const auto assignment = choose(queue, workClass, endpoints, eligible, random, now)) {
                return assignment;
            }
        }
        return std::nullopt;
    }

    /// @brief Adds slot time that a statement used; called when it finishes and, for long work, at each reclassification.
    /// @param longWaits whether long work is waiting; slot time does not count towards its share while none is waiting
    void recordUse(WorkClass workClass, Duration slotTime, bool longWaits, TimePoint now);

    /// @brief Returns whether long work has had less than its share of the slot time.
    bool isLongBelowShare(TimePoint now) const;

    /// @brief Number of slots that the class of a statement can use.
    /// @param primary index of the primary, or the number of endpoints if none is known
    static AvailableSlots slotsFor(const QueuedStatement &statement, std::span<const EndpointState> endpoints, std::size_t primary);

private:
    bool hasWaitedFor(const QueuedStatement &statement, Duration limit, TimePoint now) const;
    EndpointSet withShortReserve(std::span<const EndpointState> endpoints, TimePoint now) const;
    static EndpointSet endpointsWithFreeSlot(WorkClass workClass, bool separatesClasses, std::span<const EndpointState> endpoints);

    template<class Queue, class Eligible>
    std::optional<Assignment> choose(const Queue &queue, WorkClass workClass, std::span<const EndpointState> endpoints, Eligible &eligible, Random &random,
                                     TimePoint now) const
    {
        // In most calls all slots are taken, and no waiting statement needs to be examined.
        constexpr bool separatesClasses = Queue::OrderType::separatesClasses;
        const auto available = endpointsWithFreeSlot(workClass, separatesClasses, endpoints);
        if (available.none()) {
            return std::nullopt;
        }
        const bool isLong = separatesClasses && workClass == WorkClass::Long;
        const auto unreserved = isLong ? available & withShortReserve(endpoints, now) : available;
        const bool isBelowShare = isLong && isLongBelowShare(now);
        // The overflow endpoint is the primary. Reads leave its slots to statements that only it can run, until the reads
        // are urgent. The baseline does not consider other statements.
        const bool avoidsOverflow = isLong || (separatesClasses && queue.hasWaitingForPrimary(workClass));
        EndpointSet chosen;
        const auto *statement = queue.first(workClass, [&](const QueuedStatement &candidate) {
            const EligibleEndpoints candidateEndpoints = eligible(candidate);
            const bool isUrgent = isLong && (isBelowShare || hasWaitedFor(candidate, m_options.maxLongWait, now));
            const auto &usable = isUrgent ? available : unreserved;
            chosen = candidateEndpoints.preferred & usable;
            if (chosen.none() && (!avoidsOverflow || hasWaitedFor(candidate, Duration::max(), now))) {
                chosen = candidateEndpoints.overflow & usable;
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
    DecayingSum m_totalUse; ///< of both classes, while long work is waiting
    DecayingSum m_shortUse;
};

} // namespace waxwing
