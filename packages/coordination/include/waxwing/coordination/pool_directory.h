#pragma once

#include <waxwing/support/time.h>
#include <waxwing/wire/sessions.pb.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace waxwing
{

/// @brief Databases known from their heartbeats. The control leader keeps them in memory only.
class PoolDirectory
{
public:
    struct Options
    {
        /// Time without a heartbeat after which a database is removed. It spans several heartbeats, so that a lost one
        /// has no effect. A failed database is detected sooner by its connections.
        Duration expiry = 8s;
        /// Most databases of one service, and of all. Heartbeats of others are not applied, so that a writer with ever new ids
        /// can't exhaust the memory of control, or that of the proxies that receive the directory.
        std::size_t maxPerService = 128;
        std::size_t maxDatabases = 16'384;
    };

    struct Entry
    {
        wire::PoolMember member;
        TimePoint lastHeartbeat;
    };

    PoolDirectory();
    explicit PoolDirectory(const Options &options);

    /// @brief Tells whether a database is known, takes over the address of a known one, or there is room for one more of its service.
    bool hasRoomFor(const wire::PoolMember &member) const;

    /// @brief Applies a heartbeat of a database for which there is room. One of an earlier incarnation, or with a lower or equal sequence number, is ignored.
    /// @return true if anything but the sequence number changed
    bool applyHeartbeat(const wire::PoolMember &member, TimePoint now);

    /// @brief Removes a database that has deregistered.
    /// @return true if it was known
    bool deregister(std::string_view id);

    /// @brief Removes databases whose heartbeats have stopped.
    /// @return their last entries
    std::vector<Entry> expire(TimePoint now);

    /// @brief Removes all databases, and the record of those that have deregistered.
    void clear();

    /// @brief Finds a database.
    /// @return the entry, or null if the database is not known
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
    std::map<std::string, std::uint64_t, std::less<>> m_deregistered; ///< incarnation of each database that has deregistered, by id
};

} // namespace waxwing
