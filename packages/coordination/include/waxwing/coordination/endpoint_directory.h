#pragma once

#include <waxwing/support/time.h>
#include <waxwing/wire/waxwing.pb.h>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace waxwing
{

/// @brief Endpoints as they announce themselves; soft state that a new control leader collects anew.
class EndpointDirectory
{
public:
    /// @brief Times of the directory.
    struct Options
    {
        Duration expiry = 5s; ///< an endpoint that is silent for this long is removed
        /// An announcement that contradicts a newer state is ignored for this long: announcements pass through
        /// several proxies, which delay them by up to one renewal interval (400 ms) beside the interval of 1 s.
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

    /// @brief Takes one announcement.
    /// @return whether something other than the position changed
    bool announce(const wire::Announcement &announcement, TimePoint now);

    /// @brief Removes the endpoints that have been silent for too long.
    /// @return groups that changed
    std::vector<std::string> expire(TimePoint now);

    /// @brief Endpoints of a group by database name; null if there are none.
    const Members *members(std::string_view group) const;

    /// @brief Finds one endpoint; null if there is none.
    const Member *member(std::string_view group, std::string_view database) const;

    /// @brief Forgets all endpoints.
    void clear();

private:
    Options m_options;
    std::map<std::string, Members, std::less<>> m_groups;
};

} // namespace waxwing
