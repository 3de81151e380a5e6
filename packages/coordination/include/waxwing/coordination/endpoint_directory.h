#pragma once

#include <waxwing/support/time.h>
#include <waxwing/wire/waxwing.pb.h>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace waxwing
{

/// @brief Endpoints known from their announcements. Kept in memory only; a new control leader starts without any.
class EndpointDirectory
{
public:
    /// @brief Timeouts of the directory.
    struct Options
    {
        Duration expiry = 5s; ///< time without an announcement after which an endpoint is removed
        /// Time for which an announcement that contradicts the known state is ignored as reordered. Endpoints announce every
        /// second through several proxies, each of which may delay an announcement by a renewal interval (400 ms).
        Duration reorderWindow = 1'500ms;
    };

    /// @brief One announced endpoint.
    struct Member
    {
        wire::Announcement announcement;
        TimePoint lastSeen;
    };

    using Members = std::map<std::string, Member, std::less<>>;

    EndpointDirectory();
    explicit EndpointDirectory(const Options &options);

    /// @brief Applies an announcement.
    /// @return true if anything but the position changed
    bool announce(const wire::Announcement &announcement, TimePoint now);

    /// @brief Removes the endpoints whose announcements have stopped.
    /// @return names of the groups from which endpoints were removed
    std::vector<std::string> expire(TimePoint now);

    /// @brief Endpoints of a group, by database name; null if there are none.
    const Members *members(std::string_view group) const;

    /// @brief Finds an endpoint; null if it is not known.
    const Member *member(std::string_view group, std::string_view database) const;

    /// @brief Removes all endpoints.
    void clear();

private:
    Options m_options;
    std::map<std::string, Members, std::less<>> m_groups;
};

} // namespace waxwing
