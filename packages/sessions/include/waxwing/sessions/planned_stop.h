#pragma once

#include <waxwing/support/time.h>

#include <optional>

namespace waxwing
{

class SessionServer;

/// @brief Steps of a planned stop: the load balancer takes the process out, sessions end, the listening socket closes.
class PlannedStop
{
public:
    /// The load balancer asks once a second and takes a process out after two misses.
    static constexpr Duration balancerRemovalTime = std::chrono::milliseconds(2300);

    /// @param server outlives the stop
    /// @param limit the process is killed this long after the stop was asked for
    PlannedStop(SessionServer &server, Duration limit);

    /// @brief Begins the stop.
    void begin(TimePoint now);

    bool isBegun() const
    {
        return m_begunAt.has_value();
    }

    /// @brief Goes on with the stop; call it every few tens of milliseconds.
    /// @return true when the process may end
    bool advance(TimePoint now);

private:
    SessionServer &m_server;
    Duration m_limit;
    std::optional<TimePoint> m_begunAt;
    std::optional<TimePoint> m_lastCallers; ///< when the listening socket was closed
    bool m_refuses = false; ///< statements are refused unless they can be sent at once
    bool m_cutNoted = false; ///< the log tells of sessions that the stop cuts
};

} // namespace waxwing
