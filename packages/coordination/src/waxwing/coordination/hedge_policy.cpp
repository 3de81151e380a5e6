#include <waxwing/coordination/hedge_policy.h>

#include <algorithm>

namespace waxwing
{

HedgePolicy::HedgePolicy(HedgeOptions options)
    : m_options(options)
{
}

std::optional<TimePoint> HedgePolicy::hedgeAt(const RunningStatement &statement) const
{
    // Long reads are not hedged, because a second attempt would double the most expensive work.
    if (!statement.isRead || statement.inTransaction || statement.workClass == WorkClass::Long || statement.attempts != 1) {
        return std::nullopt;
    }
    const auto stuckAfter = std::chrono::duration_cast<Duration>(statement.predictedCost * m_options.factor);
    const auto hedgeTime = statement.startedAt + std::max(stuckAfter, m_options.minDelay);
    if (hedgeTime + statement.predictedCost >= statement.deadline) {
        return std::nullopt;
    }
    return hedgeTime;
}

} // namespace waxwing
