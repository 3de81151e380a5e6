#pragma once

#include <waxwing/support/log.h>
#include <waxwing/support/time.h>

#include <cstddef>
#include <string>
#include <vector>

namespace waxwing::control
{

/// @brief Settings of a member of control for deployments that serve sessions, from its TOML file.
struct SessionControlSettings
{
    std::string name; ///< unique among the members; sent to the platform with promotion orders
    std::string failureDomain;
    std::string httpListen; ///< IP:port for operators and databases
    std::string linkListen; ///< IP:port on which the link listens
    std::string announcedLink; ///< IP:port under which proxies and other members reach the link; the port is the same on every member
    std::string metricsListen; ///< IP:port for metrics; none when empty
    std::string dataFolder;
    std::vector<std::string> seeds; ///< HTTP addresses of members
    bool mayForm = false; ///< this member may form a new cluster: the system starts for the first time
    std::string platformAddress; ///< IP:port of the platform that carries out promotions; none when empty
    Duration heartbeat = 1'200ms; ///< interval of the databases' heartbeats
    bool ordersAreFenced = false; ///< the platform refuses a promotion order with a lower token than one that it has seen
    Duration lateOrderLimit = 15s; ///< without fencing: longest time from sending an order until the platform carries it out
    double rateLimitTolerance = 20; ///< operations of a workspace beyond its limit that may run within a window
    Duration rateLimitWindow = 5s; ///< see rateLimitTolerance
    std::size_t lossesToBear = 1; ///< members that may be lost at the same time
    std::size_t memoryMb = 256; ///< memory of the VM in MiB; an eighth may hold HTTP requests and answers
    std::size_t maxHttpConnections = 1'000; ///< connections at `http`; at most half of the descriptors that the process may open
    std::string keyFile; ///< CURVE keys; empty for an unencrypted link
    log::Level logLevel = log::Level::Info;
    std::vector<std::string> errors; ///< one sentence each, with file and line

    /// @brief Reads and checks a settings file.
    static SessionControlSettings load(const std::string &path);

    /// @brief Link address of the member with an HTTP address.
    std::string linkOf(std::string_view httpAddress) const;

    /// @brief HTTP address of the member with a link address.
    std::string httpOf(std::string_view linkAddress) const;
};

} // namespace waxwing::control
