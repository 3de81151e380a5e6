#include <waxwing/coordination/raft_node.h>
#include <waxwing/support/invariant.h>

#include <algorithm>
#include <functional>
#include <utility>

// The part of RaftNode that leads.
namespace waxwing
{

namespace
{

/// A snapshot chunk without a reply is sent again after this many heartbeats.
constexpr int chunkRetryHeartbeats = 4;

std::uint64_t encodeTime(TimePoint time)
{
    return static_cast<std::uint64_t>(time.time_since_epoch().count());
}

TimePoint decodeTime(std::uint64_t time)
{
    return TimePoint(Duration(static_cast<std::int64_t>(time)));
}

template<class Value>
Value quorumValue(std::vector<Value> values, Value none)
{
    if (values.empty()) {
        return none;
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end(), std::greater<>());
    return *middle;
}

} // namespace

std::optional<LogIndex> RaftNode::propose(std::string command)
{
    if (m_failed || m_role != Role::Leader) {
        return std::nullopt;
    }
    appendLocal({m_term, wire::RAFT_ENTRY_KIND_COMMAND, std::move(command)});
    return m_log.lastIndex();
}

RaftChangeError RaftNode::changeMembership(TimePoint now, const RaftMembershipChange &change, LogIndex &index)
{
    if (m_failed || m_role != Role::Leader) {
        return RaftChangeError::NotLeader;
    }
    if (m_commitIndex < m_termStartIndex) {
        return RaftChangeError::NotReady;
    }
    if (m_log.membershipIndex() > m_commitIndex) {
        return RaftChangeError::InProgress;
    }
    auto membership = m_log.membership();
    auto *members = membership.mutable_members();
    const auto found = std::find_if(members->begin(), members->end(), [&change](const auto &member) { return member.id() == change.id; });
    switch (change.kind) {
    case RaftMembershipChange::Kind::AddLearner: {
        if (found != members->end()) {
            return RaftChangeError::AlreadyMember;
        }
        auto &member = *members->Add();
        member.set_id(change.id);
        member.set_address(change.address);
        break;
    }
    case RaftMembershipChange::Kind::Promote:
        if (found == members->end()) {
            return RaftChangeError::UnknownMember;
        }
        if (found->voter()) {
            return RaftChangeError::AlreadyMember;
        }
        if (!isCaughtUp(now, change.id)) {
            return RaftChangeError::NotCaughtUp;
        }
        found->set_voter(true);
        break;
    case RaftMembershipChange::Kind::Remove:
        if (found == members->end()) {
            return RaftChangeError::UnknownMember;
        }
        if (found->voter() && voterCount(membership) == 1) {
            return RaftChangeError::LastVoter;
        }
        members->erase(found);
        break;
    }
    appendLocal({m_term, wire::RAFT_ENTRY_KIND_MEMBERSHIP, membership.SerializeAsString()});
    updatePeers(now);
    index = m_log.lastIndex();
    return RaftChangeError::None;
}

void RaftNode::compact(LogIndex index, std::string state)
{
    const auto term = m_log.termAt(index);
    if (m_failed || m_compactSequence != 0 || index <= snapshotIndex() || index > m_commitIndex || !term) {
        return;
    }
    m_compactSnapshot = std::make_shared<const RaftSnapshot>(makeRaftSnapshot(index, *term, m_log.membershipAt(index), std::move(state)));
    auto &write = addWrite();
    write.snapshot = m_compactSnapshot;
    m_compactSequence = write.sequence;
}

bool RaftNode::canRead(TimePoint now) const
{
    return !m_failed && m_role == Role::Leader && m_commitIndex >= m_termStartIndex && now < quorumConfirmed(now) + m_options.leaseDuration;
}

bool RaftNode::isCaughtUp(TimePoint now, MemberId id) const
{
    const auto peer = m_peers.find(id);
    return peer != m_peers.end() && peer->second.match + m_options.maxLearnerLagEntries >= m_log.lastIndex() && peer->second.match > 0
        && now < peer->second.confirmed + m_options.electionTimeoutLow;
}

bool RaftNode::isActive(TimePoint now, MemberId id) const
{
    const auto peer = m_peers.find(id);
    return peer != m_peers.end() && now < peer->second.heard + m_options.electionTimeoutHigh;
}

void RaftNode::updatePeers(TimePoint now)
{
    std::erase_if(m_peers, [this](const auto &item) { return findMember(m_log.membership(), item.first) == nullptr; });
    for (const auto &member : m_log.membership().members()) {
        if (member.id() == m_id || m_peers.contains(member.id())) {
            continue;
        }
        auto &peer = m_peers[member.id()];
        peer.next = m_log.lastIndex() + 1;
        peer.heard = now;
        peer.confirmed = TimePoint::min();
    }
}

bool RaftNode::isQuorumHeard(TimePoint now) const
{
    std::vector<TimePoint> heard;
    for (const auto &member : m_log.membership().members()) {
        if (member.voter()) {
            heard.push_back(member.id() == m_id ? now : m_peers.at(member.id()).heard);
        }
    }
    return now < quorumValue(std::move(heard), TimePoint::min()) + m_options.electionTimeoutHigh;
}

TimePoint RaftNode::quorumConfirmed(TimePoint now) const
{
    std::vector<TimePoint> confirmed;
    for (const auto &member : m_log.membership().members()) {
        if (member.voter()) {
            confirmed.push_back(member.id() == m_id ? now : m_peers.at(member.id()).confirmed);
        }
    }
    return quorumValue(std::move(confirmed), TimePoint::min());
}

void RaftNode::noteContact(TimePoint now, Peer &peer, std::uint64_t sentTime)
{
    peer.heard = now;
    if (sentTime != 0) {
        const auto sent = decodeTime(sentTime);
        if (WAXWING_INVARIANT(sent <= now, "raft-reply-before-message")) {
            peer.confirmed = std::max(peer.confirmed, sent);
        }
    }
}

void RaftNode::receiveAppendReply(TimePoint now, const wire::RaftMessage &message)
{
    const auto found = m_peers.find(message.from());
    if (m_role != Role::Leader || found == m_peers.end()) {
        return;
    }
    auto &peer = found->second;
    const auto &reply = message.append_reply();
    noteContact(now, peer, reply.sent_time());
    if (!reply.accepted()) {
        const bool stale = reply.rejected_index() <= peer.match || peer.state == PeerState::Snapshot
            || (peer.state == PeerState::Probe && reply.rejected_index() != peer.next - 1);
        if (!stale) {
            peer.next = std::max(peer.match + 1, std::min<LogIndex>(reply.rejected_index(), reply.last_index() + 1));
            peer.state = PeerState::Probe;
            peer.probeSent = false;
        }
        return;
    }
    if (!WAXWING_INVARIANT(reply.match_index() <= m_log.lastIndex(), "raft-match-beyond-log")) {
        return;
    }
    peer.match = std::max<LogIndex>(peer.match, reply.match_index());
    if (peer.state == PeerState::Snapshot) {
        if (peer.match >= peer.snapshot->index) {
            peer.snapshot.reset();
            peer.state = PeerState::Probe;
            peer.probeSent = false;
            peer.next = peer.match + 1;
        }
    } else {
        peer.next = std::max(peer.next, peer.match + 1);
        peer.state = PeerState::Replicate;
    }
    advanceCommit(now);
}

void RaftNode::receiveSnapshotReply(TimePoint now, const wire::RaftMessage &message)
{
    const auto found = m_peers.find(message.from());
    if (m_role != Role::Leader || found == m_peers.end()) {
        return;
    }
    auto &peer = found->second;
    const auto &reply = message.snapshot_reply();
    noteContact(now, peer, reply.sent_time());
    if (peer.state != PeerState::Snapshot || reply.index() != peer.snapshot->index) {
        return;
    }
    if (reply.next_offset() >= peer.snapshot->encoded.size()) {
        peer.match = std::max(peer.match, peer.snapshot->index);
        peer.next = peer.match + 1;
        peer.state = PeerState::Probe;
        peer.probeSent = false;
        peer.snapshot.reset();
        advanceCommit(now);
    } else if (reply.next_offset() != peer.offset) {
        peer.offset = reply.next_offset();
        sendChunk(now, message.from(), peer);
    }
}

void RaftNode::advanceCommit(TimePoint now)
{
    std::vector<LogIndex> matches;
    for (const auto &member : m_log.membership().members()) {
        if (member.voter()) {
            matches.push_back(member.id() == m_id ? m_durableIndex : m_peers.at(member.id()).match);
        }
    }
    const auto index = quorumValue(std::move(matches), LogIndex(0));
    // Only entries of the leader's own term are committed by counting (Raft, section 5.4.2).
    if (index <= m_commitIndex || m_log.termAt(index) != m_term) {
        return;
    }
    raiseCommit(index);
    m_announceCommit = true;
    if (!isVoter(m_log.membership(), m_id) && m_log.membershipIndex() <= m_commitIndex) {
        sendHeartbeats(now);
        becomeFollower(now, m_term, 0);
    }
}

void RaftNode::sendHeartbeats(TimePoint now)
{
    m_nextHeartbeat = now + m_options.heartbeatInterval;
    for (auto &[id, peer] : m_peers) {
        peer.probeSent = false;
        sendAppend(now, id, peer, 0);
        if (peer.state == PeerState::Snapshot && now >= peer.chunkSent + m_options.heartbeatInterval * chunkRetryHeartbeats) {
            sendChunk(now, id, peer);
        }
    }
}

void RaftNode::sendAppend(TimePoint now, MemberId to, Peer &peer, std::size_t maxBytes)
{
    auto message = makeMessage(to);
    auto &append = *message.mutable_append();
    append.set_sent_time(encodeTime(now));
    append.set_commit_index(m_commitIndex);
    const LogIndex previous = peer.next - 1;
    const auto previousTerm = m_log.termAt(previous);
    if (peer.state != PeerState::Snapshot && previousTerm) {
        append.set_previous_index(previous);
        append.set_previous_term(*previousTerm);
        std::size_t bytes = 0;
        LogIndex index = peer.next;
        for (; index <= m_log.lastIndex() && bytes < maxBytes; ++index) {
            const auto &entry = m_log.at(index);
            auto &copy = *append.add_entries();
            copy.set_term(entry.term);
            copy.set_kind(entry.kind);
            copy.set_data(entry.data);
            bytes += entry.data.size() + sizeof(RaftEntry);
        }
        if (peer.state == PeerState::Replicate) {
            peer.next = index;
        }
    }
    send(std::move(message));
}

void RaftNode::sendChunk(TimePoint now, MemberId to, Peer &peer)
{
    const auto &snapshot = *peer.snapshot;
    peer.offset = std::min(peer.offset, snapshot.encoded.size());
    peer.chunkSent = now;
    auto message = makeMessage(to);
    auto &chunk = *message.mutable_snapshot_chunk();
    chunk.set_index(snapshot.index);
    chunk.set_snapshot_term(snapshot.term);
    chunk.set_offset(peer.offset);
    chunk.set_total(snapshot.encoded.size());
    chunk.set_checksum(snapshot.checksum);
    chunk.set_data(snapshot.encoded.substr(peer.offset, m_options.snapshotChunkBytes));
    chunk.set_sent_time(encodeTime(now));
    send(std::move(message));
}

void RaftNode::replicate(TimePoint now)
{
    for (auto &[id, peer] : m_peers) {
        bool sent = false;
        if (peer.state != PeerState::Snapshot && peer.next <= m_log.baseIndex()) {
            if (!WAXWING_INVARIANT(m_snapshot != nullptr && m_snapshot->index >= m_log.baseIndex(), "raft-compacted-without-snapshot")) {
                continue;
            }
            peer.state = PeerState::Snapshot;
            peer.snapshot = m_snapshot;
            peer.offset = 0;
            sendChunk(now, id, peer);
        }
        if (peer.state == PeerState::Probe && !peer.probeSent && peer.next <= m_log.lastIndex()) {
            peer.probeSent = true;
            sendAppend(now, id, peer, m_options.maxAppendBytes);
            sent = true;
        }
        while (peer.state == PeerState::Replicate && peer.next <= m_log.lastIndex() && peer.next <= peer.match + m_options.maxInFlightEntries) {
            sendAppend(now, id, peer, m_options.maxAppendBytes);
            sent = true;
        }
        if (m_announceCommit && !sent && peer.state == PeerState::Replicate) {
            sendAppend(now, id, peer, 0);
        }
    }
    m_announceCommit = false;
}

} // namespace waxwing
