#pragma once

#include <waxwing/support/time.h>

#include <cstddef>
#include <map>
#include <string>

namespace waxwing
{

/// @brief Limits of a service, from its `limits` resource.
struct ServiceLimits
{
    std::size_t slots = 0; ///< 0 for as many as the endpoint announces
    std::size_t connections = 0; ///< 0 for as many as the endpoint announces
    std::size_t queueLength = 1'000;
    Duration transactionIdle = 10s;
    double callerShare = 0.5;

    bool operator==(const ServiceLimits &) const = default;
};

/// @brief Policy of a service, from its `policy` resource.
struct ServicePolicy
{
    bool readsReplicas = true;
    bool hasClasses = true;
    bool hasRetryBudget = true;
    bool predictsDeadlines = true;
    bool adaptsConcurrency = true;
    std::map<std::string, double, std::less<>> weights; ///< by operation; 1 for others
    double longShare = 0.2;

    bool operator==(const ServicePolicy &) const = default;
};

/// @brief Configuration in force for one service.
struct ServiceView
{
    std::string name;
    std::string group;
    bool acknowledgesMajority = true;
    std::size_t databasesExpected = 3; ///< members of the group by configuration
    ServiceLimits limits;
    ServicePolicy policy;

    bool operator==(const ServiceView &) const = default;
};

} // namespace waxwing
