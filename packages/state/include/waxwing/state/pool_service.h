#pragma once

#include <cstdint>
#include <string>

namespace waxwing
{

/// @brief A service: one group of databases.
struct PoolService
{
    std::string name;
    std::uint32_t maxConnections = 0; ///< to one database, from all proxies together
    std::uint32_t syncReplicas = 0; ///< replicas that hold a commit before it is acknowledged
};

} // namespace waxwing
