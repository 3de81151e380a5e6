#pragma once

#include <waxwing/wire/waxwing.pb.h>

#include <cstdint>
#include <map>
#include <string>

namespace waxwing
{

/// @brief Announcements of endpoints that this proxy received and control has not confirmed yet.
class AnnouncementBook
{
public:
    /// @brief Takes an announcement.
    /// @return whether something other than the position changed since the last one, so that control must know at once
    bool add(const wire::Announcement &announcement);

    /// @brief Adds what control has not confirmed to a renewal.
    void fill(wire::Renewal &renewal);

    /// @brief Notes that control has received a renewal.
    void confirm(std::uint64_t sequence);

    /// @brief Latest announcement of each database.
    const std::map<std::string, wire::Announcement, std::less<>> &latest() const
    {
        return m_latest;
    }

private:
    // Databases that ever announced themselves here; an installation has a few per group.
    static constexpr std::size_t maxDatabases = 100'000;

    std::map<std::string, wire::Announcement, std::less<>> m_latest;
    std::map<std::string, std::uint64_t, std::less<>> m_pending; // database to the renewal that carried it, 0 for none
};

} // namespace waxwing
