#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace waxwing
{

/// @brief Live proxy that may own a group.
struct OwnerCandidate
{
    std::string proxy;
    std::uint64_t incarnation = 0;
    std::string failureDomain;
};

/// @brief Chooses the owner of a group by rendezvous hashing, so that the loss of a proxy moves only the groups it owned.
/// Proxies in the failure domain of the primary are preferred.
/// @param group name of the group
/// @param primaryDomain failure domain of the primary; empty if unknown
/// @param candidates live proxies that are not draining
/// @return index of the chosen candidate, or nothing without candidates
std::optional<std::size_t> chooseOwner(std::string_view group, std::string_view primaryDomain, std::span<const OwnerCandidate> candidates);

} // namespace waxwing
