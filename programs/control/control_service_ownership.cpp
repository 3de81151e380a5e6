#include "control_service.h"

#include <waxwing/support/counter.h>
#include <waxwing/support/log.h>
#include <waxwing/support/metrics.h>

#include <algorithm>
#include <utility>

namespace waxwing::control
{

void ControlService::assignOwners()
{
    const auto now = m_ports.now();
    m_lastAssignment = now;
    m_assignmentNeeded = false;
    std::vector<OwnerCandidate> candidates;
    for (const auto &[name, session] : m_state.sessions) {
        if (!session.draining && m_state.leases.isLive({name, session.incarnation}, now)) {
            candidates.push_back({name, session.incarnation, session.failureDomain});
        }
    }
    Metrics::instance().gauge("waxwing_control_live_proxies").set(static_cast<std::int64_t>(candidates.size()));
    wire::ConfigCommand command;
    auto &changes = *command.mutable_assign_owners();
    for (const auto &[group, expected] : m_state.groups) {
        assignOwnerIfNeeded(group, candidates, changes);
    }
    if (changes.changes().empty() || m_assignmentRunning) {
        return;
    }
    for (const auto &change : changes.changes()) {
        log::write(log::Level::Info, "assigning owner", {{"group", change.group()}, {"owner", change.owner()}, {"epoch", change.expected_epoch() + 1}});
    }
    m_assignmentRunning = true;
    propose(std::move(command), [this](bool) { m_assignmentRunning = false; });
}

void ControlService::assignOwnerIfNeeded(const std::string &group, const std::vector<OwnerCandidate> &candidates, wire::AssignOwners &changes)
{
    const auto now = m_ports.now();
    const auto *record = m_state.machine.group(group);
    bool holderHasLease = false;
    if (record != nullptr) {
        releaseHolders(group, *record);
        const auto session = m_state.sessions.find(record->owner());
        const bool ownerIsDraining
            = session != m_state.sessions.end() && session->second.incarnation == record->owner_incarnation() && session->second.draining;
        if (m_state.leases.mayHold({record->owner(), record->owner_incarnation()}, now) && !ownerIsDraining) {
            return;
        }
        holderHasLease = std::any_of(record->holders().begin(), record->holders().end(), [&](const wire::Holder &holder) {
            return m_state.leases.mayHold({holder.proxy(), holder.incarnation()}, now);
        });
    }
    // A new leader waits until every proxy had time to renew its lease; otherwise the first one would be assigned all groups.
    if (now - m_activeSince < m_options.lease.guard()) {
        return;
    }
    const auto domain = record == nullptr ? std::string() : m_state.failureDomain(group, record->primary());
    const auto chosen = chooseOwner(group, domain, candidates);
    if (!chosen) {
        return;
    }
    auto &change = *changes.add_changes();
    change.set_group(group);
    change.set_expected_epoch(record == nullptr ? 0 : record->owner_epoch());
    change.set_owner(candidates[*chosen].proxy);
    change.set_incarnation(candidates[*chosen].incarnation);
    change.set_keep_holders(holderHasLease);
}

void ControlService::releaseHolders(const std::string &group, const wire::GroupRecord &record)
{
    const auto now = m_ports.now();
    for (const auto &holder : record.holders()) {
        if (holder.owner_epoch() == record.owner_epoch()) {
            continue;
        }
        const auto session = m_state.sessions.find(holder.proxy());
        // Only a renewal sent after the change of owner reached the holder counts; an earlier one may have been sent before
        // the holder received the group.
        const bool hasReleased = session != m_state.sessions.end() && session->second.incarnation == holder.incarnation()
            && session->second.directoryVersion >= m_publisher.ownerVersion(group) && !session->second.owned.contains(group);
        if (!hasReleased && m_state.leases.mayHold({holder.proxy(), holder.incarnation()}, now)) {
            continue;
        }
        if (!m_pendingReleases.emplace(group, holder.owner_epoch()).second) {
            continue;
        }
        wire::ConfigCommand command;
        auto &release = *command.mutable_release_holder();
        release.set_group(group);
        release.set_proxy(holder.proxy());
        release.set_incarnation(holder.incarnation());
        release.set_owner_epoch(holder.owner_epoch());
        propose(std::move(command), [this, key = std::pair(group, holder.owner_epoch())](bool) { m_pendingReleases.erase(key); });
        return; // the proposal may have changed the record that is iterated
    }
}

void ControlService::removeExpiredProxies()
{
    const auto now = m_ports.now();
    if (now - m_lastRemoval < 1s) {
        return;
    }
    m_lastRemoval = now;
    std::vector<std::pair<std::string, std::uint64_t>> expired;
    for (const auto &[name, proxy] : m_state.machine.proxies()) {
        const auto &lastLive = m_lastLiveTimes.try_emplace(name, now).first->second;
        if (now - lastLive >= m_options.proxyRetention && expired.size() < m_options.maxRemovalsPerSecond) {
            expired.emplace_back(name, proxy.incarnation());
        }
    }
    for (const auto &[name, incarnation] : expired) {
        m_lastLiveTimes.erase(name);
        m_state.sessions.erase(name);
        wire::ConfigCommand command;
        command.mutable_remove_proxy()->set_proxy(name);
        command.mutable_remove_proxy()->set_incarnation(incarnation);
        propose(std::move(command), [](bool) {});
    }
}

} // namespace waxwing::control
