#pragma once

#include <bitset>
#include <cstddef>
#include <span>
#include <string>

namespace waxwing
{

/// Maximum number of databases in a group.
inline constexpr std::size_t maxGroupMembers = 16;

/// Set of databases of a group, by their index in the list of endpoints.
using EndpointSet = std::bitset<maxGroupMembers>;

/// @brief State of one database of a group, as scheduling and routing see it.
struct EndpointState
{
    std::string name {};
    bool isUsable = false; ///< announced, connected, neither leaving nor ejected
    std::size_t running = 0; ///< statements that occupy a slot
    std::size_t limit = 0; ///< statements that may run at a time at present; at most the number of slots
    std::size_t runningLong = 0; ///< running statements of class long

    /// @brief Returns whether another statement may start.
    bool hasFreeSlot() const
    {
        return isUsable && running < limit;
    }

    /// @brief Fraction of the limit that is in use; at least 1 if no statement may start because of the limit.
    double load() const
    {
        return limit == 0 ? 1.0 : static_cast<double>(running) / static_cast<double>(limit);
    }
};

/// @brief Members of @p set that have a free slot.
inline EndpointSet withFreeSlot(EndpointSet set, std::span<const EndpointState> endpoints)
{
    for (std::size_t i = 0; i < set.size(); ++i) {
        if (set.test(i) && (i >= endpoints.size() || !endpoints[i].hasFreeSlot())) {
            set.reset(i);
        }
    }
    return set;
}

} // namespace waxwing
