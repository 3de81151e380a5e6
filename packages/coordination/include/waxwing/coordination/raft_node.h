#pragma once

#include <waxwing/coordination/raft_log.h>
#include <waxwing/support/random.h>
#include <waxwing/support/time.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace waxwing
{

/// @brief Timeouts and size limits of a replicated log.
struct RaftOptions
{
    Duration heartbeatInterval = 75ms;
    Duration electionTimeoutLow = 300ms; ///< no vote is granted within this time after the last message from a leader
    Duration electionTimeoutHigh = 600ms; ///< a leader steps down after this time without replies from a quorum
    Duration campaignTimeoutLow = 150ms; ///< a candidate that has neither won nor lost starts a new election after a random time in this range
    Duration campaignTimeoutHigh = 300ms;
    Duration leaseDuration = 270ms; ///< 10% shorter than electionTimeoutLow, to allow for clock drift
    std::size_t maxAppendBytes = 256U << 10; ///< entries in one append message; exceeded by at most one entry
    std::size_t maxInFlightEntries = 8192; ///< entries sent to a member that are not yet known to be durable there
    std::size_t snapshotChunkBytes = 256U << 10; ///< snapshot data in one message
    std::size_t retainedEntries = 1000; ///< entries up to the snapshot that stay in memory, so that members that lag a little need no snapshot
    std::size_t maxLearnerLagEntries = 64; ///< a learner may become a voter when it lacks at most this many entries
};

/// @brief State that a member reads from its disk at start.
struct RaftStoredState
{
    wire::RaftHardState hardState;
    std::shared_ptr<const RaftSnapshot> snapshot; // shared: a transfer to another member may continue after the next snapshot was taken
    std::vector<RaftEntry> entries; ///< entries that follow the snapshot
};

/// @brief Data to write to the disk. Writes are made durable in the order of their sequence numbers.
struct RaftWrite
{
    std::uint64_t sequence = 0;
    std::optional<wire::RaftHardState> hardState;
    LogIndex firstIndex = 0; ///< index of the first entry
    std::vector<RaftEntry> entries; ///< replace all stored entries from firstIndex on
    std::shared_ptr<const RaftSnapshot> snapshot; // shared with the node, which sends it to other members
    bool reset = false; ///< discard all stored entries; the log continues after the snapshot
};

/// @brief Writes and messages that were produced since the last call of takeOutput().
struct RaftOutput
{
    std::vector<RaftWrite> writes;
    std::vector<wire::RaftMessage> messages; ///< to be sent without waiting for the writes
    std::shared_ptr<const RaftSnapshot> restore; // shared with the write; to be restored before further entries are applied
};

/// @brief Membership change of one member.
struct RaftMembershipChange
{
    enum class Kind {
        AddLearner,
        Promote, ///< makes a learner that has caught up a voter
        Remove,
    };

    Kind kind = Kind::AddLearner;
    MemberId id = 0;
    std::string address; ///< for AddLearner
};

/// @brief Reason why a membership change was refused.
enum class RaftChangeError {
    None,
    NotLeader,
    NotReady, ///< no entry of the leader's term is committed yet
    InProgress, ///< the previous change is not committed yet
    UnknownMember,
    AlreadyMember,
    NotCaughtUp,
    LastVoter,
};

/// @brief Name of an error in log lines and metrics.
std::string_view raftChangeErrorName(RaftChangeError error);

/// @brief Name of a kind of membership change in log lines.
std::string_view raftChangeKindName(RaftMembershipChange::Kind kind);

/// @brief One member of a replicated log (Raft), without clocks, sockets, files or threads.
///
/// Calls that depend on time take the current time. takeOutput() returns the messages to send and the data to write. The
/// caller applies the entries up to commitIndex() and reports durable writes with stored().
class RaftNode
{
public:
    enum class Role {
        Follower,
        PreCandidate,
        Candidate,
        Leader,
    };

    /// @brief Starts a member with the state from its disk.
    /// @param id identity stored with the disk
    /// @param stored state read from the disk; empty for a new member
    /// @param seed seed of the random election timeouts
    RaftNode(MemberId id, const RaftOptions &options, RaftStoredState stored, std::uint64_t seed, TimePoint now);

    /// @brief Sets the first membership of a new log. Ignored unless this member has neither a term nor entries.
    void bootstrap(TimePoint now, const wire::RaftMembership &membership);

    /// @brief Handles the timeouts that have expired.
    void tick(TimePoint now);

    /// @brief Handles a message from another member. Messages that are addressed to another identity are ignored.
    void receive(TimePoint now, const wire::RaftMessage &message);

    /// @brief Reports that all writes up to a sequence number are durable.
    void stored(TimePoint now, std::uint64_t sequence);

    /// @brief Appends a command to the log.
    /// @return index of its entry, or nothing if this member is not the leader
    std::optional<LogIndex> propose(std::string command);

    /// @brief Starts a membership change of one member.
    /// @param index set to the index of the entry if the change was started
    /// @return RaftChangeError::None, or why the change was refused
    RaftChangeError changeMembership(TimePoint now, const RaftMembershipChange &change, LogIndex &index);

    /// @brief Stores a snapshot of the state machine and, once it is durable, removes entries that it includes.
    ///
    /// Ignored while another snapshot is being stored.
    /// @param index last applied entry, after the previous snapshot
    /// @param state snapshot of the state machine
    void compact(LogIndex index, std::string state);

    /// @brief Stops this member after a disk error: it neither votes, acknowledges entries nor leads until a restart.
    void fail();

    /// @brief Returns the messages and writes that were produced since the last call.
    RaftOutput takeOutput(TimePoint now);

    /// @brief Time at which tick() should be called next; TimePoint::max() after fail().
    TimePoint deadline() const;

    /// @brief Tells whether the leader may serve reads from the applied state: an entry of its term is committed, and its
    /// lease is valid, so that no other member can have become leader.
    bool canRead(TimePoint now) const;

    /// @brief Tells whether a learner lacks at most maxLearnerLagEntries entries and answered a message sent within electionTimeoutLow.
    bool isCaughtUp(TimePoint now, MemberId id) const;

    /// @brief Tells whether this leader received a reply from a member within electionTimeoutHigh.
    bool isActive(TimePoint now, MemberId id) const;

    MemberId id() const
    {
        return m_id;
    }

    Role role() const
    {
        return m_role;
    }

    LogTerm term() const
    {
        return m_term;
    }

    /// @brief Current leader, 0 if unknown.
    MemberId leader() const
    {
        return m_leader;
    }

    LogIndex commitIndex() const
    {
        return m_commitIndex;
    }

    /// @brief Index of the last stored snapshot, 0 for none.
    LogIndex snapshotIndex() const
    {
        return m_snapshot ? m_snapshot->index : 0;
    }

    bool hasFailed() const
    {
        return m_failed;
    }

    /// @brief Tells whether a snapshot is being stored.
    bool isCompacting() const
    {
        return m_compactSequence != 0;
    }

    const RaftLog &log() const
    {
        return m_log;
    }

private:
    enum class PeerState {
        Probe, ///< searches for the last entry on which both logs agree, one append message at a time
        Replicate,
        Snapshot,
    };

    struct Peer
    {
        PeerState state = PeerState::Probe;
        LogIndex nextIndex = 1;
        LogIndex matchIndex = 0; ///< last entry that is known to be durable on this member
        bool probeSent = false;
        TimePoint lastReplyTime; ///< time at which the last reply of this term was received
        TimePoint confirmedSendTime; ///< time at which the last message that was answered had been sent
        std::shared_ptr<const RaftSnapshot> snapshot; // shared: must stay unchanged until it is sent completely
        std::size_t offset = 0;
        TimePoint chunkSentTime;
    };

    struct DeferredMessage
    {
        std::uint64_t sequence = 0;
        wire::RaftMessage message;
    };

    struct DurableMark
    {
        std::uint64_t sequence = 0;
        LogIndex index = 0;
    };

    struct IncomingSnapshot
    {
        LogIndex index = 0;
        LogTerm term = 0;
        std::uint64_t total = 0;
        std::uint64_t checksum = 0;
        std::string data;
    };

    wire::RaftMessage makeMessage(MemberId to) const;
    void send(wire::RaftMessage message);
    void sendWhenDurable(wire::RaftMessage message);
    RaftWrite &addWrite();
    void writeHardState();

    void becomeFollower(TimePoint now, LogTerm term, MemberId leader);
    void becomePreCandidate(TimePoint now);
    void becomeCandidate(TimePoint now);
    void becomeLeader(TimePoint now);
    void requestPreVotes(TimePoint now);
    void restartElectionTimer(TimePoint now);
    bool mayCampaign() const;
    bool hasRecentLeader(TimePoint now) const;
    bool isUpToDate(const wire::RaftVoteRequest &request) const;
    bool isQuorum(const std::set<MemberId> &members) const;

    void receiveVoteRequest(TimePoint now, const wire::RaftMessage &message);
    void receiveVoteReply(TimePoint now, const wire::RaftMessage &message);
    void receiveAppend(TimePoint now, const wire::RaftMessage &message);
    void receiveAppendReply(TimePoint now, const wire::RaftMessage &message);
    void receiveSnapshotChunk(TimePoint now, const wire::RaftMessage &message);
    void receiveSnapshotReply(TimePoint now, const wire::RaftMessage &message);
    void followLeader(TimePoint now, MemberId leader);
    bool appendFromLeader(const wire::RaftAppend &append);
    LogIndex conflictHint(LogIndex index) const;
    void installSnapshot(TimePoint now, std::shared_ptr<const RaftSnapshot> snapshot);
    void acknowledge(std::uint64_t sentTime);

    void appendLocal(RaftEntry entry);
    void truncateFrom(LogIndex index);
    void raiseCommitIndex(LogIndex index);
    void advanceCommitIndex(TimePoint now);
    void updatePeers(TimePoint now);
    void recordReply(TimePoint now, Peer &peer, std::uint64_t sentTime);
    void sendHeartbeats(TimePoint now);
    void sendAppend(TimePoint now, MemberId to, Peer &peer, std::size_t maxBytes);
    void sendSnapshotChunk(TimePoint now, MemberId to, Peer &peer);
    void replicate(TimePoint now);
    bool hasQuorumContact(TimePoint now) const;
    TimePoint quorumConfirmedTime(TimePoint now) const;
    void sendDeferredMessages();

    MemberId m_id;
    RaftOptions m_options;
    Random m_random;
    bool m_failed = false;

    Role m_role = Role::Follower;
    LogTerm m_term = 0;
    MemberId m_vote = 0;
    MemberId m_leader = 0;
    RaftLog m_log;
    LogIndex m_commitIndex = 0;
    std::shared_ptr<const RaftSnapshot> m_snapshot; // shared with transfers and writes

    std::uint64_t m_lastSequence = 0;
    std::uint64_t m_storedSequence = 0;
    LogIndex m_writtenIndex = 0; ///< last entry that was handed out in a write
    LogIndex m_durableIndex = 0;
    std::deque<DurableMark> m_durableMarks;
    std::deque<DeferredMessage> m_deferredMessages;
    std::uint64_t m_compactSequence = 0;
    std::shared_ptr<const RaftSnapshot> m_compactSnapshot; // shared with the write

    TimePoint m_electionDeadline;
    TimePoint m_nextHeartbeat; ///< pre-candidate: time at which the pre-vote requests are repeated
    std::optional<TimePoint> m_lastLeaderContact; ///< last message from a leader, or the start of the process
    std::set<MemberId> m_votes;
    std::uint64_t m_selfVoteSequence = 0;

    LogIndex m_verifiedIndex = 0; ///< follower: last entry that is known to equal that of the current term's leader
    IncomingSnapshot m_incomingSnapshot;

    std::map<MemberId, Peer> m_peers; ///< leader only
    LogIndex m_termStartIndex = 0; ///< leader: index of the first entry of its term
    bool m_commitAnnouncementPending = false;

    RaftOutput m_output;
};

} // namespace waxwing
