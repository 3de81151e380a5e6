#pragma once

#include <waxwing/coordination/raft_node.h>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace waxwing
{

/// @brief How the members of a log find each other: forms a new log, joins an existing one, and replaces a member whose
/// disk was lost.
///
/// Every member with an empty disk sends a join request to all initial addresses. The first members form a log only after
/// each of them replied to this very process that its disk is empty too. Otherwise the leader answers a join request from
/// an initial address by removing the identity that had this address and adding the new one as a learner.
///
/// An open log takes members from any address and keeps the number of voters: further members stay learners until a voter
/// falls silent. A member that was removed while it was silent asks to join again with its old identity and log.
class LogMembership
{
public:
    /// Packet and the address that it goes to.
    struct AddressedPacket
    {
        std::string address;
        wire::RaftPacket packet;
    };

    /// @brief Who may become a member.
    struct Options
    {
        bool open = false; ///< members may join from any address; otherwise only from the initial ones
        bool mayBootstrap = true; ///< this member may form a new log; false once the system has run before
        std::size_t voters = 3; ///< open only: a learner votes only as long as fewer members do
        /// Open only: a voter that was silent for this long gives its vote to a learner that has caught up. Longer than an
        /// election and shorter than the 4 s in which a replaced VM has to be useful.
        Duration silentVoterTimeout = 2s;
        Duration joinRequestLifetime = 1s; ///< open only: an older join request counts no more; five times the join interval
    };

    /// @brief Creates the member's view.
    /// @param address address of this member
    /// @param initialMembers addresses of the first members; of an open log, any addresses at which members may be found
    LogMembership(std::string address, std::vector<std::string> initialMembers);
    LogMembership(std::string address, std::vector<std::string> initialMembers, const Options &options);

    /// @brief Sets the identity of this member's disk.
    void start(MemberId id);

    /// @brief Handles a join request or reply.
    /// @param membership present membership
    /// @param empty this member's disk is empty
    /// @return replies
    std::vector<AddressedPacket> receive(const wire::RaftPacket &packet, const wire::RaftMembership &membership, bool empty, TimePoint now = {});

    /// @brief Tells whether this member should send join requests: it belongs to no log, or it is a learner that no leader
    /// contacts, because the entry that added it was replaced by a later leader.
    bool shouldJoin(const wire::RaftMembership &membership, bool hasLeader) const;

    /// @brief Join requests to all initial members.
    std::vector<AddressedPacket> joinRequests() const;

    /// @brief Tells whether all initial members are known to have empty disks.
    bool canBootstrap() const;

    /// @brief First membership; the same on every member that can bootstrap.
    wire::RaftMembership initialMembership() const;

    /// @brief Decides the next change that a leader should start.
    /// @param isCaughtUp tells whether a learner may vote
    /// @param isActive tells whether a member was heard from lately
    std::optional<RaftMembershipChange> nextChange(const wire::RaftMembership &membership, const std::function<bool(MemberId)> &isCaughtUp,
                                                   const std::function<bool(MemberId)> &isActive, TimePoint now = {});

    /// @brief Remembers where packets of a member came from.
    void learnAddress(MemberId id, const std::string &address);

    /// @brief Last known address of a member, empty if unknown.
    std::string address(MemberId id) const;

    /// @brief Address of a member by the membership, else the last known one.
    std::string addressOf(MemberId id, const wire::RaftMembership &membership) const;

private:
    struct Joining
    {
        MemberId id = 0;
        TimePoint at;
    };

    bool isInitial(const std::string &address) const;
    void takeJoin(const wire::RaftJoin &join, const wire::RaftMembership &membership, TimePoint now);
    void takeJoinReply(const wire::RaftJoinReply &reply);
    std::optional<RaftMembershipChange> nextReplacement(const wire::RaftMembership &membership, const std::function<bool(MemberId)> &isCaughtUp,
                                                        TimePoint now) const;

    std::string m_address;
    Options m_options;
    std::vector<std::string> m_initialMembers;
    std::set<std::string> m_contacts; ///< members that others named
    std::map<MemberId, TimePoint> m_silentSince;
    MemberId m_id = 0;
    std::uint64_t m_nonce;
    std::map<std::string, MemberId> m_emptyMembers; ///< by address, from replies to this process
    std::map<std::string, Joining> m_joining; ///< last join request by address
    std::map<MemberId, std::string> m_addresses;
};

} // namespace waxwing
