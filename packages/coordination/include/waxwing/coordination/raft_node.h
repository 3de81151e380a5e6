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

/// @brief Timing and sizes of a replicated log.
struct RaftOptions
{
    Duration heartbeatInterval = 75ms;
    Duration electionTimeoutLow = 300ms; ///< no vote is granted this long after contact with a leader
    Duration electionTimeoutHigh = 600ms; ///< a leader without contact to a quorum for this long steps down
    Duration campaignTimeoutLow = 150ms; ///< an undecided campaign is repeated after a random time in this range
    Duration campaignTimeoutHigh = 300ms;
    Duration leaseDuration = 270ms; ///< 10% shorter than electionTimeoutLow, for the drift between clocks
    std::size_t maxAppendBytes = 256U << 10; ///< entries in one message
    std::size_t maxInFlightEntries = 8192; ///< entries sent to a member and not yet durable there
    std::size_t snapshotChunkBytes = 256U << 10; ///< snapshot bytes in one message
    std::size_t retainedEntries = 1000; ///< entries kept behind a snapshot for members that are a little behind
    std::size_t maxLearnerLagEntries = 64; ///< a learner may vote when at most this many entries are missing
};

/// @brief What a member has on its disk.
struct RaftStoredState
{
    wire::RaftHardState hardState;
    std::shared_ptr<const RaftSnapshot> snapshot; // shared: a transfer to another member may outlive the next snapshot
    std::vector<RaftEntry> entries; ///< entries that follow the snapshot
};

/// @brief One step for the disk. Writes are made durable in the order of their sequence.
struct RaftWrite
{
    std::uint64_t sequence = 0;
    std::optional<wire::RaftHardState> hardState;
    LogIndex firstIndex = 0; ///< index of the first entry
    std::vector<RaftEntry> entries; ///< replace every entry from firstIndex on
    std::shared_ptr<const RaftSnapshot> snapshot; // shared with the node, which keeps it for other members
    bool reset = false; ///< the log is empty behind the snapshot
};

/// @brief Results of the steps since the last call of takeOutput().
struct RaftOutput
{
    std::vector<RaftWrite> writes;
    std::vector<wire::RaftMessage> messages; ///< to send at once
    std::shared_ptr<const RaftSnapshot> restore; // shared with the write; state to restore before further entries
};

/// @brief Change of one member.
struct RaftMembershipChange
{
    enum class Kind {
        AddLearner,
        Promote, ///< a learner that has caught up becomes a voter
        Remove,
    };

    Kind kind = Kind::AddLearner;
    MemberId id = 0;
    std::string address; ///< for AddLearner
};

/// @brief Why a change of members was refused.
enum class RaftChangeError {
    None,
    NotLeader,
    NotReady, ///< nothing of the leader's term is committed yet
    InProgress, ///< the previous change is not committed yet
    UnknownMember,
    AlreadyMember,
    NotCaughtUp,
    LastVoter,
};

/// @brief Name of an error in log lines and metrics.
std::string_view raftChangeErrorName(RaftChangeError error);

/// @brief One member of a replicated log (Raft), without clocks, sockets, files or threads.
///
/// Each call takes the present time; takeOutput() returns what to send and to write. The caller applies the entries up
/// to commitIndex(), and reports durable writes with stored().
class RaftNode
{
public:
    enum class Role {
        Follower,
        PreCandidate,
        Candidate,
        Leader,
    };

    /// @brief Starts a member from its disk.
    /// @param id identity stored with the disk
    /// @param stored content of the disk; empty for a new member
    /// @param seed for the election timeouts
    RaftNode(MemberId id, const RaftOptions &options, RaftStoredState stored, std::uint64_t seed, TimePoint now);

    /// @brief Defines the first membership of a new log. Only for a member without any state.
    void bootstrap(TimePoint now, const wire::RaftMembership &membership);

    /// @brief Handles passed timeouts.
    void tick(TimePoint now);

    /// @brief Handles a message. Messages to another identity are ignored.
    void receive(TimePoint now, const wire::RaftMessage &message);

    /// @brief Reports that all writes up to a sequence number are durable.
    void stored(TimePoint now, std::uint64_t sequence);

