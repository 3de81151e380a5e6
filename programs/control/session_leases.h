#pragma once

#include "content_delivery.h"

#include <waxwing/support/time.h>
#include <waxwing/wire/sessions.pb.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace waxwing::control
{

/// @brief Registry of the proxies that hold a lease granted by this leader of control.
class SessionLeases
{
public:
    struct Options
    {
        /// Covers three renewals of 400 ms and an election of 600 ms, so that no lease ends when the leader of control changes.
        Duration lease = 2s;
        unsigned driftPercent = 5; ///< largest difference between the rates of two clocks
    };

    struct Proxy
    {
        std::uint64_t incarnation = 0;
        ContentDelivery configuration;
        bool takesCompressed = false; ///< it understands a compressed configuration
        std::uint64_t directoryVersion = 0; ///< in force at the proxy, or already sent to it
        std::uint64_t contentHash = 0; ///< of the directory in force at the proxy; 0 if unknown
        std::uint64_t databasesHash = 0; ///< of the same without holders
        bool takesChanges = false; ///< it understands compressed directories and changes of directories
        std::string link; ///< IP:port for other proxies; empty if it accepts no forwarded statements
        std::string failureDomain;
        bool draining = false;
        std::uint32_t demand = 0; ///< sessions and statements a second
        TimePoint end; ///< its lease has ended by then, whatever the drift of its clock
    };

    SessionLeases();
    explicit SessionLeases(const Options &options);

    /// @brief Starts a leadership.
    /// @param recorded proxies that may hold a lease of an earlier leader; empty if earlier leaders recorded none, so that any
    /// proxy may hold one
    void reset(TimePoint now, std::set<std::string, std::less<>> recorded);

    /// @brief Records a renewal request before it is granted. From then on, a new proxy is treated as holding a lease.
    Proxy &renew(const wire::PoolRenewal &renewal, TimePoint now);

    /// @brief Records that a lease is granted now.
    void grant(std::string_view proxy, TimePoint now);

    /// @brief Share of the connections to each database that a proxy may hold. It depends on demand, because callers are
    /// spread unevenly and equal shares would starve the only proxy of a failure domain.
    /// @return thousandths, at least 1
    std::uint32_t share(const Proxy &proxy) const;

    /// @brief Removes proxies whose leases have ended.
    /// @return their names
    std::vector<std::string> expire(TimePoint now);

    /// @brief Returns whether proxies() lists every proxy that may hold a lease: all proxies with leases of earlier leaders have
    /// renewed with this one, or those leases have ended.
    bool isComplete(TimePoint now) const
    {
        return now >= m_completeAt || (m_recordsAvailable && m_expectedProxies.empty());
    }

    /// @brief Part of the proxies that may hold a lease that proxies() lists; 1 once isComplete().
    double knownPart(TimePoint now) const
    {
        if (isComplete(now) || m_expectedProxies.empty()) {
            return isComplete(now) ? 1 : 0; // without records nothing tells how many there are
        }
        const auto known = static_cast<double>(m_proxies.size());
        return known / (known + static_cast<double>(m_expectedProxies.size()));
    }

    /// @brief Time until which proxies whose acknowledgements are unknown to this leader may have acknowledged commits: under leases of
    /// earlier leaders, or before their leases ended or their processes were started again.
    TimePoint unleasedAcknowledgementsUntil() const
    {
        return m_unleasedAcknowledgementsUntil;
    }

    /// @brief Number that changes whenever a proxy comes, goes, or states another link, failure domain or planned stop.
    std::uint64_t changes() const
    {
        return m_changes;
    }

    /// @brief Proxies that may hold a lease.
    std::map<std::string, Proxy, std::less<>> &proxies()
    {
        return m_proxies;
    }

    const std::map<std::string, Proxy, std::less<>> &proxies() const
    {
        return m_proxies;
    }

    const Options &options() const
    {
        return m_options;
    }

private:
    Duration leaseDurationWithDrift() const
    {
        return m_options.lease + m_options.lease * m_options.driftPercent / 100;
    }

    Options m_options;
    std::map<std::string, Proxy, std::less<>> m_proxies;
    std::set<std::string, std::less<>> m_expectedProxies; ///< may hold a lease of an earlier leader and have not renewed with this one
    std::uint64_t m_changes = 0;
    std::uint64_t m_totalDemand = 0; ///< of all proxies
    bool m_recordsAvailable = false; ///< earlier leaders recorded their proxies
    TimePoint m_completeAt;
    TimePoint m_unleasedAcknowledgementsUntil;
};

} // namespace waxwing::control
