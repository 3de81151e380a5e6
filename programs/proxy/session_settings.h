#pragma once

#include <waxwing/sessions/session_resources.h>
#include <waxwing/support/log.h>
#include <waxwing/support/time.h>

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace waxwing
{

/// @brief Settings of a proxy that serves sessions, from its TOML file.
struct SessionSettings
{
    std::string name; ///< unique among the proxies
    std::string failureDomain;
    std::map<std::string, std::string> regions; ///< region by failure domain
    std::string callerListen; ///< IP:port for sessions
    std::string readyListen; ///< IP:port for the load balancer's question
    std::string metricsListen; ///< IP:port for metrics; none when empty
    std::vector<std::string> seeds; ///< IP:port of control processes
    std::size_t linkPort = 0; ///< port of the link on every control VM
    std::string linkListen; ///< IP:port on which other proxies reach this one; it holds no connections for them when empty
    std::string keyFile; ///< CURVE keys; empty for an unencrypted link
    log::Level logLevel = log::Level::Info;
    std::size_t maxSessions = 3'500;
    SessionLimits limits; ///< on what clients make the proxy hold
    std::size_t warmConnections = 2;
    std::size_t connectionLimit = 12;
    Duration stopLimit = 6s; ///< the process is killed this long after SIGTERM
    Duration drainLimit = 7s; ///< a database takes new statements for this long after it said that it leaves
    bool replacedPrimaryStops = false; ///< a primary stops at the moment in which another database is promoted
    std::vector<std::string> errors; ///< one sentence each, with file and line

    /// @brief Reads and checks a settings file.
    static SessionSettings load(const std::string &path);
};

} // namespace waxwing
