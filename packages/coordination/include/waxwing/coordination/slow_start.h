#pragma once

#include <waxwing/support/time.h>

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace waxwing
{

struct SlowStartOptions
{
    Duration duration = 5s; ///< zero is the baseline: the full limit at once
};

/// @brief Raises the limit of an endpoint that is new, or returns, from one statement at a time to its full limit.
///
/// Not applied to the primary, which no other database can relieve of writes.
class SlowStart
{
public:
    explicit SlowStart(SlowStartOptions options = {})
        : m_options(options)
    {
    }

    /// @brief Notes that the endpoint became usable.
    void begin(TimePoint now)
    {
        m_startedAt = now;
    }

    /// @brief Limit now.
    /// @param full limit without slow start
    /// @return 1 to @p full
    std::size_t limit(std::size_t full, TimePoint now) const
    {
        if (full == 0 || m_startedAt == TimePoint::min() || now - m_startedAt >= m_options.duration) {
            return full;
        }
        const double part = std::chrono::duration<double>(now - m_startedAt) / std::chrono::duration<double>(m_options.duration);
        return std::clamp<std::size_t>(static_cast<std::size_t>(std::ceil(part * static_cast<double>(full))), 1, full);
    }

private:
    SlowStartOptions m_options;
    TimePoint m_startedAt = TimePoint::min();
};

} // namespace waxwing
