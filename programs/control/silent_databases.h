#pragma once

#include <waxwing/coordination/pool_directory.h>

#include <functional>
#include <map>
#include <string>

namespace waxwing::control
{

/// @brief Databases of a service that were removed from the directory without having announced that they leave. They may hold commits
/// that the others lack.
class SilentDatabases
{
public:
    /// A database without heartbeats for this long holds no commits that the others lack: replicas receive commits within a second.
    static constexpr Duration retention = 60s;

    /// @brief Adds a database, and drops those that are kept no longer.
    void add(const PoolDirectory::Entry &entry, TimePoint now)
    {
        std::erase_if(m_entries, [now](const auto &item) { return now - item.second.lastHeartbeat >= retention; });
        m_entries[entry.member.id()] = entry;
    }

    /// @brief The databases by id; some may have been silent for longer than the retention.
    const std::map<std::string, PoolDirectory::Entry, std::less<>> &entries() const
    {
        return m_entries;
    }

private:
    std::map<std::string, PoolDirectory::Entry, std::less<>> m_entries;
};

} // namespace waxwing::control
