#pragma once

#include <waxwing/state/state_machine.h>
#include <waxwing/wire/raft.pb.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace waxwing
{

using LogTerm = std::uint64_t;
using MemberId = std::uint64_t;

/// @brief Entry of the replicated log; its index follows from its position in the log.
struct RaftEntry
{
    LogTerm term = 0;
    wire::RaftEntryKind kind = wire::RAFT_ENTRY_KIND_COMMAND;
    std::string data;
};

/// @brief Snapshot of the state machine after the entry at `index` was applied.
struct RaftSnapshot
{
    LogIndex index = 0;
    LogTerm term = 0;
    wire::RaftMembership membership;
    std::string encoded; ///< wire::RaftSnapshot, as it is stored and sent
    std::uint64_t checksum = 0; ///< XXH64 of `encoded`
};

/// @brief Encodes a snapshot and computes its checksum.
/// @param state snapshot of the state machine
RaftSnapshot makeRaftSnapshot(LogIndex index, LogTerm term, const wire::RaftMembership &membership, std::string state);

/// @brief Decodes a snapshot.
/// @return nothing if it can't be parsed or has no index
std::optional<RaftSnapshot> decodeRaftSnapshot(std::string encoded);

/// @brief Log entries in memory after the last compaction, and the memberships that they define.
class RaftLog
{
public:
    /// @brief Creates a log that continues after a snapshot.
    /// @param index last entry before the log
    /// @param term its term
    /// @param membership membership at that entry
    void reset(LogIndex index, LogTerm term, const wire::RaftMembership &membership);

    /// @brief Appends an entry.
    void append(RaftEntry entry);

    /// @brief Removes the entries from @p index on.
    void truncateFrom(LogIndex index);

    /// @brief Removes the entries up to and including @p index from memory.
    void compactTo(LogIndex index);

    /// @brief Index of the entry before the first entry in memory.
    LogIndex baseIndex() const
    {
        return m_baseIndex;
    }

    /// @brief Index of the last entry, or the base index if the log is empty.
    LogIndex lastIndex() const
    {
        return m_baseIndex + m_entries.size();
    }

    /// @brief Term of the last entry.
    LogTerm lastTerm() const
    {
        return *termAt(lastIndex());
    }

    /// @brief Term of an entry; nothing unless the entry is in memory or at the base index.
    std::optional<LogTerm> termAt(LogIndex index) const;

    /// @brief Entry at an index between baseIndex() + 1 and lastIndex().
    const RaftEntry &at(LogIndex index) const
    {
        return m_entries[index - m_baseIndex - 1];
    }

    /// @brief Latest membership in the log, whether it is committed or not.
    const wire::RaftMembership &membership() const
    {
        return m_memberships.back().second;
    }

    /// @brief Index of the entry that defined membership().
    LogIndex membershipIndex() const
    {
        return m_memberships.back().first;
    }

    /// @brief Membership that was in force at an index.
    const wire::RaftMembership &membershipAt(LogIndex index) const;

private:
    LogIndex m_baseIndex = 0;
    LogTerm m_baseTerm = 0;
    std::deque<RaftEntry> m_entries;
    std::vector<std::pair<LogIndex, wire::RaftMembership>> m_memberships {{0, {}}};
};

/// @brief Finds a member.
/// @return nullptr if the membership has no member with this identity
const wire::RaftMember *findMember(const wire::RaftMembership &membership, MemberId id);

/// @brief Tells whether a member is a voter.
bool isVoter(const wire::RaftMembership &membership, MemberId id);

std::size_t voterCount(const wire::RaftMembership &membership);

} // namespace waxwing
