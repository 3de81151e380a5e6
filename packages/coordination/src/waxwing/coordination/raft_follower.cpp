#include <waxwing/coordination/raft_node.h>
#include <waxwing/support/invariant.h>

#include <xxhash.h>

#include <algorithm>
#include <utility>

// Follower side of RaftNode: append requests and snapshots from the leader.
namespace waxwing
{

namespace
{

/// Larger snapshots are refused, so that a corrupt size field can't exhaust the memory.
constexpr std::uint64_t maxSnapshotBytes = 1ULL << 30;

} // namespace

void RaftNode::followLeader(TimePoint now, MemberId leader)
{
    if (m_role != Role::Follower || m_leader != leader) {
        becomeFollower(now, m_term, leader);
    }
    m_lastLeaderContact = now;
    restartElectionTimer(now);
    // Every later leader has the committed entries, so they need no check against its log.
    m_verifiedIndex = std::max(m_verifiedIndex, m_commitIndex);
}

void RaftNode::receiveAppend(TimePoint now, const wire::RaftMessage &message)
{
    if (!WAXWING_INVARIANT(m_role != Role::Leader && (m_leader == 0 || m_leader == message.from()), "raft-one-leader-per-term")) {
        return;
    }
    followLeader(now, message.from());
    const auto &append = message.append();
    if (!appendFromLeader(append)) {
        if (m_failed) {
            return;
        }
        auto reply = makeMessage(m_leader);
        auto &body = *reply.mutable_append_reply();
        body.set_rejected_index(append.previous_index());
        body.set_last_index(conflictHint(append.previous_index()));
        body.set_sent_time(append.sent_time());
        send(std::move(reply));
        return;
    }
    raiseCommitIndex(std::min<LogIndex>(append.commit_index(), m_verifiedIndex));
    // New entries are acknowledged by stored() once they are durable. A message without new entries is answered at once, even
    // while the disk is slow.
    if (append.entries().empty() || m_writtenIndex == m_log.lastIndex()) {
        acknowledge(append.sent_time());
    }
}

bool RaftNode::appendFromLeader(const wire::RaftAppend &append)
{
    const LogIndex previous = append.previous_index();
    if (previous >= m_log.baseIndex()) {
        if (m_log.termAt(previous) != append.previous_term()) {
            if (!WAXWING_INVARIANT(previous > m_commitIndex || previous == 0, "raft-committed-entry-differs")) {
                fail();
            }
            return false;
        }
    }
    LogIndex index = previous;
    for (const auto &entry : append.entries()) {
        ++index;
        if (index <= m_log.baseIndex()) {
            continue;
        }
        if (const auto term = m_log.termAt(index)) {
            if (*term == entry.term()) {
                continue;
            }
            if (!WAXWING_INVARIANT(index > m_commitIndex, "raft-committed-entry-removed")) {
                fail();
                return false;
            }
            truncateFrom(index);
        }
        appendLocal({entry.term(), entry.kind(), entry.data()});
    }
    m_verifiedIndex = std::max(m_verifiedIndex, std::min(index, m_log.lastIndex()));
    return true;
}

LogIndex RaftNode::conflictHint(LogIndex index) const
{
    if (index > m_log.lastIndex()) {
        return m_log.lastIndex();
    }
    // Skips all entries of the conflicting term, so that the leader needs one message per term instead of one per entry.
    const auto term = m_log.termAt(index);
    while (index > m_log.baseIndex() && index > m_commitIndex && m_log.termAt(index) == term) {
        --index;
    }
    return index;
}

void RaftNode::acknowledge(std::uint64_t sentTime)
{
    auto reply = makeMessage(m_leader);
    auto &body = *reply.mutable_append_reply();
    body.set_accepted(true);
    body.set_match_index(std::min(m_durableIndex, m_verifiedIndex));
    body.set_sent_time(sentTime);
    send(std::move(reply));
}

void RaftNode::receiveSnapshotChunk(TimePoint now, const wire::RaftMessage &message)
{
    if (!WAXWING_INVARIANT(m_role != Role::Leader && (m_leader == 0 || m_leader == message.from()), "raft-one-leader-per-term")) {
        return;
    }
    followLeader(now, message.from());
    const auto &chunk = message.snapshot_chunk();
    if (chunk.index() <= m_commitIndex) {
        acknowledge(chunk.sent_time());
        return;
    }
    if (m_incomingSnapshot.index != chunk.index() || m_incomingSnapshot.term != chunk.snapshot_term() || m_incomingSnapshot.total != chunk.total()
        || m_incomingSnapshot.checksum != chunk.checksum()) {
        m_incomingSnapshot = {chunk.index(), chunk.snapshot_term(), chunk.total(), chunk.checksum(), {}};
    }
    if (chunk.total() <= maxSnapshotBytes && chunk.offset() == m_incomingSnapshot.data.size() && chunk.data().size() <= chunk.total() - chunk.offset()) {
        m_incomingSnapshot.data += chunk.data();
    }
    if (m_incomingSnapshot.data.size() == m_incomingSnapshot.total) {
        auto data = std::exchange(m_incomingSnapshot, {}).data;
        const bool intact = XXH64(data.data(), data.size(), 0) == chunk.checksum();
        auto snapshot = intact ? decodeRaftSnapshot(std::move(data)) : std::nullopt;
        if (snapshot && snapshot->index == chunk.index() && snapshot->term == chunk.snapshot_term()) {
            installSnapshot(now, std::make_shared<const RaftSnapshot>(std::move(*snapshot)));
            auto reply = makeMessage(m_leader);
            reply.mutable_snapshot_reply()->set_index(chunk.index());
            reply.mutable_snapshot_reply()->set_next_offset(chunk.total());
            reply.mutable_snapshot_reply()->set_sent_time(chunk.sent_time());
            sendWhenDurable(std::move(reply));
            return;
        }
    }
    auto reply = makeMessage(m_leader);
    reply.mutable_snapshot_reply()->set_index(chunk.index());
    reply.mutable_snapshot_reply()->set_next_offset(m_incomingSnapshot.data.size());
    reply.mutable_snapshot_reply()->set_sent_time(chunk.sent_time());
    send(std::move(reply));
}

void RaftNode::installSnapshot(TimePoint, std::shared_ptr<const RaftSnapshot> snapshot)
{
    const auto index = snapshot->index;
    const bool matches = m_log.termAt(index) == snapshot->term;
    auto &write = addWrite();
    write.snapshot = snapshot;
    write.reset = !matches;
    if (matches) {
        m_log.compactTo(index);
    } else {
        m_log.reset(index, snapshot->term, snapshot->membership);
        m_writtenIndex = index;
        m_durableIndex = std::min(m_durableIndex, m_commitIndex);
        m_durableMarks.clear();
    }
    m_durableMarks.push_back({write.sequence, index});
    m_snapshot = snapshot;
    m_output.restore = std::move(snapshot);
    m_verifiedIndex = std::max(m_verifiedIndex, index);
    m_commitIndex = index;
}

} // namespace waxwing
