#pragma once

#include <waxwing/coordination/epoch_lease.h>
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

/// @brief Proxies that hold a lease of this leader of control.
class SessionLeases
{
public:
    struct Options
    {
        /// Three renewals of 400 ms and an election of 600 ms fit, so that a change of control's leader ends no lease.
        Duration lease = 2s;
        unsigned driftPercent = 5; ///< largest difference between the rates of two clocks
        Duration acknowledgementGrace = EpochLease::acknowledgementGrace; ///< commits are acknowledged for this long after a lease
    };

    struct Proxy
    {
        std::uint64_t incarnation = 0;
        std::uint64_t configVersion = 0; ///< in force there, or on its way
        std::uint64_t directoryVersion = 0; ///< in force there, or on its way
        std::string link; ///< IP:port for other proxies; empty if it takes no statements of others
        std::string failureDomain;
        bool draining = false;
        std::uint32_t demand = 0; ///< sessions and statements a second
        TimePoint end; ///< its lease has ended at this time on every clock
    };

    SessionLeases();
    explicit SessionLeases(const Options &options);

    /// @brief Starts a leadership.
    /// @param recorded proxies that may hold a lease of an earlier leader; if empty, nothing is known of such leases
    void reset(TimePoint now, std::set<std::string, std::less<>> recorded);

    /// @brief Takes note of a renewal, before it is granted. A new proxy counts as one that may hold a lease from now on.
    Proxy &renew(const wire::PoolRenewal &renewal, TimePoint now);

    /// @brief Takes note that a lease is granted now.
    void grant(std::string_view proxy, TimePoint now);

    /// @brief Part of the connections to each database that a proxy may hold, by its demand. Callers are spread unevenly, and
    /// equal shares would starve the only proxy of a failure domain.
    /// @return thousandths, at least 1
    std::uint32_t share(const Proxy &proxy) const;

    /// @brief Forgets proxies whose leases have ended.
    /// @return their names
    std::vector<std::string> expire(TimePoint now);

    /// @brief Tells whether proxies() lists every proxy that may hold a lease: those of earlier leaders have asked this one,
    /// or their leases have ended.
    bool isComplete(TimePoint now) const
    {
        return now >= m_completeAt || (m_known && m_expected.empty());
    }

    /// @brief Time since which only proxies that hold a lease of this leader acknowledge commits.
    TimePoint acknowledgedElsewhereUntil() const
    {
        return m_elsewhereUntil;
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
    Duration guard() const
    {
        return m_options.lease + m_options.lease * m_options.driftPercent / 100;
    }

    Options m_options;
    std::map<std::string, Proxy, std::less<>> m_proxies;
    std::set<std::string, std::less<>> m_expected; ///< may hold a lease of an earlier leader and have not asked this one
    bool m_known = false; ///< earlier leaders recorded their proxies
    TimePoint m_completeAt;
    TimePoint m_elsewhereUntil;
};

} // namespace waxwing::control