    /// @brief Adds a command to the log.
    /// @return its index, or nothing if this member does not lead
    std::optional<LogIndex> propose(std::string command);

    /// @brief Starts a change of one member.
    /// @param index set to the index of the entry
    RaftChangeError changeMembership(TimePoint now, const RaftMembershipChange &change, LogIndex &index);

    /// @brief Stores a snapshot of the state machine and then forgets the entries that it includes.
    /// @param index last applied entry, not behind the previous snapshot
    /// @param state snapshot of the state machine
    void compact(LogIndex index, std::string state);

    /// @brief Stops taking part after a disk error: no vote, no acknowledgement, no leadership until a restart.
    void fail();

    /// @brief Takes the messages and writes that the steps since the last call produced.
    RaftOutput takeOutput(TimePoint now);

    /// @brief Time at which tick() has something to do.
    TimePoint deadline() const;

    /// @brief Tells whether a read of the applied state is up to date: this member leads, an entry of its term is
    /// committed, and no other member can have become leader.
    bool canRead(TimePoint now) const;

    /// @brief Tells whether a learner misses so few entries that it may vote, and was heard from lately.
    bool isCaughtUp(TimePoint now, MemberId id) const;

    /// @brief Tells whether this leader heard from a member lately.
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

    /// @brief Present leader, 0 if unknown.
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
        Probe, ///< the point where the logs agree is searched
        Replicate,
        Snapshot,
    };

    struct Peer
    {
        PeerState state = PeerState::Probe;
        LogIndex next = 1;
        LogIndex match = 0; ///< durable there
        bool probeSent = false;
        TimePoint heard; ///< last reply of this term
        TimePoint confirmed; ///< sending time of the last message that was answered
        std::shared_ptr<const RaftSnapshot> snapshot; // shared: must stay whole while it is sent
        std::size_t offset = 0;
        TimePoint chunkSent;
    };

    struct HeldMessage
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
    void sendWhenStored(wire::RaftMessage message);
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
    void receiveChunk(TimePoint now, const wire::RaftMessage &message);
    void receiveSnapshotReply(TimePoint now, const wire::RaftMessage &message);
    void followLeader(TimePoint now, MemberId leader);
    bool appendFromLeader(const wire::RaftAppend &append);
    LogIndex conflictHint(LogIndex index) const;
    void installSnapshot(TimePoint now, std::shared_ptr<const RaftSnapshot> snapshot);
    void acknowledge(std::uint64_t sentTime);

    void appendLocal(RaftEntry entry);
    void truncateFrom(LogIndex index);
    void raiseCommit(LogIndex index);
    void advanceCommit(TimePoint now);
    void updatePeers(TimePoint now);
    void noteContact(TimePoint now, Peer &peer, std::uint64_t sentTime);
    void sendHeartbeats(TimePoint now);
    void sendAppend(TimePoint now, MemberId to, Peer &peer, std::size_t maxBytes);
    void sendChunk(TimePoint now, MemberId to, Peer &peer);
    void replicate(TimePoint now);
    bool isQuorumHeard(TimePoint now) const;
    TimePoint quorumConfirmed(TimePoint now) const;
    void releaseHeld();

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
    LogIndex m_writtenIndex = 0; ///< entries up to here were handed out as writes
    LogIndex m_durableIndex = 0;
    std::deque<DurableMark> m_durableMarks;
    std::deque<HeldMessage> m_held;
    std::uint64_t m_compactSequence = 0;
    std::shared_ptr<const RaftSnapshot> m_compactSnapshot; // shared with the write

    TimePoint m_electionDeadline;
    TimePoint m_nextHeartbeat;
    std::optional<TimePoint> m_leaderContact; ///< start of the process or last message from a leader
    std::set<MemberId> m_votes;
    std::uint64_t m_selfVoteSequence = 0;

    LogIndex m_verifiedIndex = 0; ///< follower: equal to the log of the leader of this term up to here
    IncomingSnapshot m_incoming;

    std::map<MemberId, Peer> m_peers; ///< leader only
    LogIndex m_termStartIndex = 0; ///< leader: its first entry
    TimePoint m_leaderSince;
    bool m_announceCommit = false;

    RaftOutput m_output;
};

} // namespace waxwing
