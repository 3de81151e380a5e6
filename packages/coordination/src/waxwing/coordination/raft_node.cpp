#include <waxwing/coordination/raft_node.h>
#include <waxwing/support/invariant.h>

#include <algorithm>
#include <utility>

namespace waxwing
{

namespace
{

std::uint64_t memberSeed(std::uint64_t seed, MemberId id)
{
    // Members that are started with the same seed must not choose the same timeouts.
    return seed ^ (id * 0x9e3779b97f4a7c15ULL);
}

} // namespace

std::string_view raftChangeErrorName(RaftChangeError error)
{
    switch (error) {
    case RaftChangeError::None:
        return "none";
    case RaftChangeError::NotLeader:
        return "not-leader";
    case RaftChangeError::NotReady:
        return "not-ready";
    case RaftChangeError::InProgress:
        return "in-progress";
    case RaftChangeError::UnknownMember:
        return "unknown-member";
    case RaftChangeError::AlreadyMember:
        return "already-member";
    case RaftChangeError::NotCaughtUp:
        return "not-caught-up";
    case RaftChangeError::LastVoter:
        return "last-voter";
    }
    return "none";
}

std::string_view raftChangeKindName(RaftMembershipChange::Kind kind)
{
    switch (kind) {
    case RaftMembershipChange::Kind::AddLearner:
        return "add-learner";
    case RaftMembershipChange::Kind::Promote:
        return "promote";
    case RaftMembershipChange::Kind::Remove:
        return "remove";
    }
    return "remove";
}

RaftNode::RaftNode(MemberId id, const RaftOptions &options, RaftStoredState stored, std::uint64_t seed, TimePoint now)
    : m_id(id)
    , m_options(options)
    , m_random(memberSeed(seed, id))
    , m_term(stored.hardState.term())
    , m_vote(stored.hardState.vote())
    , m_snapshot(std::move(stored.snapshot))
{
    if (m_snapshot) {
        m_log.reset(m_snapshot->index, m_snapshot->term, m_snapshot->membership);
        m_commitIndex = m_snapshot->index;
        m_output.restore = m_snapshot;
    }
    for (auto &entry : stored.entries) {
        m_log.append(std::move(entry));
    }
    m_writtenIndex = m_log.lastIndex();
    m_durableIndex = m_log.lastIndex();
    m_term = std::max(m_term, m_log.lastTerm()); // see bootstrap()
    if (m_term != 0 || m_log.lastIndex() != 0) {
        // The previous process may have acknowledged a message that extends a leader's lease just before it ended.
        m_lastLeaderContact = now;
    }
    restartElectionTimer(now);
}

void RaftNode::bootstrap(TimePoint now, const wire::RaftMembership &membership)
{
    if (m_failed || m_term != 0 || m_log.lastIndex() != 0) {
        return;
    }
    // The entry and the term go into one write, the entry first: if a crash left the term without the membership, this
    // member could neither campaign nor be regarded as empty.
    m_term = 1;
    appendLocal({m_term, wire::RAFT_ENTRY_KIND_MEMBERSHIP, membership.SerializeAsString()});
    writeHardState();
    m_electionDeadline = now;
}

void RaftNode::tick(TimePoint now)
{
    if (m_failed) {
        return;
    }
    if (m_role == Role::Leader) {
        if (!hasQuorumContact(now)) {
            becomeFollower(now, m_term, 0);
        } else if (now >= m_nextHeartbeat) {
            sendHeartbeats(now);
        }
        return;
    }
    if (now >= m_electionDeadline) {
        if (mayCampaign()) {
            becomePreCandidate(now);
        } else {
            m_leader = 0;
            restartElectionTimer(now);
        }
    } else if (m_role == Role::PreCandidate && now >= m_nextHeartbeat) {
        // A voter that received the last message of the old leader slightly later than this member refuses the first request.
        requestPreVotes(now);
    }
}

void RaftNode::receive(TimePoint now, const wire::RaftMessage &message)
{
    if (m_failed || message.to() != m_id || message.from() == m_id) {
        return;
    }
    if (message.has_vote_request()) {
        receiveVoteRequest(now, message);
        return;
    }
    const bool fromLeader = message.has_append() || message.has_snapshot_chunk();
    if (message.term() > m_term) {
        const bool grantedPreVote = message.has_vote_reply() && message.vote_reply().pre_vote() && message.vote_reply().granted();
        if (!grantedPreVote) {
            becomeFollower(now, message.term(), fromLeader ? message.from() : 0);
        }
    } else if (message.term() < m_term) {
        if (fromLeader) {
            // The higher term in the reply makes the outdated leader step down; otherwise a member with a higher term could never
            // follow it again.
            auto reply = makeMessage(message.from());
            reply.mutable_append_reply()->set_rejected_index(message.append().previous_index());
            send(std::move(reply));
        }
        return;
    }
    switch (message.body_case()) {
    case wire::RaftMessage::kVoteReply:
        receiveVoteReply(now, message);
        break;
    case wire::RaftMessage::kAppend:
        receiveAppend(now, message);
        break;
    case wire::RaftMessage::kAppendReply:
        receiveAppendReply(now, message);
        break;
    case wire::RaftMessage::kSnapshotChunk:
        receiveSnapshotChunk(now, message);
        break;
    case wire::RaftMessage::kSnapshotReply:
        receiveSnapshotReply(now, message);
        break;
    default:
        break;
    }
}

void RaftNode::stored(TimePoint now, std::uint64_t sequence)
{
    if (m_failed || !WAXWING_INVARIANT(sequence <= m_lastSequence, "raft-stored-sequence")) {
        return;
    }
    m_storedSequence = std::max(m_storedSequence, sequence);
    const auto previous = m_durableIndex;
    while (!m_durableMarks.empty() && m_durableMarks.front().sequence <= sequence) {
        m_durableIndex = std::max(m_durableIndex, m_durableMarks.front().index);
        m_durableMarks.pop_front();
    }
    if (m_compactSequence != 0 && m_compactSequence <= sequence) {
        if (m_compactSnapshot->index > snapshotIndex()) {
            m_snapshot = std::move(m_compactSnapshot);
            const auto keep = std::min<LogIndex>(m_options.retainedEntries, m_snapshot->index);
            m_log.compactTo(m_snapshot->index - keep);
        }
        m_compactSnapshot.reset();
        m_compactSequence = 0;
    }
    sendDeferredMessages();
    if (m_role == Role::Candidate && m_selfVoteSequence <= sequence) {
        m_votes.insert(m_id);
        if (isQuorum(m_votes)) {
            becomeLeader(now);
        }
    } else if (m_role == Role::Leader) {
        advanceCommitIndex(now);
    } else if (m_role == Role::Follower && m_leader != 0 && m_durableIndex > previous) {
        acknowledge(0);
    }
}

void RaftNode::fail()
{
    m_failed = true;
    m_role = Role::Follower;
    m_leader = 0;
    m_peers.clear();
    m_deferredMessages.clear();
    m_output = {};
}

RaftOutput RaftNode::takeOutput(TimePoint now)
{
    if (m_role == Role::Leader) {
        replicate(now);
    }
    if (m_writtenIndex < m_log.lastIndex()) {
        addWrite();
    }
    return std::exchange(m_output, {});
}

TimePoint RaftNode::deadline() const
{
    if (m_failed) {
        return TimePoint::max();
    }
    switch (m_role) {
    case Role::Leader:
        return m_nextHeartbeat;
    case Role::PreCandidate:
        return std::min(m_nextHeartbeat, m_electionDeadline);
    default:
        return m_electionDeadline;
    }
}

wire::RaftMessage RaftNode::makeMessage(MemberId to) const
{
    wire::RaftMessage message;
    message.set_from(m_id);
    message.set_to(to);
    message.set_term(m_term);
    return message;
}

void RaftNode::send(wire::RaftMessage message)
{
    m_output.messages.push_back(std::move(message));
}

void RaftNode::sendWhenDurable(wire::RaftMessage message)
{
    m_deferredMessages.push_back({m_lastSequence, std::move(message)});
    sendDeferredMessages();
}

void RaftNode::sendDeferredMessages()
{
    while (!m_deferredMessages.empty() && m_deferredMessages.front().sequence <= m_storedSequence) {
        // Messages of an earlier term are obsolete and must not be sent in the current one.
        if (m_deferredMessages.front().message.term() >= m_term) {
            send(std::move(m_deferredMessages.front().message));
        }
        m_deferredMessages.pop_front();
    }
}

RaftWrite &RaftNode::addWrite()
{
    auto &write = m_output.writes.emplace_back();
    write.sequence = ++m_lastSequence;
    if (m_writtenIndex < m_log.lastIndex()) {
        write.firstIndex = m_writtenIndex + 1;
        for (auto index = write.firstIndex; index <= m_log.lastIndex(); ++index) {
            write.entries.push_back(m_log.at(index));
        }
        m_writtenIndex = m_log.lastIndex();
        m_durableMarks.push_back({write.sequence, m_writtenIndex});
    }
    return write;
}

void RaftNode::writeHardState()
{
    wire::RaftHardState state;
    state.set_term(m_term);
    state.set_vote(m_vote);
    addWrite().hardState = std::move(state);
}

void RaftNode::restartElectionTimer(TimePoint now)
{
    m_electionDeadline = now + m_options.electionTimeoutLow + m_random.upTo(m_options.electionTimeoutHigh - m_options.electionTimeoutLow);
}

bool RaftNode::mayCampaign() const
{
    const auto changed = m_log.membershipIndex();
    if (isVoter(m_log.membership(), m_id)) {
        return true;
    }
    // Until its removal is committed, this member may be the only one whose log is complete enough to lead.
    return changed > m_commitIndex && isVoter(m_log.membershipAt(changed - 1), m_id);
}

bool RaftNode::hasRecentLeader(TimePoint now) const
{
    if (m_role == Role::Leader) {
        return now < quorumConfirmedTime(now) + m_options.electionTimeoutLow;
    }
    return m_lastLeaderContact && now < *m_lastLeaderContact + m_options.electionTimeoutLow;
}

bool RaftNode::isUpToDate(const wire::RaftVoteRequest &request) const
{
    const auto lastTerm = m_log.lastTerm();
    return request.last_term() > lastTerm || (request.last_term() == lastTerm && request.last_index() >= m_log.lastIndex());
}

bool RaftNode::isQuorum(const std::set<MemberId> &members) const
{
    const auto &membership = m_log.membership();
    const auto votes = std::count_if(members.begin(), members.end(), [&membership](MemberId id) { return isVoter(membership, id); });
    return static_cast<std::size_t>(votes) > voterCount(membership) / 2;
}

void RaftNode::becomeFollower(TimePoint now, LogTerm term, MemberId leader)
{
    if (term > m_term) {
        m_term = term;
        m_vote = 0;
        m_verifiedIndex = 0;
        m_incomingSnapshot = {};
        writeHardState();
    }
    if (m_role != Role::Follower) {
        restartElectionTimer(now);
    }
    m_role = Role::Follower;
    m_leader = leader;
    m_votes.clear();
    m_peers.clear();
    m_commitAnnouncementPending = false;
}

void RaftNode::becomePreCandidate(TimePoint now)
{
    m_role = Role::PreCandidate;
    m_leader = 0;
    m_votes = {m_id};
    m_electionDeadline = now + m_options.campaignTimeoutLow + m_random.upTo(m_options.campaignTimeoutHigh - m_options.campaignTimeoutLow);
    if (isQuorum(m_votes)) {
        becomeCandidate(now);
    } else {
        requestPreVotes(now);
    }
}

void RaftNode::requestPreVotes(TimePoint now)
{
    m_nextHeartbeat = now + m_options.heartbeatInterval;
    for (const auto &member : m_log.membership().members()) {
        if (!member.voter() || m_votes.contains(member.id())) {
            continue;
        }
        auto message = makeMessage(member.id());
        message.set_term(m_term + 1);
        auto &request = *message.mutable_vote_request();
        request.set_last_index(m_log.lastIndex());
        request.set_last_term(m_log.lastTerm());
        request.set_pre_vote(true);
        send(std::move(message));
    }
}

void RaftNode::becomeCandidate(TimePoint now)
{
    m_role = Role::Candidate;
    m_leader = 0;
    m_votes.clear();
    ++m_term;
    m_vote = m_id;
    m_verifiedIndex = 0;
    m_incomingSnapshot = {};
    writeHardState();
    m_selfVoteSequence = m_lastSequence;
    m_electionDeadline = now + m_options.campaignTimeoutLow + m_random.upTo(m_options.campaignTimeoutHigh - m_options.campaignTimeoutLow);
    for (const auto &member : m_log.membership().members()) {
        if (!member.voter() || member.id() == m_id) {
            continue;
        }
        auto message = makeMessage(member.id());
        auto &request = *message.mutable_vote_request();
        request.set_last_index(m_log.lastIndex());
        request.set_last_term(m_log.lastTerm());
        sendWhenDurable(std::move(message));
    }
}

void RaftNode::becomeLeader(TimePoint now)
{
    m_role = Role::Leader;
    m_leader = m_id;
    m_votes.clear();
    m_peers.clear();
    updatePeers(now);
    appendLocal({m_term, wire::RAFT_ENTRY_KIND_NO_OPERATION, {}});
    m_termStartIndex = m_log.lastIndex();
    m_nextHeartbeat = now + m_options.heartbeatInterval;
}

void RaftNode::receiveVoteRequest(TimePoint now, const wire::RaftMessage &message)
{
    const auto &request = message.vote_request();
    auto makeReply = [&](bool granted) {
        auto reply = makeMessage(message.from());
        reply.mutable_vote_reply()->set_granted(granted);
        reply.mutable_vote_reply()->set_pre_vote(request.pre_vote());
        return reply;
    };
    if (hasRecentLeader(now)) {
        // The lease of the current leader may depend on this member granting no vote. Besides, a member that lost contact with
        // the leader must not end its term.
        if (message.term() < m_term) {
            send(makeReply(false));
        }
        return;
    }
    if (request.pre_vote()) {
        const bool granted = message.term() > m_term && isUpToDate(request);
        auto reply = makeReply(granted);
        if (granted) {
            reply.set_term(message.term());
        }
        send(std::move(reply));
        return;
    }
    if (message.term() > m_term) {
        becomeFollower(now, message.term(), 0);
    }
    const bool mayVote = m_vote == 0 || m_vote == message.from();
    if (message.term() < m_term || !mayVote || m_leader != 0 || !isUpToDate(request)) {
        send(makeReply(false));
        return;
    }
    if (m_vote == 0) {
        m_vote = message.from();
        writeHardState();
    }
    restartElectionTimer(now);
    sendWhenDurable(makeReply(true));
}

void RaftNode::receiveVoteReply(TimePoint now, const wire::RaftMessage &message)
{
    const auto &reply = message.vote_reply();
    if (!reply.granted()) {
        return;
    }
    if (reply.pre_vote()) {
        if (m_role == Role::PreCandidate && message.term() == m_term + 1) {
            m_votes.insert(message.from());
            if (isQuorum(m_votes)) {
                becomeCandidate(now);
            }
        }
    } else if (m_role == Role::Candidate && message.term() == m_term) {
        m_votes.insert(message.from());
        if (isQuorum(m_votes)) {
            becomeLeader(now);
        }
    }
}

void RaftNode::appendLocal(RaftEntry entry)
{
    m_log.append(std::move(entry));
}

void RaftNode::truncateFrom(LogIndex index)
{
    m_log.truncateFrom(index);
    m_writtenIndex = std::min(m_writtenIndex, index - 1);
    m_durableIndex = std::min(m_durableIndex, index - 1);
    // Writes of the removed entries that are still pending must not mark the entries that replace them as durable.
    for (auto &mark : m_durableMarks) {
        mark.index = std::min(mark.index, index - 1);
    }
}

void RaftNode::raiseCommitIndex(LogIndex index)
{
    if (index > m_commitIndex && WAXWING_INVARIANT(index <= m_log.lastIndex(), "raft-commit-beyond-log")) {
        m_commitIndex = index;
    }
}

} // namespace waxwing
