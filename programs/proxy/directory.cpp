#include "directory.h"

#include "service_spec.h"

#include <waxwing/support/counter.h>
#include <waxwing/support/metrics.h>

#include <utility>
#include <vector>

namespace waxwing
{

namespace
{

void countIgnored(std::string_view reason)
{
    Metrics::instance().counter("waxwing_grants_ignored_total", "reason", reason).add();
}

std::string specOf(const std::map<std::string, wire::ResourceChange, std::less<>> &resources, std::string_view name)
{
    const auto found = resources.find(name);
    return found == resources.end() ? std::string() : found->second.spec_json();
}

} // namespace

Directory::Change Directory::apply(const wire::Grant &grant)
{
    Change change;
    if (grant.control_term() < m_controlTerm) {
        countIgnored("older-control-term");
        change.isStale = true;
        return change;
    }
    applyResources(grant, change);
    applyGroups(grant, change);
    m_controlTerm = grant.control_term();
    for (const auto &peer : grant.peers()) {
        m_peers[peer.proxy()] = peer;
    }
    if (change.config) {
        rebuildServices(change);
    }
    return change;
}

void Directory::applyResources(const wire::Grant &grant, Change &change)
{
    if (grant.config_version() < m_configVersion) {
        countIgnored("older-config");
        return;
    }
    if (grant.config_version() == m_configVersion) {
        return;
    }
    if (grant.config_full()) {
        m_resources.clear();
    }
    for (const auto &resource : grant.resources()) {
        auto &ofKind = m_resources[resource.kind()];
        const auto known = ofKind.find(resource.name());
        // A resource of an equal or lower version is a repetition; a full set has nothing to compare with.
        if (known != ofKind.end() && known->second.version() >= resource.version()) {
            continue;
        }
        ofKind[resource.name()] = resource;
    }
    m_configVersion = grant.config_version();
    change.config = true;
}

void Directory::applyGroups(const wire::Grant &grant, Change &change)
{
    const bool isNewLeader = grant.control_term() > m_controlTerm;
    if (!isNewLeader && grant.directory_version() < m_directoryVersion) {
        countIgnored("older-directory");
        return;
    }
    if (!isNewLeader && grant.directory_version() == m_directoryVersion && !grant.directory_full()) {
        return;
    }
    if (isNewLeader && !grant.directory_full() && grant.groups().empty()) {
        return; // Nothing but a lease; the version of the former leader stays until the new one sends a directory.
    }
    std::set<std::string, std::less<>> named;
    for (const auto &group : grant.groups()) {
        named.insert(group.group());
        auto &known = m_groups[group.group()];
        if (group.term() < known.term()) {
            countIgnored("older-group-term");
            continue;
        }
        if (group.deleted()) {
            m_groups.erase(group.group());
        } else {
            // A control leader that has just taken over sends no members until they have announced themselves again.
            const auto members = std::exchange(*known.mutable_members(), {});
            known = group;
            if (known.members().empty()) {
                *known.mutable_members() = members;
            }
        }
        change.groups.insert(group.group());
    }
    if (grant.directory_full()) {
        std::erase_if(m_groups, [&](const auto &entry) {
            const bool isGone = !named.contains(entry.first);
            if (isGone) {
                change.groups.insert(entry.first);
            }
            return isGone;
        });
    }
    m_directoryVersion = grant.directory_version();
}

void Directory::rebuildServices(Change &change)
{
    const auto former = std::exchange(m_services, {});
    const auto &groups = m_resources["group"];
    const auto &limits = m_resources["limits"];
    const auto &policies = m_resources["policy"];
    for (const auto &[name, resource] : m_resources["service"]) {
        if (resource.deleted()) {
            continue;
        }
        const auto spec = parseServiceSpec(resource.spec_json());
        ServiceView view;
        view.name = name;
        view.group = spec.group;
        view.acknowledgesMajority = spec.acknowledgesMajority;
        view.databasesExpected = parseDatabasesExpected(specOf(groups, spec.group));
        view.limits = parseLimits(specOf(limits, spec.limits));
        view.policy = parsePolicy(specOf(policies, spec.policy));
        m_services.emplace(name, std::move(view));
    }
    for (const auto &[name, view] : m_services) {
        const auto before = former.find(name);
        if (before == former.end() || before->second != view) {
            change.groups.insert(view.group);
        }
    }
}

void Directory::restore(const wire::Grant &stored)
{
    auto change = Change();
    applyResources(stored, change);
    for (auto group : stored.groups()) {
        group.clear_owner();
        m_groups[group.group()] = std::move(group);
    }
    for (const auto &peer : stored.peers()) {
        m_peers[peer.proxy()] = peer;
    }
    rebuildServices(change);
    // The directory is soft state of the control leader: version 0 asks for the whole of it.
    m_directoryVersion = 0;
    m_controlTerm = 0;
}

wire::Grant Directory::full() const
{
    wire::Grant grant;
    grant.set_control_term(m_controlTerm);
    grant.set_config_version(m_configVersion);
    grant.set_config_full(true);
    for (const auto &[kind, resources] : m_resources) {
        for (const auto &[name, resource] : resources) {
            *grant.add_resources() = resource;
        }
    }
    grant.set_directory_version(m_directoryVersion);
    grant.set_directory_full(true);
    for (const auto &[name, group] : m_groups) {
        *grant.add_groups() = group;
    }
    for (const auto &[name, peer] : m_peers) {
        *grant.add_peers() = peer;
    }
    return grant;
}

const ServiceView *Directory::service(std::string_view name) const
{
    const auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : &found->second;
}

const ServiceView *Directory::serviceOfGroup(std::string_view group) const
{
    for (const auto &[name, view] : m_services) {
        if (view.group == group) {
            return &view;
        }
    }
    return nullptr;
}

const wire::GroupDirectory *Directory::group(std::string_view name) const
{
    const auto found = m_groups.find(name);
    return found == m_groups.end() ? nullptr : &found->second;
}

std::string Directory::peerAddress(std::string_view proxy) const
{
    const auto found = m_peers.find(proxy);
    return found == m_peers.end() ? std::string() : found->second.link_address();
}

} // namespace waxwing
