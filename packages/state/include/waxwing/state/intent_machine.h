#pragma once

#include <waxwing/wire/machine.pb.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace waxwing
{

/// @brief Replicated records of statements that must run at most once.
///
/// Keys are UUIDv7, so that a record can be dropped once its key is too old to be accepted again. Time comes from the
/// commands (wall clock of the leader) and never goes back.
class IntentMachine
{
public:
    /// @brief Bounds of the memory used and of the age of keys.
    struct Options
    {
        std::size_t maxRecords = 1'000'000;
        std::size_t maxBytes = 512ULL * 1024 * 1024; ///< recorded answers included
        std::uint64_t retentionMs = 24ULL * 3600 * 1000;
        std::uint64_t clockToleranceMs = 5ULL * 60 * 1000; ///< tolerated difference between wall clocks
    };

    IntentMachine();
    explicit IntentMachine(const Options &options);

    /// @brief Applies one encoded IntentCommand.
    /// @param index log index of the command
    /// @param command encoded IntentCommand
    /// @return an encoded IntentResult
    std::vector<std::byte> apply(std::uint64_t index, std::span<const std::byte> command);

    /// @brief Applies one command.
    wire::IntentResult applyCommand(const wire::IntentCommand &command);

    /// @brief Encodes the whole state as an IntentSnapshot.
    std::vector<std::byte> snapshot() const;

    /// @brief Replaces the state with a snapshot.
    /// @return false if the snapshot is not readable; the state is then unchanged
    bool restore(std::span<const std::byte> bytes);

    /// @brief Number of records held.
    std::size_t size() const
    {
        return m_records.size();
    }

    /// @brief Estimated memory of the records in bytes.
    std::size_t bytes() const
    {
        return m_bytes;
    }

private:
    /// Key and service; in this order the records of UUIDv7 keys are sorted by time.
    using RecordKey = std::pair<std::string, std::string>;

    wire::IntentResult begin(const wire::IntentCommand &command);
    wire::IntentResult finish(const wire::IntentFinish &command);
    wire::IntentResult release(const wire::IntentRelease &command);
    void dropExpired();

    Options m_options;
    std::uint64_t m_clockMs = 0;
    std::size_t m_bytes = 0;
    std::map<RecordKey, wire::IntentRecord> m_records;
};

} // namespace waxwing
