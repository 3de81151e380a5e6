#pragma once

#include "service_view.h"

#include <waxwing/wire/waxwing.pb.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace waxwing
{

/// @brief Configuration and directory that this proxy has received from control. Versions only rise.
class Directory
{
public:
    /// @brief What a grant changed.
    struct Change
    {
        bool config = false;
        std::set<std::string, std::less<>> groups; ///< groups whose directory or configuration changed
        bool isStale = false; ///< the grant is of an older leader and was ignored
    };

    /// @brief Takes over the changes of a grant. Anything that is not newer is ignored.
    Change apply(const wire::Grant &grant);

    /// @brief Takes over what was stored before a restart. Owners are not restored: ownership requires a new grant.
    void restore(const wire::Grant &stored);

    /// @brief All that is known, as a full grant, for storage.
    wire::Grant full() const;

    /// @brief Configuration of a service; nullptr if it does not exist.
    const ServiceView *service(std::string_view name) const;

    /// @brief First service of a group by name; its limits and policy apply to the queue of the group.
    const ServiceView *serviceOfGroup(std::string_view group) const;

    /// @brief Directory of a group; nullptr if it is not known.
    const wire::GroupDirectory *group(std::string_view name) const;

    /// @brief All groups known.
    const std::map<std::string, wire::GroupDirectory, std::less<>> &groups() const
    {
        return m_groups;
    }

    /// @brief Link address of a proxy; empty if it is not known.
    std::string peerAddress(std::string_view proxy) const;

    std::uint64_t configVersion() const
    {
        return m_configVersion;
    }

    std::uint64_t directoryVersion() const
    {
        return m_directoryVersion;
    }

    /// @brief Highest term of a control leader seen.
    std::uint64_t controlTerm() const
    {
        return m_controlTerm;
    }

private:
    void applyResources(const wire::Grant &grant, Change &change);
    void applyGroups(const wire::Grant &grant, Change &change);
    void rebuildServices(Change &change);

    std::uint64_t m_configVersion = 0;
    std::uint64_t m_directoryVersion = 0;
    std::uint64_t m_controlTerm = 0;
    std::map<std::string, std::map<std::string, wire::ResourceChange, std::less<>>, std::less<>> m_resources; // by kind and name
    std::map<std::string, wire::GroupDirectory, std::less<>> m_groups;
    std::map<std::string, wire::Peer, std::less<>> m_peers;
    std::map<std::string, ServiceView, std::less<>> m_services;
};

} // namespace waxwing
