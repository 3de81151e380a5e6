#pragma once

#include "service_view.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace waxwing
{

/// @brief Fields of a `service` resource.
struct ServiceSpec
{
    std::string group;
    bool acknowledgesMajority = true;
    std::string limits;
    std::string policy;
};

/// The specs below come from control, which has validated them; what is missing or malformed yields the default.

/// @brief Reads the spec of a service.
ServiceSpec parseServiceSpec(std::string_view json);

/// @brief Reads the number of databases that a group has by configuration.
std::size_t parseDatabasesExpected(std::string_view json);

/// @brief Reads limits.
ServiceLimits parseLimits(std::string_view json);

/// @brief Reads a policy.
ServicePolicy parsePolicy(std::string_view json);

} // namespace waxwing
