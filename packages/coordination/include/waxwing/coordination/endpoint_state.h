#pragma once

#include <bitset>
#include <cstddef>
#include <span>
#include <string>

namespace waxwing
{

/// Largest number of databases in a group.
inline constexpr std::size_t maxGroupMembers = 16;

/// Set of databases of a group, by their index in the list of endpoints.
using EndpointSet = std::bitset<maxGroupMembers>;

/// @brief What decisions need to know about one database of a group.
struct EndpointState
{
    std::string name {};
    bool isUsable = false; ///< announced, connected, neither leaving nor ejected
    std::size_t running = 0; ///< statements that hold a slot
    std::size_t limit = 0; ///< statements that may run at a time now; at most the slots
    std::size_t runningLong = 0; ///< those of the statements that run which are of class long

    /// @brief Tells whether another statement may start.
    bool hasFreeSlot() const
    {
        return isUsable && running < limit;
    }

    /// @brief Part of the limit that is in use; a full or unusable endpoint yields at least 1.
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
