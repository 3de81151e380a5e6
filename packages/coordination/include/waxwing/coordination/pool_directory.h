#pragma once

#include <waxwing/support/time.h>
#include <waxwing/wire/sessions.pb.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace waxwing
{

/// @brief Databases as their heartbeats describe them; soft state of the control leader.
class PoolDirectory
{
public:
    struct Options
    {
        /// Silence after which a database is removed: several heartbeats, so that lost ones do not matter. Connections
        /// show a failed database sooner.
        Duration expiry = 8s;
    };

    struct Entry
    {
        wire::PoolMember member;
        TimePoint lastHeartbeat;
    };

    PoolDirectory();
    explicit PoolDirectory(const Options &options);

    /// @brief Takes a heartbeat. An overtaken one, of an earlier incarnation or with a lower sequence, is ignored.
    /// @return true if something other than the sequence changed
    bool applyHeartbeat(const wire::PoolMember &member, TimePoint now);

    /// @brief Takes a database's word that it is gone.
    /// @return true if it was known
    bool deregister(std::string_view id);

    /// @brief Removes databases that are silent.
    /// @return what was known of them
    std::vector<Entry> expire(TimePoint now);

    /// @brief Forgets everything.
    void clear();

    /// @brief Finds a database.
    /// @return the entry, or null
    const Entry *find(std::string_view id) const;

    /// @brief All databases by id.
    const std::map<std::string, Entry, std::less<>> &entries() const
    {
        return m_entries;
    }

    /// @brief Databases of one service.
    std::vector<const Entry *> members(std::string_view service) const;

private:
    Options m_options;
    std::map<std::string, Entry, std::less<>> m_entries;
    std::map<std::string, std::uint64_t, std::less<>> m_left; ///< id and incarnation of databases that have deregistered
};

} // namespace waxwing
