#pragma once

#include <waxwing/support/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace waxwing::wire
{
class Evidence;
}

namespace waxwing
{

/// @brief Proxy that is live, and where it is.
struct LiveProxy
{
    std::string proxy;
    std::string failureDomain;
};

/// @brief Decides from the evidence of proxies whether a primary has failed.
class FailureDetector
{
public:
    /// @brief Times of the detector.
    struct Options
    {
        Duration evidenceAge = 1s; ///< older evidence does not count; a proxy repeats it in each renewal (400 ms)
        /// Endpoints announce every second, and a proxy may hold an announcement back for one renewal interval.
        Duration announcementSilence = 1'500ms;
    };

    /// @brief Primary to be judged.
    struct Primary
    {
        std::string_view group;
        std::string_view database;
        std::uint64_t term = 0;
        std::optional<TimePoint> lastAnnouncement; ///< nothing if no announcement is known
    };

    FailureDetector();
    explicit FailureDetector(const Options &options);

    /// @brief Replaces the evidence of one proxy.
    /// @param proxy name of the proxy
    /// @param failureDomain failure domain of the proxy
    /// @param evidence all primaries that the proxy can't reach
    /// @param now time of receipt
    void report(const std::string &proxy, const std::string &failureDomain, std::span<const wire::Evidence *const> evidence, TimePoint now);

    /// @brief Decides whether a primary counts as failed.
    ///
    /// It does if proxies in two failure domains can't reach it (all proxies, if the live ones are in one domain), and
    /// its announcements have stopped or as many proxies find its connections refused. One domain alone may be cut
    /// off itself.
    /// @param primary primary of the current term
    /// @param live live proxies
    bool suspects(const Primary &primary, std::span<const LiveProxy> live, TimePoint now) const;

    /// @brief Tells whether any proxy reported the primary of a group.
    bool hasEvidence(std::string_view group) const
    {
        return m_byGroup.contains(group);
    }

    /// @brief Forgets all evidence.
    void clear();

private:
    struct Entry
    {
        std::string failureDomain;
        std::string database;
        std::uint64_t term = 0;
        bool refused = false;
        TimePoint at;
    };

    bool isConfirmed(const Primary &primary, std::span<const LiveProxy> live, TimePoint now, bool refusedOnly) const;

    Options m_options;
    std::map<std::string, std::map<std::string, Entry>, std::less<>> m_byGroup; ///< group, proxy
    std::map<std::string, std::vector<std::string>> m_reported; ///< proxy, groups
};

} // namespace waxwing
