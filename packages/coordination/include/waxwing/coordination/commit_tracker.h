#pragma once

#include <waxwing/coordination/term_position.h>
#include <waxwing/support/time.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace waxwing
{

/// @brief Commits that one proxy has sent to the primary of a service, and the positions at which those that it acknowledged can be.
///
/// A database states the end of its log with an answer. That may include later commits which no replica has received and nobody
/// acknowledges, so that a single proxy knows only bounds of the position of its last commit. An acknowledged commit is preceded in
/// the log of some replica by all earlier ones; whatever lies behind the last acknowledged one is among the unsettled commits of all
/// proxies. Not thread-safe.
class CommitTracker
{
public:
    /// @brief A commit that was sent and is not settled yet.
    struct Commit
    {
        std::uint64_t id = 0;
        TermPosition before; ///< acknowledged() when it was sent
        TimePoint sentAt;
    };

    /// @brief Records that a commit is sent. One of the functions below settles it.
    Commit send(TimePoint now);

    /// @brief Records that a commit is acknowledged to its caller.
    /// @param position that the primary stated with its answer
    /// @param isReplicated a replica has received the commit
    void acknowledge(const Commit &commit, const TermPosition &position, bool isReplicated);

    /// @brief Records that a commit has certainly not run.
    void discard(const Commit &commit);

    /// @brief Records that the outcome of a commit stays unknown, or that it is not acknowledged although it ran.
    void abandon(const Commit &commit, TimePoint now);

    /// @brief Highest position that the primary stated with an acknowledged commit; it may include later commits.
    const TermPosition &acknowledged() const
    {
        return m_acknowledged;
    }

    /// @brief The same, for commits that a replica had received.
    const TermPosition &replicated() const
    {
        return m_replicated;
    }

    /// @brief Position that an acknowledged commit which a replica had received certainly has or follows.
    const TermPosition &acknowledgedAtLeast() const
    {
        return m_acknowledgedAtLeast;
    }

    /// @brief Commits without an outcome that may follow the last acknowledged one in the log.
    std::size_t unsettled() const
    {
        return m_pending.size() + m_abandoned;
    }

    /// @brief Tells whether a commit was acknowledged that was sent when none of before @p time could run any more.
    bool hasSettledAll(TimePoint time) const;

private:
    std::map<std::uint64_t, TimePoint> m_pending; ///< time of sending, by id
    std::uint64_t m_lastId = 0;
    std::size_t m_abandoned = 0; ///< since the last acknowledged commit that was sent when they could not run any more
    TimePoint m_lastAbandonedAt;
    std::optional<TimePoint> m_lastSentAt; ///< of the acknowledged commits that a replica had received
    TermPosition m_acknowledged;
    TermPosition m_replicated;
    TermPosition m_acknowledgedAtLeast;
};

} // namespace waxwing
