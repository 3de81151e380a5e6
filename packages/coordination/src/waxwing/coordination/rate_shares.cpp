#include <waxwing/coordination/rate_shares.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace waxwing
{

namespace
{

// A workspace is limited once its demand comes this close to what may run within a window, overage and tolerance included. The rest
// covers operations that run until the proxies have learned of it.
constexpr double limitedPart = 0.85;
// Demand at which a workspace is no longer limited, as a part of the one above; the distance prevents it from alternating.
constexpr double releasedPart = 0.8;
// While a workspace is not limited, a proxy's rate is this many times its demand, so that demand may grow between renewals.
constexpr double headroom = 1.5;
// Rate for a proxy that has sessions of the workspace but no demand, operations a second; less where many proxies have some.
constexpr double presenceRate = 0.5;
// Operations that each proxy may run at once beside its part of the burst.
constexpr double presenceBurst = 2;
// Operations that a proxy may run at once while the demand exceeds what may run.
constexpr unsigned limitedBurst = 3;
// A rate that differs less from its target stays, which spares messages.
constexpr double insignificantPart = 0.1;
// Rate for a workspace without a limit, by far more than one proxy serves.
constexpr double unlimitedRate = 1e6;
constexpr unsigned unlimitedBurst = 1'000'000;
constexpr double maxBurst = 4e9;

} // namespace

double RateShares::Entry::ceiling() const
{
    double highest = confirmed;
    for (const auto &[number, rate] : sent) {
        highest = std::max(highest, rate);
    }
    return highest;
}

double RateShares::Entry::latest() const
{
    return sent.empty() ? confirmed : sent.rbegin()->second;
}

RateShares::RateShares()
    : RateShares(Options())
{
}

RateShares::RateShares(const Options &options)
    : m_options(options)
{
}

void RateShares::reset()
{
    m_incarnations.clear();
    for (auto &[name, workspace] : m_workspaces) {
        workspace.entries.clear();
        workspace.demand = 0;
        workspace.inForce = 0;
        workspace.stated = 0;
        workspace.isLimited = false;
    }
}

void RateShares::setLimits(std::map<std::string, Limit, std::less<>> limits)
{
    for (auto &[name, workspace] : m_workspaces) {
        workspace.isKnown = false;
        workspace.limit = {};
    }
    for (const auto &[name, limit] : limits) {
        auto &workspace = m_workspaces[name];
        workspace.isKnown = true;
        workspace.hasLimit = limit.rate > 0;
        workspace.limit = limit;
    }
    std::erase_if(m_workspaces, [](const auto &item) { return !item.second.isKnown && item.second.entries.empty(); });
}

void RateShares::change(Workspace &workspace, Entry &entry, const std::function<void(Entry &)> &change)
{
    workspace.inForce -= entry.ceiling();
    workspace.demand -= entry.demand;
    change(entry);
    workspace.inForce += entry.ceiling();
    workspace.demand += entry.demand;
}

void RateShares::confirm(Workspace &workspace, Entry &entry, std::uint64_t received)
{
    if (entry.sent.empty() || entry.sent.begin()->first > received) {
        return;
    }
    change(workspace, entry, [received](Entry &confirmed) {
        while (!confirmed.sent.empty() && confirmed.sent.begin()->first <= received) {
            confirmed.confirmed = confirmed.sent.begin()->second;
            confirmed.sent.erase(confirmed.sent.begin());
        }
    });
}

void RateShares::renew(const std::string &proxy, std::uint64_t incarnation, std::uint64_t received, std::span<const RateDemand> demands)
{
    const auto known = m_incarnations.find(proxy);
    const bool isFirst = known == m_incarnations.end();
    if (!isFirst && known->second != incarnation) {
        remove(proxy);
    }
    m_incarnations[proxy] = incarnation;
    std::map<std::string_view, const RateDemand *> stated;
    for (const auto &demand : demands) {
        stated[demand.workspace] = &demand;
        auto &workspace = m_workspaces[demand.workspace];
        auto &entry = workspace.entries[proxy];
        if (isFirst) {
            // An earlier leader granted it, so that it is part of what may be in force.
            change(workspace, entry, [&](Entry &former) { former.confirmed = demand.held; });
            entry.stated = demand.held;
            workspace.stated += demand.held;
        }
    }
    for (auto &[name, workspace] : m_workspaces) {
        const auto entry = workspace.entries.find(proxy);
        if (entry == workspace.entries.end()) {
            continue;
        }
        confirm(workspace, entry->second, received);
        const auto demand = stated.find(name);
        change(workspace, entry->second, [&](Entry &changed) { changed.demand = demand == stated.end() ? 0 : std::max(0.0, demand->second->demand); });
        if (demand == stated.end()) {
            // The proxy has neither sessions nor demand, and holds no rate any more.
            workspace.inForce -= entry->second.ceiling();
            workspace.stated -= entry->second.stated;
            workspace.entries.erase(entry);
        }
    }
}

void RateShares::remove(const std::string &proxy)
{
    m_incarnations.erase(proxy);
    for (auto &[name, workspace] : m_workspaces) {
        const auto entry = workspace.entries.find(proxy);
        if (entry != workspace.entries.end()) {
            workspace.inForce -= entry->second.ceiling();
            workspace.demand -= entry->second.demand;
            workspace.stated -= entry->second.stated;
            workspace.entries.erase(entry);
        }
    }
}

double RateShares::allowed(const Workspace &workspace) const
{
    const double window = std::chrono::duration<double>(m_options.window).count();
    return ((workspace.limit.rate * window + workspace.limit.burst) * (1 + m_options.overage) + m_options.tolerance) / window;
}

double RateShares::limitedRate(const Workspace &workspace, TimePoint now) const
{
    // Within the first window the burst makes up for what ran before the proxies learned of the limitation.
    const bool isFirstWindow = now - workspace.limitedSince < m_options.window;
    return workspace.limit.rate + (isFirstWindow ? 0 : workspace.limit.burst / std::chrono::duration<double>(m_options.window).count());
}

void RateShares::updateLimitation(Workspace &workspace, TimePoint now) const
{
    const double threshold = limitedPart * allowed(workspace);
    if (!workspace.isLimited && workspace.demand > threshold) {
        workspace.isLimited = true;
        workspace.limitedSince = now;
    } else if (workspace.isLimited && workspace.demand < threshold * releasedPart) {
        workspace.isLimited = false;
    }
}

double RateShares::target(const Workspace &workspace, const Entry &entry, TimePoint now) const
{
    if (!workspace.isKnown) {
        return 0;
    }
    if (workspace.isLimited) {
        return limitedRate(workspace, now) * entry.demand / workspace.demand;
    }
    const double window = std::chrono::duration<double>(m_options.window).count();
    const double shared = (workspace.limit.rate + m_options.tolerance / window) / static_cast<double>(workspace.entries.size());
    return std::max(headroom * entry.demand, std::min(presenceRate, shared));
}

unsigned RateShares::burst(const Workspace &workspace, const Entry &entry, TimePoint now) const
{
    if (workspace.isLimited) {
        // While more is asked than may run, tokens don't accumulate; with room for one only, uneven arrivals would waste some.
        return workspace.demand > limitedRate(workspace, now) ? limitedBurst : 1;
    }
    const double part = workspace.demand > 0 ? entry.demand / workspace.demand : 0;
    return static_cast<unsigned>(std::min(maxBurst, presenceBurst + std::floor(workspace.limit.burst * part)));
}

std::vector<RateShare> RateShares::grant(const std::string &proxy, std::uint64_t number, double knownPart, TimePoint now)
{
    const bool complete = knownPart >= 1;
    std::vector<RateShare> shares;
    for (auto &[name, workspace] : m_workspaces) {
        const auto found = workspace.entries.find(proxy);
        if (found == workspace.entries.end()) {
            continue;
        }
        auto &entry = found->second;
        if (workspace.isKnown && !workspace.hasLimit) {
            shares.push_back({name, unlimitedRate, unlimitedBurst, unlimitedBurst, false});
            continue;
        }
        updateLimitation(workspace, now);
        const auto latest = entry.latest();
        const auto ceiling = entry.ceiling();
        auto rate = target(workspace, entry, now);
        if (rate > 0 && std::abs(rate - latest) < latest * insignificantPart && !workspace.isLimited) {
            rate = latest;
        }
        if (workspace.isLimited) {
            // What proxies hold that have not renewed yet counts as in force.
            const double usable = limitedRate(workspace, now);
            const double bound = complete ? usable : std::min(usable, workspace.stated);
            rate = std::max(0.0, std::min(rate, ceiling + std::max(0.0, bound - workspace.inForce)));
        } else if (!complete) {
            // Proxies that have not renewed yet may still use what an earlier leader granted them.
            rate = std::max(latest, std::min(rate, std::max(presenceRate, rate * knownPart)));
        }
        const bool isNew = latest <= 0 && rate > 0;
        if (rate != latest || !entry.sent.empty()) {
            change(workspace, entry, [&](Entry &changed) { changed.sent[number] = rate; });
        }
        if (!workspace.isKnown && entry.ceiling() <= 0) {
            workspace.entries.erase(found);
            continue;
        }
        if (rate > 0) {
            shares.push_back({name, rate, complete ? burst(workspace, entry, now) : 1U, isNew && !workspace.isLimited ? 1U : 0U, workspace.isLimited});
        }
    }
    return shares;
}

double RateShares::inForce(std::string_view workspace) const
{
    const auto found = m_workspaces.find(workspace);
    return found == m_workspaces.end() ? 0 : found->second.inForce;
}

double RateShares::demand(std::string_view workspace) const
{
    const auto found = m_workspaces.find(workspace);
    return found == m_workspaces.end() ? 0 : found->second.demand;
}

} // namespace waxwing
