#pragma once

#include <waxwing/support/time.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace waxwing
{

/// @brief Lease times as the control leader and the proxies measure them.
struct LeaseOptions
{
    Duration lease = 1'200ms; ///< as granted; the proxy counts from when it sent the renewal
    unsigned driftPercent = 5; ///< largest difference between the rates of two clocks

    /// @brief Time after which the leader may rely on the end of a lease, from when it sent the grant.
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

/// @brief Leases of proxies as the control leader granted them, or must assume that an earlier leader did.
class LeaseTable
{
public:
    explicit LeaseTable(const LeaseOptions &options = {});

    /// @brief Forgets all leases; called when leadership is gained, before assume().
    void clear();

    /// @brief Assumes that an earlier leader granted a lease just now.
    void assume(const ProxyIncarnation &holder, TimePoint now);

    /// @brief Grants or extends a lease.
    /// @param holder proxy and incarnation that renews
    /// @param now time before the grant is sent
    /// @return false while another incarnation of the proxy may still hold a lease
    bool grant(const ProxyIncarnation &holder, TimePoint now);

    /// @brief Tells whether this incarnation may still hold a lease.
    bool mayHold(const ProxyIncarnation &holder, TimePoint now) const;

    /// @brief Tells whether the proxy renewed its lease with this leader and the lease has not ended.
    bool isLive(const ProxyIncarnation &holder, TimePoint now) const;

    /// @brief Removes the leases that have ended.
    /// @return their holders
    std::vector<ProxyIncarnation> takeEnded(TimePoint now);

    /// @brief Time at which the lease of the proxy certainly has ended; the epoch of the clock without a lease.
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
