#pragma once

#include <waxwing/coordination/endpoint_directory.h>
#include <waxwing/coordination/failure_detector.h>
#include <waxwing/coordination/lease_table.h>
#include <waxwing/state/config_machine.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace waxwing::control
{

/// @brief What the control leader knows of one proxy from its renewals.
struct ProxySession
{
    std::uint64_t incarnation = 0;
    std::string failureDomain;
    std::string linkAddress;
    std::string callerAddress;
    std::uint64_t configVersion = 0; ///< in effect on the proxy
    std::uint64_t directoryVersion = 0; ///< in effect on the proxy
    std::uint64_t sentConfigVersion = 0;
    std::uint64_t sentDirectoryVersion = 0;
    bool granted = false; ///< this leader has sent it a grant
    bool draining = false;
    bool registering = false; ///< its registration is under way
    std::set<std::string, std::less<>> owned; ///< groups that it considers its own
    TimePoint lastRenewal;
};

/// @brief Replicated and soft state of the control leader.
struct ControlState
{
    const ConfigMachine &machine;
    LeaseTable leases;
    EndpointDirectory directory;
    FailureDetector detector;
    std::map<std::string, ProxySession, std::less<>> sessions;
    std::map<std::string, std::size_t, std::less<>> groups; ///< groups of the configuration, with databases expected

    /// @brief Proxies that hold a lease of this leader.
    std::vector<LiveProxy> liveProxies(TimePoint now) const;

    /// @brief Databases of a group, present or not; a majority is counted of these.
    std::size_t groupSize(std::string_view group) const;

    /// @brief Failure domain of a database; empty if unknown.
    std::string failureDomain(std::string_view group, std::string_view database) const;
};

} // namespace waxwing::control
