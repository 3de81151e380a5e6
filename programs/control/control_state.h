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

/// @brief State of one proxy as reported by its renewals to the control leader.
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
    bool granted = false; ///< this leader has sent a grant to it
    bool draining = false;
    bool registering = false; ///< its registration has been proposed to the config log
    std::set<std::string, std::less<>> owned; ///< groups that the proxy reports as owned
    TimePoint lastRenewal;
};

/// @brief State of the control leader: the replicated machine, and state rebuilt from renewals after a change of leader.
struct ControlState
{
    const ConfigMachine &machine;
    LeaseTable leases;
    EndpointDirectory directory;
    FailureDetector detector;
    std::map<std::string, ProxySession, std::less<>> sessions;
    std::map<std::string, std::size_t, std::less<>> groups; ///< configured groups with their expected number of databases

    /// @brief Proxies that hold a lease of this leader.
    std::vector<LiveProxy> liveProxies(TimePoint now) const;

    /// @brief Number of databases of a group from which majorities are computed, including absent ones.
    std::size_t groupSize(std::string_view group) const;

    /// @brief Failure domain of a database; empty if unknown.
    std::string failureDomain(std::string_view group, std::string_view database) const;
};

} // namespace waxwing::control
