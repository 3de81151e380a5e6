#pragma once

#include <waxwing/support/time.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace waxwing
{

/// @brief Duration of leases, and the clock drift that the control leader allows for.
struct LeaseOptions
{
    Duration lease = 1'200ms; ///< granted duration; at the proxy it runs from when the renewal was sent
    unsigned driftPercent = 5; ///< largest difference between the rates of two clocks

    /// @brief Time from the sending of a grant after which the leader may assume that the lease has ended.
    Duration guard() const
    {
        return lease + lease * driftPercent / 100;
    }
};

/// @brief One incarnation of a proxy.
struct ProxyIncarnation
{
    std::string proxy;
    std::uint64_t incarnation = 0;

    auto operator<=>(const ProxyIncarnation &) const = default;
};

/// @brief Leases that the control leader granted to proxies, or that an earlier leader may have granted.
class LeaseTable
{
public:
    explicit LeaseTable(const LeaseOptions &options = {});

    /// @brief Removes all leases. Call it when leadership is gained, before assume().
    void clear();

    /// @brief Adds a lease that an earlier leader may have granted up to now.
    void assume(const ProxyIncarnation &holder, TimePoint now);

    /// @brief Grants or extends a lease.
    /// @param holder proxy and incarnation that renews the lease
    /// @param now time taken before the grant is sent
    /// @return false while another incarnation of the proxy may still hold a lease
    bool grant(const ProxyIncarnation &holder, TimePoint now);

    /// @brief Returns whether this incarnation may still hold a lease.
    bool mayHold(const ProxyIncarnation &holder, TimePoint now) const;

    /// @brief Returns whether this leader granted the lease and it has not ended.
    bool isLive(const ProxyIncarnation &holder, TimePoint now) const;

    /// @brief Removes the leases that have ended.
    /// @return the former holders
    std::vector<ProxyIncarnation> takeEnded(TimePoint now);

    /// @brief Time by which the lease of the proxy has ended by any clock; the epoch of the clock if there is no lease.
    TimePoint end(const ProxyIncarnation &holder) const;

private:
    struct Lease
    {
        std::uint64_t incarnation = 0;
        TimePoint end;
        bool assumed = false;
    };

    const Lease *find(const ProxyIncarnation &holder) const;

    LeaseOptions m_options;
    std::map<std::string, Lease, std::less<>> m_leases;
};

} // namespace waxwing
