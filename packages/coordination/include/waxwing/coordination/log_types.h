#pragma once

#include <waxwing/coordination/log_membership.h>
#include <waxwing/coordination/raft_node.h>

#include <concepts>
#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace waxwing
{

/// @brief Outcome of a proposal, a read or a change of members.
enum class LogOutcome {
    Done,
    NotLeader, ///< nothing happened; ask the leader
    Overloaded, ///< nothing happened; the queue of proposals is full
    Unknown, ///< leadership was lost before the entry was committed; it may still be
    Refused, ///< nothing happened; only for changes of members
};

/// @brief Result of a proposal.
struct ProposeResult
{
    LogOutcome outcome = LogOutcome::Done;
    LogIndex index = 0; ///< entry of the command, for Done
    std::vector<std::byte> result; ///< from the state machine, for Done
    std::string leaderAddress; ///< for NotLeader; empty if unknown
};

/// @brief Result of a request to read.
struct ReadResult
{
    LogOutcome outcome = LogOutcome::Done; ///< Done: the machine is up to date during the handler
    LogIndex index = 0; ///< last applied entry, for Done
    std::string leaderAddress; ///< for NotLeader; empty if unknown
};

/// @brief Result of a change of members.
struct MembershipResult
{
    LogOutcome outcome = LogOutcome::Done;
    RaftChangeError error = RaftChangeError::None; ///< for Refused
    std::string leaderAddress; ///< for NotLeader; empty if unknown
};

using ProposeHandler = std::function<void(ProposeResult result)>;
using ReadHandler = std::function<void(const ReadResult &result)>;
using MembershipHandler = std::function<void(const MembershipResult &result)>;

/// @brief State of a member for status pages and metrics.
struct LogStatus
{
    MemberId id = 0;
    std::string address;
    RaftNode::Role role = RaftNode::Role::Follower;
    LogTerm term = 0;
    MemberId leader = 0; ///< 0 if unknown
    std::string leaderAddress;
    LogIndex commitIndex = 0;
    LogIndex appliedIndex = 0;
    LogIndex snapshotIndex = 0;
    wire::RaftMembership membership;
    bool ready = false; ///< leads with a valid lease
    bool serving = false; ///< votes, knows the leader and has applied what it knows to be committed
    std::vector<MemberId> active; ///< leader only: members that were heard from lately, with this one

    /// @brief Voters that may be lost before the log stops; by what the leader knows.
    /// @return nothing on other members
    std::optional<std::size_t> tolerableLosses() const;
    bool failed = false; ///< a disk error stopped the member
};

/// @brief Settings of a log host.
struct LogHostOptions
{
    std::string folder; ///< holds the files of this log only
    std::string address; ///< where peers reach this member
    /// Addresses of the first members, the same set on each of them, including this one. They form the log together once
    /// all of them are up with empty disks. A member with an empty disk joins an existing log instead, as a learner.
    std::vector<std::string> initialMembers;
    LogMembership::Options membership; ///< who may become a member
    RaftOptions raft;
    std::size_t maxPendingRequests = 4096; ///< proposals and reads that wait
    LogIndex snapshotIntervalEntries = 10'000; ///< entries between snapshots
    Duration joinInterval = 200ms; ///< between attempts to join
    bool manageMembers = true; ///< the leader adds members of initialMembers with a new disk, and promotes learners
};

/// @brief Way to the other members.
template<class P>
concept LogPeers = requires(P peers, const std::string &address, std::string packet)
{
    peers.send(address, std::move(packet)); // may lose packets; must not block
};

} // namespace waxwing
