#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace waxwing
{

/// @brief What a simulated run did and found.
struct LogSimulationResult
{
    std::string violation; ///< first violated property with the simulated time, empty if all held
    std::map<std::string, std::uint64_t> counts; ///< faults and events by kind, to show that each kind occurred
};

/// @brief Settings of a simulated run.
struct LogSimulationOptions
{
    std::uint64_t seed = 1;
    bool trace = false; ///< print each event to standard error
    bool open = false; ///< members join from any address, and are stopped, wiped, replaced and return
};

/// @brief Runs members of a replicated log with simulated time, network, disks and faults, and checks the properties of
/// the log after each event: election safety, log matching, leader completeness, state machine safety, no acknowledged
/// command lost, no stale read under a lease; and progress after all faults have ended. In open logs it also checks that the
/// voters bear the required losses, as far as the running members allow, 5 s after the last fault, and then stay the same.
///
/// The seed determines the whole run.
LogSimulationResult simulateLog(const LogSimulationOptions &options);

} // namespace waxwing
