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

/// @brief Live proxy and its failure domain.
struct LiveProxy
{
    std::string proxy;
    std::string failureDomain;
};

/// @brief Decides whether a primary has failed, based on the connection failures that proxies report.
class FailureDetector
{
public:
    /// @brief Timeouts of the detector.
    struct Options
    {
        Duration maxEvidenceAge = 1s; ///< older reports do not count; a proxy repeats them in each renewal (every 400 ms)
        /// Time without an announcement after which a primary counts as silent. Endpoints announce every second, and a
        /// proxy may delay an announcement by one renewal interval (400 ms).
        Duration announcementTimeout = 1'500ms;
    };

    /// @brief Primary to check.
    struct Primary
    {
        std::string_view group;
        std::string_view database;
        std::uint64_t term = 0;
        std::optional<TimePoint> lastAnnouncement; ///< nothing if no announcement was received
    };

    FailureDetector();
    explicit FailureDetector(const Options &options);

    /// @brief Replaces the reports of one proxy.
    /// @param proxy name of the proxy
    /// @param failureDomain failure domain of the proxy
    /// @param evidence one report for each primary that the proxy can't reach
    /// @param now time of receipt
    void report(const std::string &proxy, const std::string &failureDomain, std::span<const wire::Evidence *const> evidence, TimePoint now);

    /// @brief Decides whether a primary counts as failed.
    ///
    /// It does if proxies in two failure domains can't reach it, and either its announcements have stopped or proxies in two
    /// failure domains have their connections refused. A single domain is not enough, since it may itself be cut off from
    /// the network. If all live proxies are in one domain, all of them have to report the primary instead.
    /// @param primary primary of the current term
    /// @param live live proxies
    bool suspects(const Primary &primary, std::span<const LiveProxy> live, TimePoint now) const;

    /// @brief Returns whether any proxy has reported the primary of a group.
    bool hasEvidence(std::string_view group) const
    {
        return m_reportsByGroup.contains(group);
    }

    /// @brief Removes all reports.
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
    std::map<std::string, std::map<std::string, Entry>, std::less<>> m_reportsByGroup; ///< by group and proxy
    std::map<std::string, std::vector<std::string>> m_groupsByProxy; ///< groups that each proxy has reported
};

} // namespace waxwing
