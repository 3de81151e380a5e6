#pragma once

#include <waxwing/coordination/raft_node.h>
#include <waxwing/coordination/raft_replay.h>
#include <waxwing/state/record_file.h>
#include <waxwing/state/snapshot_file.h>
#include <waxwing/support/identifier.h>

#include <charconv>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace waxwing
{

/// @brief Disk of one member: `identity`, `snapshot`, and the log in segments `log-N`.
///
/// Each snapshot begins a new segment; segments that hold only entries of the snapshot are then removed.
template<FileSystem Files>
class RaftStore
{
public:
    /// @brief Reads a member's folder, or creates it with a new random identity if it is empty.
    /// @param makeIdentity called for a new identity, never 0
    template<class MakeIdentity>
    static StateResult<std::unique_ptr<RaftStore>> open(Files files, std::string folder, MakeIdentity &&makeIdentity)
    {
        auto store = std::unique_ptr<RaftStore>(new RaftStore(std::move(files), std::move(folder)));
        if (auto result = store->load(makeIdentity); !result) {
            return std::move(result).error();
        }
        return store;
    }

    /// @brief Reads a member's folder, with identities of randomIdentifier().
    static StateResult<std::unique_ptr<RaftStore>> open(Files files, std::string folder)
    {
        return open(std::move(files), std::move(folder), [] { return randomIdentifier(); });
    }

    /// @brief Identity of this disk.
    MemberId id() const
    {
        return m_id;
    }

    /// @brief Takes the state that was read; once.
    RaftStoredState takeState()
    {
        return std::exchange(m_state, {});
    }

    /// @brief Bytes of a torn tail that were cut off, 0 in the usual case.
    std::uint64_t truncatedBytes() const
    {
        return m_segment->truncatedBytes();
    }

    /// @brief Sets what to do when the disk is full.
    /// @param awaitSpace returns after a pause, true to try again
    void setDiskFullHandler(std::function<bool(const StateError &error)> awaitSpace)
    {
        m_awaitSpace = std::move(awaitSpace);
    }

    /// @brief Adds a write to the present group.
    StateResult<void> add(const RaftWrite &write)
    {
        wire::RaftRecord record;
        for (std::size_t i = 0; i < write.entries.size(); ++i) {
            const auto &entry = write.entries[i];
            auto &body = *record.mutable_entry();
            body.set_index(write.firstIndex + i);
            body.set_term(entry.term);
            body.set_kind(entry.kind);
            body.set_data(entry.data);
            append(record);
            m_segmentLast.back() = std::max(m_segmentLast.back(), write.firstIndex + i);
        }
        if (write.hardState) {
            m_hardState = *write.hardState;
            *record.mutable_hard_state() = m_hardState;
            append(record);
        }
        if (write.snapshot) {
            return storeSnapshot(write);
        }
        return boost::outcome_v2::success();
    }

    /// @brief Makes all added writes durable.
    StateResult<void> sync()
    {
        return m_segment->hasPending() ? retryWhileFull([this] { return m_segment->sync(); }) : boost::outcome_v2::success();
    }

private:
    static constexpr std::string_view segmentPrefix = "log-";

    RaftStore(Files files, std::string folder)
        : m_files(std::move(files))
        , m_folder(std::move(folder))
    {
    }

    /// Repeats a step that has changed nothing if it fails for lack of space.
    template<class Step>
    StateResult<void> retryWhileFull(Step &&step)
    {
        auto result = step();
        while (!result && result.error().code == StateErrorCode::DiskFull && m_awaitSpace && m_awaitSpace(result.error())) {
            result = step();
        }
        return result;
    }

    std::string path(std::string_view name) const
    {
        return m_folder + "/" + std::string(name);
    }

    std::string segmentPath(std::uint64_t number) const
    {
        return path(std::string(segmentPrefix) + std::to_string(number));
    }

    void append(const wire::RaftRecord &record)
    {
        record.SerializeToString(&m_encoded);
        m_segment->append(m_encoded);
    }

    void appendReset(const RaftSnapshot &snapshot)
    {
        wire::RaftRecord record;
        record.mutable_reset()->set_index(snapshot.index);
        record.mutable_reset()->set_term(snapshot.term);
        append(record);
    }

    static StateError corrupt(const std::string &path, std::string_view problem)
    {
        return {StateErrorCode::Corrupt, path + ": " + std::string(problem)};
    }

    template<class MakeIdentity>
    StateResult<void> load(MakeIdentity &&makeIdentity)
    {
        BOOST_OUTCOME_TRYV(m_files.createFolder(m_folder));
        BOOST_OUTCOME_TRYV(m_files.syncFolder(folderOf(m_folder)));
        // A process that ended between a rename and the sync left names that can be read yet are not durable.
        BOOST_OUTCOME_TRYV(m_files.syncFolder(m_folder));
        BOOST_OUTCOME_TRY(auto names, m_files.list(m_folder));
        std::vector<std::uint64_t> numbers;
        for (const auto &name : names) {
            std::uint64_t number = 0;
            if (name.starts_with(segmentPrefix) && std::from_chars(name.data() + segmentPrefix.size(), name.data() + name.size(), number).ec == std::errc()) {
                numbers.push_back(number);
            }
        }
        std::sort(numbers.begin(), numbers.end());
        BOOST_OUTCOME_TRY(auto identity, readSnapshotFile(m_files, path("identity")));
        BOOST_OUTCOME_TRY(auto snapshot, readSnapshotFile(m_files, path("snapshot")));
        if (!identity) {
            return create(numbers, snapshot.has_value(), makeIdentity());
        }
        wire::RaftIdentity message;
        if (!message.ParseFromString(*identity) || message.id() == 0) {
            return corrupt(path("identity"), "not readable");
        }
        m_id = message.id();
        return replay(numbers, std::move(snapshot));
    }

    StateResult<void> create(const std::vector<std::uint64_t> &numbers, bool hasSnapshot, MemberId id)
    {
        // The identity is written last. A folder that holds state but no identity lost a file; a new identity in it
        // would vote with the old log.
        bool empty = !hasSnapshot && (numbers.empty() || (numbers.size() == 1 && numbers.front() == 1));
        if (empty && !numbers.empty()) {
            BOOST_OUTCOME_TRY(auto content, m_files.read(segmentPath(1)));
            empty = content.empty();
        }
        if (!empty) {
            return corrupt(path("identity"), "missing in a folder that holds a log or a snapshot");
        }
        BOOST_OUTCOME_TRYV(openSegment(1, RecordFile<Files>::Tail::MayBeTorn, [](std::string_view) {}));
        BOOST_OUTCOME_TRYV(m_files.syncFolder(m_folder));
        wire::RaftIdentity message;
        message.set_id(id);
        BOOST_OUTCOME_TRYV(writeSnapshotFile(m_files, path("identity"), message.SerializeAsString()));
        m_id = id;
        return boost::outcome_v2::success();
    }

    StateResult<void> replay(const std::vector<std::uint64_t> &numbers, std::optional<std::string> encodedSnapshot)
    {
        if (numbers.empty()) {
            return corrupt(m_folder, "the log is missing");
        }
        RaftReplay replay;
        for (std::size_t i = 0; i < numbers.size(); ++i) {
            const bool last = i + 1 == numbers.size();
            if (i > 0 && numbers[i] != numbers[i - 1] + 1) {
                return corrupt(segmentPath(numbers[i - 1] + 1), "missing");
            }
            replay.beginSegment();
            BOOST_OUTCOME_TRYV(openSegment(numbers[i], last ? RecordFile<Files>::Tail::MayBeTorn : RecordFile<Files>::Tail::MustBeIntact,
                                           [&replay](std::string_view payload) { replay.add(payload); }));
            if (!replay.problem().empty()) {
                return corrupt(segmentPath(numbers[i]), replay.problem());
            }
            m_segmentLast.back() = replay.segmentLastIndex();
        }
        std::optional<RaftSnapshot> snapshot;
        if (encodedSnapshot) {
            snapshot = decodeRaftSnapshot(std::move(*encodedSnapshot));
            if (!snapshot) {
                return corrupt(path("snapshot"), "not readable");
            }
        }
        if (!replay.finish(std::move(snapshot), m_state)) {
            return corrupt(segmentPath(numbers.front()), replay.problem());
        }
        m_hardState = m_state.hardState;
        if (replay.needsReset()) {
            appendReset(*m_state.snapshot);
            return sync();
        }
        return boost::outcome_v2::success();
    }

    StateResult<void> openSegment(std::uint64_t number, typename RecordFile<Files>::Tail tail, const std::function<void(std::string_view)> &visit)
    {
        BOOST_OUTCOME_TRY(auto segment, RecordFile<Files>::open(m_files, segmentPath(number), tail, visit));
        m_segment = std::make_unique<RecordFile<Files>>(std::move(segment));
        if (m_segmentLast.empty()) {
            m_firstSegment = number;
        }
        m_segmentLast.push_back(0);
        return boost::outcome_v2::success();
    }

    StateResult<void> storeSnapshot(const RaftWrite &write)
    {
        BOOST_OUTCOME_TRYV(sync());
        BOOST_OUTCOME_TRYV(retryWhileFull([&] { return writeSnapshotFile(m_files, path("snapshot"), write.snapshot->encoded); }));
        const auto number = m_firstSegment + m_segmentLast.size();
        BOOST_OUTCOME_TRYV(openSegment(number, RecordFile<Files>::Tail::MayBeTorn, [](std::string_view) {}));
        wire::RaftRecord record;
        *record.mutable_hard_state() = m_hardState;
        append(record);
        if (write.reset) {
            appendReset(*write.snapshot);
        }
        BOOST_OUTCOME_TRYV(sync());
        BOOST_OUTCOME_TRYV(m_files.syncFolder(m_folder));
        while (m_segmentLast.size() > 1 && (write.reset || m_segmentLast.front() <= write.snapshot->index)) {
            BOOST_OUTCOME_TRYV(m_files.remove(segmentPath(m_firstSegment)));
            // One at a time: two removals that reach the disk in the wrong order would look like a missing segment.
            BOOST_OUTCOME_TRYV(m_files.syncFolder(m_folder));
            m_segmentLast.pop_front();
            ++m_firstSegment;
        }
        return boost::outcome_v2::success();
    }

    Files m_files;
    std::string m_folder;
    MemberId m_id = 0;
    RaftStoredState m_state;
    wire::RaftHardState m_hardState;
    std::unique_ptr<RecordFile<Files>> m_segment; ///< last segment
    std::uint64_t m_firstSegment = 1;
    std::deque<LogIndex> m_segmentLast; ///< highest index in each segment
    std::string m_encoded;
    std::function<bool(const StateError &error)> m_awaitSpace;
};

} // namespace waxwing
