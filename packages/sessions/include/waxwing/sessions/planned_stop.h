#pragma once

#include <waxwing/support/time.h>

#include <optional>

namespace waxwing
{

class SessionServer;

/// @brief Sequence of a planned stop: the load balancer removes the process, sessions end, the listening socket is closed.
class PlannedStop
{
public:
    /// Time that the load balancer needs to remove a process: it checks once a second and removes it after two failed checks.
    static constexpr Duration balancerRemovalTime = std::chrono::milliseconds(2300);

    /// @param server outlives the stop
    /// @param limit the process is killed this long after the stop was requested
    PlannedStop(SessionServer &server, Duration limit);

    /// @brief Begins the stop.
    void begin(TimePoint now);

    bool isBegun() const
    {
        return m_begunAt.has_value();
    }

    /// @brief Performs the steps whose time has come; call it every few tens of milliseconds.
    /// @return true once the process may exit
    bool advance(TimePoint now);

private:
    SessionServer &m_server;
    Duration m_limit;
    std::optional<TimePoint> m_begunAt;
    std::optional<TimePoint> m_stoppedAcceptingAt; ///< time at which the listening socket was closed
    bool m_refusing = false; ///< statements are refused unless they can be sent immediately
    bool m_cutLogged = false; ///< the log line about cut sessions was written
};

} // namespace waxwing
