#pragma once

#include <waxwing/coordination/term_position.h>
#include <waxwing/support/time.h>

#include <deque>
#include <optional>

namespace waxwing
{

/// @brief Positions that a primary reported under a valid lease, with the time of each request. A replica that has reached
/// a position has every commit that was acknowledged before the time of that request.
class PositionHistory
{
public:
    /// @brief Adds a position.
    /// @param requestedAt when the request was sent, which is before the primary read its position
    void add(const TermPosition &position, TimePoint requestedAt);

    /// @brief Position that a replica must have reached to be fresh enough.
    /// @param notBefore time before which the replica must have every acknowledged commit
    /// @return nothing if no position is recent enough
    std::optional<TermPosition> proof(TimePoint notBefore) const;

    /// @brief Time of the latest request; nothing if there are no positions.
    std::optional<TimePoint> newest() const;

private:
    struct Sample
    {
        TermPosition position;
        TimePoint requestedAt;
    };

    std::deque<Sample> m_samples; ///< ordered by time
};

} // namespace waxwing
