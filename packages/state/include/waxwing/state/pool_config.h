#pragma once

#include <waxwing/state/pool_route.h>
#include <waxwing/state/pool_service.h>
#include <waxwing/state/pool_workspace.h>
#include <waxwing/support/string_hash.h>
#include <waxwing/support/time.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

namespace waxwing
{

/// @brief The operator's configuration, decoded.
struct PoolConfig
{
    std::uint64_t version = 0;
    std::map<std::string, PoolRoute, std::less<>> routes; ///< by database name
    std::map<std::string, PoolService, std::less<>> services; ///< by name
    bool hasWorkspaces = false; ///< callers are identified by their keys; without workspaces, everybody may use every route
    std::map<std::string, PoolWorkspace, std::less<>> workspaces; ///< by name
    std::unordered_map<std::string, std::string, StringHash, std::equal_to<>> workspaceOfKey; ///< name of the workspace by key
    Duration transactionIdle {}; ///< an open transaction that is idle for longer may be ended; zero for no limit

    /// @brief Finds the workspace that a key belongs to.
    /// @return null if no workspace has the key
    const PoolWorkspace *findWorkspaceByKey(std::string_view key) const
    {
        const auto name = workspaceOfKey.find(key);
        return name == workspaceOfKey.end() ? nullptr : &workspaces.at(name->second);
    }
};

} // namespace waxwing
