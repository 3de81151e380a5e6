#pragma once

#include <waxwing/coordination/log_membership.h>
#include <waxwing/coordination/raft_node.h>

#include <concepts>
#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace waxwing
{

/// @brief Outcome of a proposal, a read or a membership change.
enum class LogOutcome {
    Done,
    NotLeader, ///< not executed; to be repeated at the leader
    Overloaded, ///< not executed; too many proposals and reads are pending
    Unknown, ///< leadership was lost before the entry was committed; it may still be committed later
    Refused, ///< not executed; only for membership changes
};

/// @brief Result of a proposal.
struct ProposeResult
{
    LogOutcome outcome = LogOutcome::Done;
    LogIndex index = 0; ///< index of the command's entry, for Done
    std::vector<std::byte> result; ///< from the state machine, for Done
    std::string leaderAddress; ///< for NotLeader; empty if unknown
};

/// @brief Result of a read.
struct ReadResult
{
    LogOutcome outcome = LogOutcome::Done; ///< Done: the state machine is up to date while the handler runs
    LogIndex index = 0; ///< last applied entry, for Done
    std::string leaderAddress; ///< for NotLeader; empty if unknown
};

/// @brief Result of a membership change.
struct MembershipResult
{
    LogOutcome outcome = LogOutcome::Done;
    RaftChangeError error = RaftChangeError::None; ///< for Refused
    std::string leaderAddress; ///< for NotLeader; empty if unknown
};

using ProposeHandler = std::function<void(ProposeResult result)>;
using ReadHandler = std::function<void(const ReadResult &result)>;
using MembershipHandler = std::function<void(const MembershipResult &result)>;

/// @brief Reason why a log bears the loss of fewer voters than required.
enum class LossShortfall {
    None,
    TooFewMembers, ///< fewer members reply than are needed as voters
    VoterSilent, ///< a voter doesn't reply and has not been replaced yet
    ChangePending, ///< a membership change is not committed yet
    LearnerBehind, ///< a learner replies but has not caught up yet
    NotPromoted, ///< learners have caught up and are not voters yet
};

/// @brief Name of a reason in log lines.
std::string_view lossShortfallName(LossShortfall shortfall);

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
    bool ready = false; ///< leader with a valid lease
    bool serving = false; ///< voter that knows the leader and has applied all entries that it knows to be committed
    std::vector<MemberId> active; ///< leader only: members that replied within the election timeout, including this one
    std::vector<MemberId> caughtUp; ///< leader only: learners that may become voters
    bool changePending = false; ///< leader only: a membership change is not committed yet

    /// @brief Number of active voters that may fail before the log loses its majority, as known to the leader.
    /// @return nothing on members that are not leader
    std::optional<std::size_t> tolerableLosses() const;

    /// @brief Tells why fewer voters than required may fail, as known to the leader.
    /// @param losses number of voters that may fail at the same time, as required by the deployment
    /// @return LossShortfall::None if the requirement is met, and on members that are not leader
    LossShortfall lossShortfall(std::size_t losses) const;
    bool failed = false; ///< a disk error stopped the member
};

/// @brief Settings of a log host.
struct LogHostOptions
{
    std::string folder; ///< folder for the files of this log; holds no other files
    std::string address; ///< address at which other members reach this member
    /// Addresses of the first members, including this one; the same set on each of them. They form the log once all of them
    /// run with empty disks. If a log already exists, a member with an empty disk joins it as a learner instead.
    std::vector<std::string> initialMembers;
    LogMembership::Options membership; ///< rules for joining and replacing members
    RaftOptions raft;
    std::size_t maxPendingRequests = 4096; ///< proposals and reads that may be pending at the same time
    LogIndex snapshotIntervalEntries = 10'000; ///< entries between snapshots
    Duration joinInterval = 200ms; ///< between join requests, and between membership changes that a leader starts
    bool manageMembers = true; ///< the leader adds joining members, promotes learners and removes replaced members by itself
};

/// @brief Transport of packets to the other members.
template<class P>
concept LogPeers = requires(P peers, const std::string &address, std::string packet)
{
    peers.send(address, std::move(packet)); // may lose packets; must not block
};

} // namespace waxwing
