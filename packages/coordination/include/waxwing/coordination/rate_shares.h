#pragma once

#include <waxwing/coordination/rate_demand.h>
#include <waxwing/coordination/rate_share.h>
#include <waxwing/support/time.h>

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace waxwing
{

/// @brief Divides the rate limits of workspaces among the proxies; used by the leader of control. No I/O.
///
/// While the demand for a workspace is well below its limit, each proxy holds more than its demand, so that callers who move between
/// proxies are served at once. Once the demand comes close to what the limit allows, the rates in force together never exceed rate and burst:
/// a rate that was lowered counts until its proxy has confirmed the grant, was replaced by a new process, or has lost its lease.
/// Answers the load of a workspace that sends many times its usual.
class RateShares
{
public:
    struct Options
    {
        double tolerance = 20; ///< operations beyond rate and burst that may run within a window
        double overage = 0.1; ///< share of rate and burst that may run beyond them within a window
        Duration window = std::chrono::seconds(5);
    };

    /// Limit of a workspace, over all proxies.
    struct Limit
    {
        double rate = 0; ///< operations a second
        double burst = 0; ///< operations
    };

    RateShares();
    explicit RateShares(const Options &options);

    /// @brief Starts a leadership, which does not know yet what earlier leaders granted.
    void reset();

    /// @brief Sets the limits of a configuration. Workspaces without a limit are granted what they ask for.
    void setLimits(std::map<std::string, Limit, std::less<>> limits);

    /// @brief Records what a proxy states in a renewal.
    /// @param incarnation process of the proxy; the rates of an earlier one have ended
    /// @param received number of the highest grant of this leadership that the proxy has received
    void renew(const std::string &proxy, std::uint64_t incarnation, std::uint64_t received, std::span<const RateDemand> demands);

    /// @brief Frees the rates of a proxy whose lease has ended.
    void remove(const std::string &proxy);

    /// @brief Computes the rates of a proxy for a grant.
    /// @param number of the grant; numbers of a leadership grow
    /// @param knownPart part of the proxies that may hold rates that has renewed with this leader; 1 for all of them
    std::vector<RateShare> grant(const std::string &proxy, std::uint64_t number, double knownPart, TimePoint now);

    /// @brief Sum of the rates of a workspace that may be in force, for logs and tests.
    double inForce(std::string_view workspace) const;

    /// @brief Sum of the demand for a workspace.
    double demand(std::string_view workspace) const;

private:
    /// Rate of one workspace at one proxy.
    struct Entry
    {
        double demand = 0;
        double confirmed = 0; ///< in force as far as the proxy has told
        double stated = 0; ///< part of Workspace::stated
        std::map<std::uint64_t, double> sent; ///< by number of the grant, not confirmed yet

        double ceiling() const;
        double latest() const;
    };

    struct Workspace
    {
        Limit limit;
        bool isKnown = false; ///< the configuration has it
        bool hasLimit = false;
        std::map<std::string, Entry, std::less<>> entries; ///< by proxy
        double demand = 0; ///< sum over the entries
        double inForce = 0; ///< sum of the ceilings
        double stated = 0; ///< sum of what proxies held when they first renewed with this leader
        bool isLimited = false; ///< the demand is close to what may run
        TimePoint limitedSince;
    };

    static void change(Workspace &workspace, Entry &entry, const std::function<void(Entry &)> &change);
    void confirm(Workspace &workspace, Entry &entry, std::uint64_t received);
    /// Operations a second that may run, averaged over a window, with overage and tolerance.
    double allowed(const Workspace &workspace) const;
    /// Operations a second over all proxies while the workspace is limited: rate and burst, spread over a window.
    double limitedRate(const Workspace &workspace, TimePoint now) const;
    void updateLimitation(Workspace &workspace, TimePoint now) const;
    double target(const Workspace &workspace, const Entry &entry, TimePoint now) const;
    unsigned burst(const Workspace &workspace, const Entry &entry, TimePoint now) const;

    Options m_options;
    std::map<std::string, Workspace, std::less<>> m_workspaces;
    std::map<std::string, std::uint64_t, std::less<>> m_incarnations; ///< by proxy that has renewed
};

} // namespace waxwing
