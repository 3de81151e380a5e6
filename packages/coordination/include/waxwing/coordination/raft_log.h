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

/// @brief Entry of the replicated log; its index follows from its place.
struct RaftEntry
{
    LogTerm term = 0;
    wire::RaftEntryKind kind = wire::RAFT_ENTRY_KIND_COMMAND;
    std::string data;
};

/// @brief State of a state machine after an entry.
struct RaftSnapshot
{
    LogIndex index = 0;
    LogTerm term = 0;
    wire::RaftMembership membership;
    std::string encoded; ///< wire::RaftSnapshot, as it is stored and sent
    std::uint64_t checksum = 0; ///< XXH64 of `encoded`
};

/// @brief Makes a snapshot from its parts.
RaftSnapshot makeRaftSnapshot(LogIndex index, LogTerm term, const wire::RaftMembership &membership, std::string state);

/// @brief Reads an encoded snapshot.
/// @return nothing if it is not readable
std::optional<RaftSnapshot> decodeRaftSnapshot(std::string encoded);

/// @brief Entries in memory behind a compaction point, and the membership that they define.
class RaftLog
{
public:
    /// @brief Creates a log that continues after a snapshot.
    /// @param index last entry before the log
    /// @param term its term
    /// @param membership membership at that entry
    void reset(LogIndex index, LogTerm term, const wire::RaftMembership &membership);

    /// @brief Adds an entry at the end.
    void append(RaftEntry entry);

    /// @brief Removes the entries from @p index on.
    void truncateFrom(LogIndex index);

    /// @brief Forgets the entries up to and including @p index.
    void compactTo(LogIndex index);

    /// @brief Index of the entry before the first one held.
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

    /// @brief Term of an entry; nothing if it is not held and not the base.
    std::optional<LogTerm> termAt(LogIndex index) const;

    /// @brief Entry at an index between baseIndex() + 1 and lastIndex().
    const RaftEntry &at(LogIndex index) const
    {
        return m_entries[index - m_baseIndex - 1];
    }

    /// @brief Latest membership in the log, committed or not.
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
/// @return nullptr if it is no member
const wire::RaftMember *findMember(const wire::RaftMembership &membership, MemberId id);

/// @brief Tells whether a member votes.
bool isVoter(const wire::RaftMembership &membership, MemberId id);

/// @brief Number of voters.
std::size_t voterCount(const wire::RaftMembership &membership);

} // namespace waxwing
