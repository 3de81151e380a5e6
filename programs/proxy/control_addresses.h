#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace waxwing
{

/// @brief Link addresses of control, and the order in which a search for the leader asks them. Not thread-safe.
///
/// A round asks the members first that the leader named, and then the seeds that are not among them: members may all have been
/// replaced since the seeds were written.
class ControlAddresses
{
public:
    /// Addresses by which a new list of members differs.
    struct Change
    {
        std::vector<std::string> added;
        std::vector<std::string> dropped; ///< neither members nor seeds any more
    };

    /// @param seeds addresses of the settings, which are never dropped
    /// @param order number that decides which member is asked first, so that proxies spread over the members
    ControlAddresses(std::vector<std::string> seeds, std::uint64_t order);

    /// @brief Replaces the members. An empty list changes nothing.
    /// @param members as the present leader names them
    Change setMembers(std::span<const std::string> members);

    /// @brief Adds a member to which another one referred.
    /// @return false if it is known, or there is no room for it
    bool learn(const std::string &address);

    /// @brief Returns whether an address is that of a member or of a seed.
    bool isKnown(std::string_view address) const;

    /// @brief Number of addresses in a round.
    std::size_t size() const
    {
        return m_members.size() + m_otherSeeds.size();
    }

    /// @brief Starts a new round with the next address.
    void startRound();

    /// @brief Returns the address to ask next, and starts another round after the last one.
    /// @param unreachable address that is passed over in the first round after startRound(), unless it is the only one
    /// @return an empty text if no address is known
    std::string next(std::string_view unreachable);

    /// @brief All addresses, members first.
    std::vector<std::string> all() const;

private:
    std::string takeNext();
    void updateOtherSeeds();

    std::vector<std::string> m_seeds;
    std::vector<std::string> m_members;
    std::vector<std::string> m_otherSeeds; ///< seeds that are not among the members
    std::size_t m_first; ///< index of the member with which a round starts
    std::size_t m_position = 0; ///< within the round
    bool m_firstRound = true;
};

} // namespace waxwing
