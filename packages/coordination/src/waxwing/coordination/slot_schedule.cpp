#include <waxwing/coordination/slot_schedule.h>

#include <cmath>
#include <numbers>

namespace waxwing
{

SlotSchedule::SlotSchedule(SlotScheduleOptions options)
    : m_options(options)
    , m_longUse(options.shareHalfLife)
    , m_totalUse(options.shareHalfLife)
    , m_shortUse(options.shareHalfLife)
{
}

EndpointSet SlotSchedule::endpointsWithFreeSlot(WorkClass workClass, bool separatesClasses, std::span<const EndpointState> endpoints)
{
    EndpointSet set;
    for (std::size_t i = 0; i < std::min(endpoints.size(), set.size()); ++i) {
        const auto &endpoint = endpoints[i];
        const bool allowsClass = !separatesClasses || workClass == WorkClass::Short || endpoint.runningLong < longSlots(endpoint.limit);
        set.set(i, endpoint.hasFreeSlot() && allowsClass);
    }
    return set;
}

bool SlotSchedule::hasWaitedFor(const QueuedStatement &statement, Duration limit, TimePoint now) const
{
    const Duration slack = statement.deadline - statement.arrivedAt - statement.predictedCost;
    return now - statement.arrivedAt >= std::min(limit, std::chrono::duration_cast<Duration>(slack * m_options.urgentWaitFraction));
}

EndpointSet SlotSchedule::withShortReserve(std::span<const EndpointState> endpoints, TimePoint now) const
{
    const auto usable = std::count_if(endpoints.begin(), endpoints.end(), [](const EndpointState &endpoint) { return endpoint.isUsable; });
    // Under a constant load, a decaying sum of slot time converges to load * half-life / ln 2.
    const double steadyStateFactor = std::chrono::duration<double>(m_options.shareHalfLife).count() / std::numbers::ln2;
    const double load = m_shortUse.value(now) / steadyStateFactor / static_cast<double>(std::max<std::ptrdiff_t>(usable, 1));
    const double reserve = load + m_options.shortReserveFactor * std::sqrt(load);
    EndpointSet set;
    for (std::size_t i = 0; i < std::min(endpoints.size(), set.size()); ++i) {
        const auto &endpoint = endpoints[i];
        set.set(i, static_cast<double>(endpoint.limit) >= static_cast<double>(endpoint.runningLong) + 1.0 + reserve);
    }
    return set;
}

void SlotSchedule::recordUse(WorkClass workClass, Duration slotTime, bool longWaits, TimePoint now)
{
    const double seconds = std::chrono::duration<double>(slotTime).count();
    if (workClass == WorkClass::Long) {
        m_longUse.add(seconds, now);
        m_totalUse.add(seconds, now);
        return;
    }
    m_shortUse.add(seconds, now);
    if (longWaits) {
        m_totalUse.add(seconds, now);
    }
}

bool SlotSchedule::isLongBelowShare(TimePoint now) const
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
