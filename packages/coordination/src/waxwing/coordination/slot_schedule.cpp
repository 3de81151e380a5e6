#include <waxwing/coordination/slot_schedule.h>

namespace waxwing
{

SlotSchedule::SlotSchedule(SlotScheduleOptions options)
    : m_options(options)
    , m_longUse(options.shareHalfLife)
    , m_totalUse(options.shareHalfLife)
{
}

EndpointSet SlotSchedule::free(WorkClass workClass, bool separatesClasses, std::span<const EndpointState> endpoints)
{
    EndpointSet set;
    for (std::size_t i = 0; i < std::min(endpoints.size(), set.size()); ++i) {
        const auto &endpoint = endpoints[i];
        const bool isOpen = !separatesClasses || workClass == WorkClass::Short || endpoint.runningLong < longSlots(endpoint.limit);
        set.set(i, endpoint.hasFreeSlot() && isOpen);
    }
    return set;
}

bool SlotSchedule::isUrgent(const QueuedStatement &statement, TimePoint now) const
{
    const Duration room = statement.deadline - statement.arrivedAt - statement.predictedCost;
    return now - statement.arrivedAt >= room * m_options.patience;
}

void SlotSchedule::recordUse(WorkClass workClass, Duration slotTime, bool longWaits, TimePoint now)
{
    const double seconds = std::chrono::duration<double>(slotTime).count();
    if (workClass == WorkClass::Long) {
        m_longUse.add(seconds, now);
        m_totalUse.add(seconds, now);
    } else if (longWaits) {
        m_totalUse.add(seconds, now);
    }
}

bool SlotSchedule::isLongOwed(TimePoint now) const
{
    return m_longUse.value(now) < m_options.longShare * m_totalUse.value(now);
}

AvailableSlots SlotSchedule::slotsFor(const QueuedStatement &statement, std::span<const EndpointState> endpoints, std::size_t primary)
{
    AvailableSlots slots;
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
        const auto &endpoint = endpoints[i];
        if (!endpoint.isUsable) {
            continue;
        }
        const bool isLong = statement.workClass == WorkClass::Long;
        const auto usable = isLong ? longSlots(endpoint.limit) : endpoint.limit - std::min(endpoint.limit, endpoint.runningLong);
        (i == primary ? slots.onPrimary : slots.onReplicas) += static_cast<double>(usable);
    }
    return slots;
}

} // namespace waxwing
