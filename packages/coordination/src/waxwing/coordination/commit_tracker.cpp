#include <waxwing/coordination/commit_tracker.h>

#include <algorithm>

namespace waxwing
{

namespace
{

// A database rolls a statement back once its connection is closed, and drops a connection whose other end is unreachable after 3 s.
constexpr Duration longestLateRun = 5s;

} // namespace

CommitTracker::Commit CommitTracker::send(TimePoint now)
{
    m_pending.emplace(++m_lastId, now);
    return {m_lastId, m_acknowledged, now};
}

void CommitTracker::acknowledge(const Commit &commit, const TermPosition &position, bool isReplicated)
{
    if (m_pending.erase(commit.id) == 0) {
        return;
    }
    m_acknowledged = std::max(m_acknowledged, position);
    if (!isReplicated) {
        return;
    }
    // The commit follows all that the primary had stated when it was sent.
    const TermPosition certain {position.term, position.term == commit.before.term ? commit.before.position + 1 : 0};
    m_acknowledgedAtLeast = std::max(m_acknowledgedAtLeast, certain);
    m_replicated = std::max(m_replicated, position);
    m_lastSentAt = std::max(m_lastSentAt, std::optional(commit.sentAt));
    if (m_abandoned != 0 && hasSettledAll(m_lastAbandonedAt)) {
        m_abandoned = 0; // they precede the acknowledged commit, or never run
    }
}

void CommitTracker::discard(const Commit &commit)
{
    m_pending.erase(commit.id);
}

void CommitTracker::abandon(const Commit &commit, TimePoint now)
{
    if (m_pending.erase(commit.id) != 0) {
        ++m_abandoned;
        m_lastAbandonedAt = now;
    }
}

bool CommitTracker::hasSettledAll(TimePoint time) const
{
    return m_lastSentAt && *m_lastSentAt >= time + longestLateRun;
}

} // namespace waxwing
