#include <waxwing/coordination/rate_shares.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace waxwing
{

namespace
{

// Part of a limit that stays with the leader, for proxies whose demand rises before others have given theirs back.
constexpr double reservePart = 0.1;
// A share is at most this many times the demand, so that a small demand does not hold the whole limit.
constexpr double maxHeadroom = 4;
// A share that differs less from its target stays, which spares messages.
constexpr double insignificantPart = 0.1;
// Part of the tolerance that is added to the bursts; credits use the rest.
constexpr double burstTolerancePart = 0.6;
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
        workspace.credit = 0;
        workspace.creditAt = {};
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
            workspace.entries.erase(entry);
        }
    }
}

double RateShares::target(const Workspace &workspace, const Entry &entry) const
{
    if (entry.demand <= 0 || !workspace.isKnown) {
        return 0;
    }
    const auto &limit = workspace.limit;
    if (workspace.demand > limit.rate * (1 - reservePart)) {
        return entry.demand * limit.rate / std::max(workspace.demand, limit.rate);
    }
    return entry.demand * std::min(maxHeadroom, limit.rate * (1 - reservePart) / workspace.demand);
}

unsigned RateShares::takeCredit(Workspace &workspace, TimePoint now) const
{
    const double window = std::chrono::duration<double>(m_options.window).count();
    const double perWindow = m_options.overage * (workspace.limit.rate * window + workspace.limit.burst) + m_options.tolerance * (1 - burstTolerancePart);
    const double capacity = perWindow / 2; // with as much again that accrues within a window
    const double elapsed = workspace.creditAt == TimePoint() ? window : std::chrono::duration<double>(now - workspace.creditAt).count();
    workspace.credit = std::min(capacity, workspace.credit + capacity * elapsed / window);
    workspace.creditAt = now;
    if (workspace.credit < 1) {
        return 0;
    }
    workspace.credit -= 1;
    return 1;
}

bool RateShares::hasRoomForBurst(const Workspace &workspace) const
{
    const auto holders = std::count_if(workspace.entries.begin(), workspace.entries.end(), [](const auto &item) { return item.second.ceiling() > 0; });
    return static_cast<double>(holders) + 1 <= workspace.limit.burst + m_options.tolerance * burstTolerancePart;
}

unsigned RateShares::burst(const Workspace &workspace, double rate) const
{
    const double total = workspace.limit.burst + m_options.tolerance * burstTolerancePart;
    const auto proxies = static_cast<double>(workspace.entries.size());
    const double shared = std::max(0.0, total - proxies) * rate / workspace.limit.rate;
    return static_cast<unsigned>(std::min(maxBurst, 1 + std::floor(shared)));
}

std::vector<RateShare> RateShares::grant(const std::string &proxy, std::uint64_t number, bool complete, TimePoint now)
{
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
        auto wanted = target(workspace, entry);
        const auto latest = entry.latest();
        if (wanted > 0 && std::abs(wanted - latest) < latest * insignificantPart && workspace.inForce <= workspace.limit.rate) {
            wanted = latest;
        }
        // The reserve is for proxies that hold less than their demand. What proxies hold that have not renewed yet counts as in force.
        const double ceiling = entry.ceiling();
        const double usable = workspace.limit.rate * (ceiling < entry.demand ? 1 : 1 - reservePart);
        const double bound = complete ? usable : std::min(usable, workspace.stated);
        double rate = std::max(0.0, std::min(wanted, ceiling + std::max(0.0, bound - workspace.inForce)));
        const bool isNew = latest <= 0 && rate > 0;
        if (isNew && !hasRoomForBurst(workspace)) {
            rate = 0;
        }
        if (rate != latest || !entry.sent.empty()) {
            change(workspace, entry, [&](Entry &changed) { changed.sent[number] = rate; });
        }
        if (rate <= 0) {
            if (entry.demand <= 0 && entry.ceiling() <= 0) {
                workspace.entries.erase(found);
            }
            continue;
        }
        shares.push_back({name, rate, burst(workspace, rate), isNew ? takeCredit(workspace, now) : 0U, workspace.demand > workspace.limit.rate});
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
