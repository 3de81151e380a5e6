#pragma once

#include <waxwing/support/time.h>

#include <optional>

namespace waxwing
{

/// @brief Interruption of something that returns by itself, such as the primary of a service; predicts its end from earlier ones.
class Interruption
{
public:
    /// @param usual assumed duration before the first interruption has ended
    explicit Interruption(Duration usual)
        : m_usual(usual)
    {
    }

    /// @brief Records that the interruption has begun, unless it goes on already.
    void begin(TimePoint now)
    {
        if (!m_since) {
            m_since = now;
        }
    }

    /// @brief Records the end of the interruption, if one goes on, and learns from its duration.
    void end(TimePoint now);

    /// @brief Records that there was no interruption after all.
    void cancel()
    {
        m_since.reset();
    }

    bool isGoingOn() const
    {
        return m_since.has_value();
    }

    /// @brief Expected time until the end: what is left of the usual duration, and at least half of the time that has passed, since an
    /// interruption that exceeds the usual duration has an unusual cause.
    /// @return the usual duration if no interruption goes on
    Duration expectedRest(TimePoint now) const;

private:
    std::optional<TimePoint> m_since;
    Duration m_usual; ///< moving average
};

} // namespace waxwing
