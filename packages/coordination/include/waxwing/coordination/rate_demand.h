#pragma once

#include <string>

namespace waxwing
{

/// @brief Operations of a workspace at one proxy.
struct RateDemand
{
    std::string workspace;
    double demand = 0; ///< operations a second that arrive, refused ones included
    double held = 0; ///< rate in force at the proxy, operations a second
};

} // namespace waxwing
