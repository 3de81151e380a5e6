#pragma once

#include <waxwing/coordination/raft_node.h>

#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace waxwing
{

/// @brief Rebuilds a member's state from the records of its log segments, which must be added in order.
class RaftReplay
{
public:
    /// @brief Starts the next segment.
    void beginSegment()
    {
        m_segmentLastIndex = 0;
    }

    /// @brief Adds a record of the current segment. Records are ignored once problem() is set.
    /// @param payload encoded RaftRecord
    void add(std::string_view payload);

    /// @brief Combines the log with the snapshot.
    /// @param state receives the result
    /// @return false if entries are missing between snapshot and log; see problem()
    bool finish(std::optional<RaftSnapshot> snapshot, RaftStoredState &state);

    /// @brief Tells whether a reset record has to be written before further entries: the log on the disk ends before the
    /// snapshot or conflicts with it, because a crash interrupted the installation of the snapshot after the snapshot file
    /// was written and before the reset record was.
    bool needsReset() const
    {
        return m_needsReset;
    }

    /// @brief Highest index in the current segment, 0 for none.
    LogIndex segmentLastIndex() const
    {
        return m_segmentLastIndex;
    }

    /// @brief Description of the first inconsistency, empty if there is none.
    const std::string &problem() const
    {
        return m_problem;
    }

private:
    void addEntry(wire::RaftEntry &entry);

    wire::RaftHardState m_hardState;
    LogIndex m_firstIndex = 0; ///< index of the first entry; 0 if the log has neither entries nor a reset record
    std::deque<RaftEntry> m_entries;
    LogIndex m_segmentLastIndex = 0;
    bool m_needsReset = false;
    std::string m_problem;
};

} // namespace waxwing
