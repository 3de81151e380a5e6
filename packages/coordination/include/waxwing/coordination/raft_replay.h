#pragma once

#include <waxwing/coordination/raft_node.h>

#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace waxwing
{

/// @brief Builds a member's state from the records of its log segments, in order.
class RaftReplay
{
public:
    /// @brief Starts the next segment.
    void beginSegment()
    {
        m_segmentLastIndex = 0;
    }

    /// @brief Adds a record. After a problem, further records are ignored.
    void add(std::string_view payload);

    /// @brief Joins log and snapshot.
    /// @param state receives the result
    /// @return false if they leave a gap; see problem()
    bool finish(std::optional<RaftSnapshot> snapshot, RaftStoredState &state);

    /// @brief Tells whether the log on the disk does not reach the snapshot, or differs from it: a crash came between the
    /// snapshot file and the reset record, which is to be written before further entries.
    bool needsReset() const
    {
        return m_needsReset;
    }

    /// @brief Highest index in the present segment, 0 for none.
    LogIndex segmentLastIndex() const
    {
        return m_segmentLastIndex;
    }

    /// @brief What is inconsistent, empty if nothing is.
    const std::string &problem() const
    {
        return m_problem;
    }

private:
    void addEntry(wire::RaftEntry &entry);

    wire::RaftHardState m_hardState;
    LogIndex m_first = 0; ///< index of the first entry; 0 if the log has none and no reset
    std::deque<RaftEntry> m_entries;
    LogIndex m_segmentLastIndex = 0;
    bool m_needsReset = false;
    std::string m_problem;
};

} // namespace waxwing
