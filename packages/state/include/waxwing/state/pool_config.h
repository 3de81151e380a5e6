#pragma once

#include <waxwing/state/pool_route.h>
#include <waxwing/state/pool_service.h>
#include <waxwing/support/time.h>

#include <cstdint>
#include <map>
#include <string>

namespace waxwing
{

/// @brief The operator's configuration, decoded.
struct PoolConfig
{
    std::uint64_t version = 0;
    std::map<std::string, PoolRoute, std::less<>> routes; ///< by database name
    std::map<std::string, PoolService, std::less<>> services; ///< by name
    Duration transactionIdle {}; ///< an open transaction that is idle for longer may be ended; zero for no limit
};

} // namespace waxwing
