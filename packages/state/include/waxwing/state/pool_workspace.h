#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace waxwing
{

/// @brief A workspace: callers that share API keys, a rate limit and connections to databases.
struct PoolWorkspace
{
    std::string name; ///< told to databases
    std::vector<std::string> keys; ///< API keys of its callers; secret, never logged and never sent to a database
    int priority = 0; ///< 0 is the highest
    double operationsPerSecond = 0; ///< limit over all proxies; 0 for none
    double burst = 0; ///< operations beyond the rate, over all proxies
};

} // namespace waxwing
