#pragma once

#include <chrono>

namespace waxwing
{

/// Monotonic clock of this process. Its time points are never compared between VMs.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = std::chrono::nanoseconds;

using namespace std::chrono_literals;

/// @brief Converts a duration to whole milliseconds, rounding towards zero.
/// @param duration any duration
/// @return milliseconds
inline std::chrono::milliseconds toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

} // namespace waxwing
