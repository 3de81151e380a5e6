#pragma once

#include <waxwing/support/time.h>

#include <array>
#include <cstddef>

namespace waxwing
{

/// @brief Estimates how long a majority takes to confirm a write, from the latest writes of a group.
class ConfirmationTime
{
public:
    /// @brief Adds the time from the answer of the primary to the confirmation, or to giving up the wait.
    void observe(Duration waited, TimePoint now);

    /// @brief 98th percentile of the latest 64 writes; zero without any.
    Duration estimate() const;

    /// @brief Latest time at which the primary should have run a write, so that it is confirmed by its deadline.
    /// @param deadline when the caller needs the answer
    /// @param now present time
    /// @return @p deadline less the estimate; an estimate older than 2 s takes at most half of the time that is left
    TimePoint runBy(TimePoint deadline, TimePoint now) const;

private:
    static constexpr std::size_t capacity = 64;

    std::array<Duration, capacity> m_latest {};
    std::size_t m_count = 0;
    std::size_t m_next = 0;
    Duration m_estimate {};
    TimePoint m_observedAt = TimePoint::min();
};

} // namespace waxwing
