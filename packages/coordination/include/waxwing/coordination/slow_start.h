#pragma once

#include <waxwing/support/time.h>

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace waxwing
{

struct SlowStartOptions
{
    Duration duration = 5s; ///< time to reach the full limit; zero is the baseline without slow start
};

/// @brief Raises the limit of an endpoint that is new, or usable again, gradually from one statement to its full limit.
///
/// Not applied to the primary, because no other database can run its writes.
class SlowStart
{
public:
    explicit SlowStart(SlowStartOptions options = {})
        : m_options(options)
    {
    }

    /// @brief Starts the increase when the endpoint has become usable.
    void begin(TimePoint now)
    {
        m_startedAt = now;
    }

    /// @brief Current limit.
    /// @param full limit without slow start
    /// @return 1 to @p full
    std::size_t limit(std::size_t full, TimePoint now) const
    {
        if (full == 0 || m_startedAt == TimePoint::min() || now - m_startedAt >= m_options.duration) {
            return full;
        }
        const double fraction = std::chrono::duration<double>(now - m_startedAt) / std::chrono::duration<double>(m_options.duration);
        return std::clamp<std::size_t>(static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(full))), 1, full);
    }

private:
    SlowStartOptions m_options;
    TimePoint m_startedAt = TimePoint::min();
};

} // namespace waxwing
