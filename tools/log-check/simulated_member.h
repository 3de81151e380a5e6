#pragma once

#include <waxwing/coordination/log_membership.h>
#include <waxwing/coordination/raft_store.h>
#include <waxwing/state/memory_file_system.h>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace waxwing
{

/// @brief Process of a simulated member; ends in a crash.
struct SimulatedProcess
{
    std::uint64_t number = 0; ///< distinguishes the processes of one member
    std::unique_ptr<RaftStore<MemoryFileSystem>> store;
    std::optional<RaftNode> node;
    std::optional<LogMembership> membership; ///< only in runs in which the members form and manage the log themselves
    std::deque<RaftWrite> writes; ///< wait for the disk
    std::vector<RaftWrite> group; ///< being written
    LogIndex applied = 0;
    std::uint64_t stateHash = 0; ///< state machine: hash of all applied entries
    std::map<LogIndex, LogTerm> proposals; ///< not yet answered
    LogTerm leaderTerm = 0; ///< last term in which it was seen as leader
    std::int64_t clockOffset = 0; ///< ns
    std::int64_t clockDrift = 0; ///< parts per million
    std::int64_t pausedUntil = 0; ///< simulated ns
    std::int64_t wake = -1; ///< time of the scheduled tick
};

/// @brief Place for a process, with its disk.
struct SimulatedMember
{
    std::unique_ptr<MemoryDisk> disk = std::make_unique<MemoryDisk>();
    MemberId id = 0; ///< identity on the disk
    bool gone = false; ///< never starts again
    std::unique_ptr<SimulatedProcess> process;
};

} // namespace waxwing
