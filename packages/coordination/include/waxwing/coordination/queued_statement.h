#pragma once

#include <waxwing/coordination/work_class.h>
#include <waxwing/support/time.h>

#include <cstdint>
#include <string>

namespace waxwing
{

/// @brief Statement that waits for a slot, as admission and scheduling see it.
struct QueuedStatement
{
    std::uint64_t id = 0;
    WorkClass workClass = WorkClass::Short;
    bool requiresPrimary = false; ///< writes, and reads that only the primary may serve
    std::string caller {};
    double weight = 1.0; ///< value of finishing in time, depends on the operation
    Duration predictedCost = 2ms; ///< time for which it is expected to hold a slot
    TimePoint arrivedAt {};
    TimePoint deadline {};

    /// @brief Value per second of slot time.
    double density() const
    {
        const double seconds = std::chrono::duration<double>(predictedCost).count();
        return weight / (seconds > 1e-6 ? seconds : 1e-6);
    }
};

} // namespace waxwing
