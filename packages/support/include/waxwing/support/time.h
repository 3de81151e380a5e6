#pragma once

#include <chrono>
#include <ctime>

namespace waxwing
{

using Duration = std::chrono::nanoseconds;

/// @brief Monotonic clock that also counts while the machine is suspended (`CLOCK_BOOTTIME`), so that a lease ends on time
/// after a suspension. Its time points are never compared between VMs.
struct Clock
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<Clock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): name fixed by the standard library

    /// @brief Reads the clock.
    static time_point now() noexcept
    {
        timespec time {};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
    }
};

using TimePoint = Clock::time_point;

using namespace std::chrono_literals;

/// @brief Converts a duration to whole milliseconds, rounding towards zero.
/// @param duration any duration
/// @return milliseconds
inline std::chrono::milliseconds toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

} // namespace waxwing
