#pragma once

#include <waxwing/support/time.h>

#include <array>
#include <cstddef>

namespace waxwing
{

/// @brief Estimates how long a majority takes to confirm a write, based on the latest writes of a group.
class ConfirmationTime
{
public:
    /// @brief Adds the time from the response of the primary to the confirmation, or to the end of the wait without one.
    void observe(Duration waited, TimePoint now);

    /// @brief 98th percentile of the latest 64 writes; zero if there are none.
    Duration estimate() const;

    /// @brief Latest time by which the primary has to run a write so that it is confirmed by its deadline.
    /// @param deadline deadline of the caller
    /// @return @p deadline less the estimate; an estimate older than 2 s uses at most half of the time left
    TimePoint runBy(TimePoint deadline, TimePoint now) const;

private:
    static constexpr std::size_t maxSamples = 64;

    std::array<Duration, maxSamples> m_latest {};
    std::size_t m_sampleCount = 0;
    std::size_t m_nextIndex = 0;
    Duration m_estimate {};
    TimePoint m_observedAt = TimePoint::min();
};

} // namespace waxwing
