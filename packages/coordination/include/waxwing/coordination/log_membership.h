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

/// @brief Discovery and membership of one member: forms a new log, joins an existing one, and replaces members whose disk was
/// lost.
///
/// Each member with an empty disk sends join requests to all initial addresses. A new log is formed only after every initial
/// member has replied to the current process that its disk is empty too. If a log exists already, the leader handles a join
/// request from an initial address by removing the identity that had this address and adding the new one as a learner.
///
/// An open log accepts members from any address. Learners become voters until the required losses are borne, which takes two
/// voters for each loss and one more; additional members stay learners until a voter stops replying. A voter that stops replying
/// is removed only if a learner can replace it or if its removal costs no loss that can be borne: as long as its disk may return,
/// it counts for entries that are stored on it. A voter that is stopped announces it, so that a learner which has caught up takes over its
/// vote before the process ends. A member that was removed while it could not be reached asks to join again with its old
/// identity and log.
class LogMembership
{
public:
    /// @brief Packet and its destination address.
    struct AddressedPacket
    {
        std::string address;
        wire::RaftPacket packet;
    };

    /// @brief Rules for joining and replacing members.
    struct Options
    {
        bool open = false; ///< members may join from any address; otherwise only from initial addresses
        bool mayBootstrap = true; ///< this member may form a new log; must be false once the system has run before
        std::size_t lossesToBear = 1; ///< open only: members that may be lost at the same time
        /// Open only: a voter without replies for this long is replaced by a learner that has caught up. Longer than an
        /// election, and shorter than the 4 s within which a replacement VM must be in use.
        Duration silentVoterTimeout = 2s;
        /// Open only: an announced stop counts for this long after its last repetition, of which there is one every 200 ms. A longer time
        /// would outlive a quick restart of the member.
        Duration leaveLifetime = 500ms;
        Duration joinRequestLifetime = 1s; ///< open only: older join requests are discarded; five times the join interval
    };

    /// @brief Creates the membership state of one member.
    /// @param address address of this member
    /// @param initialMembers addresses of the first members; for an open log, any addresses at which members may be running
    LogMembership(std::string address, std::vector<std::string> initialMembers);
    LogMembership(std::string address, std::vector<std::string> initialMembers, const Options &options);

    /// @brief Sets the identity that is stored on this member's disk.
    void start(MemberId id);

    /// @brief Handles a join request or a join reply.
    /// @param membership current membership
    /// @param empty tells whether this member's disk is empty
    /// @return replies to send
    std::vector<AddressedPacket> receive(const wire::RaftPacket &packet, const wire::RaftMembership &membership, bool empty, TimePoint now = {});

    /// @brief Notes that this member is about to stop: it joins no more, and asks for its vote to be handed over.
    void leave()
    {
        m_leaves = true;
    }

    /// @brief Announcements that this member is about to stop, to all other members; none before leave() or in a log that is not open.
    std::vector<AddressedPacket> leaveRequests(const wire::RaftMembership &membership) const;

    /// @brief Tells whether this member should send join requests: it belongs to no log, or no leader contacts it although it is
    /// a learner (a later leader may have replaced the entry that added it) or, in an open log, whatever its own log says.
    bool shouldJoin(const wire::RaftMembership &membership, bool hasLeader) const;

    /// @brief Join requests to all initial members and, in an open log, to all other known addresses.
    std::vector<AddressedPacket> joinRequests() const;

    /// @brief Tells whether this member should form a new log: all initial members are known to have empty disks, and this
    /// member has the lowest of their addresses and may form a log.
    bool canBootstrap() const;

    /// @brief First membership of a new log; only valid if canBootstrap() is true.
    wire::RaftMembership initialMembership() const;

    /// @brief Returns the next membership change that the leader should start, or nothing if none is needed.
    /// @param isCaughtUp tells whether a learner may become a voter
    /// @param isActive tells whether a member replied recently
    std::optional<RaftMembershipChange> nextChange(const wire::RaftMembership &membership, const std::function<bool(MemberId)> &isCaughtUp,
                                                   const std::function<bool(MemberId)> &isActive, TimePoint now = {});

    /// @brief Stores the address that a member states in its packets.
    void learnAddress(MemberId id, const std::string &address);

    /// @brief Last known address of a member, empty if unknown.
    std::string address(MemberId id) const;

    /// @brief Address of a member according to the membership, or else its last known address.
    std::string addressOf(MemberId id, const wire::RaftMembership &membership) const;

private:
    struct ReceivedJoin
    {
        MemberId id = 0;
        TimePoint receivedAt;
    };

    bool isInitialAddress(const std::string &address) const;
    void handleJoin(const wire::RaftJoin &join, const wire::RaftMembership &membership, TimePoint now);
    void handleJoinReply(const wire::RaftJoinReply &reply);
    bool isLeaving(MemberId id) const;
    std::size_t wantedVoters() const;
    std::optional<RaftMembershipChange> nextReplacement(const wire::RaftMembership &membership, const std::function<bool(MemberId)> &isCaughtUp, TimePoint now);

    std::string m_address;
    Options m_options;
    std::vector<std::string> m_initialMembers;
    std::set<std::string> m_reportedAddresses; ///< addresses of members, taken from join replies
    std::map<MemberId, TimePoint> m_silentSince;
    std::map<MemberId, TimePoint> m_leavingAt; ///< last announcement of each member that is about to stop
    std::optional<TimePoint> m_surplusSince; ///< since there is one voter more than wanted
    bool m_leaves = false; ///< this member is about to stop
    MemberId m_id = 0;
    std::uint64_t m_nonce;
    std::map<std::string, MemberId> m_emptyMembers; ///< by address; from replies to requests of the current process
    std::map<std::string, ReceivedJoin> m_receivedJoins; ///< last join request of each address
    std::map<MemberId, std::string> m_addresses;
};

} // namespace waxwing
