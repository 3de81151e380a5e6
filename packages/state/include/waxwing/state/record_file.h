#pragma once

#include <waxwing/state/file_system.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace waxwing
{

/// Layout of a record: magic (4 bytes), payload length (4), file offset that was durable when the record was written (8),
/// XXH64 of the header, the record's own offset and the payload (8), payload. Numbers are little-endian.
inline constexpr std::size_t recordHeaderBytes = 24;

/// Largest payload; a record whose length field exceeds it is treated as damaged.
inline constexpr std::size_t recordPayloadLimit = 64U << 20;

/// @brief What a scan of a record file found.
struct RecordScan
{
    std::uint64_t validBytes = 0; ///< end of the last intact record
    std::uint64_t records = 0; ///< number of intact records
    std::optional<std::uint64_t> corruptOffset; ///< damaged record that had been durable
};

/// @brief Encodes one record.
/// @param payload content
/// @param offset place of the record in its file
/// @param syncedOffset part of the file that is durable
std::string encodeRecord(std::string_view payload, std::uint64_t offset, std::uint64_t syncedOffset);

/// @brief Reads the records of a file's content.
///
/// Damage is a torn tail, written but never durable, unless an intact record behind it states that the damaged place was
/// durable before that record was written.
/// @param content whole file
/// @param visit called with each intact record up to the first damage
RecordScan scanRecords(std::string_view content, const std::function<void(std::string_view payload)> &visit);

/// @brief Append log with a length and a checksum per record.
///
/// After a failed call the file accepts no more records: the state of the file is unknown until it is opened again. A full
/// disk is the exception: partly written records are truncated, and sync() may be called again.
template<FileSystem Files>
class RecordFile
{
public:
    /// How open() treats damage at the end of the file.
    enum class Tail {
        MayBeTorn, ///< truncate it; the file that was written last
        MustBeIntact, ///< report it; a file that was synced before the next one was begun
    };

    /// @brief Opens a file, creates it when it is absent, and reads all its records.
    /// @param files file system; must outlive the record file
    /// @param visit called with each record
    static StateResult<RecordFile> open(Files &files, const std::string &path, Tail tail, const std::function<void(std::string_view payload)> &visit)
    {
        std::string content;
        if (files.exists(path)) {
            auto read = files.read(path);
            if (!read) {
                return std::move(read).error();
            }
            content = std::move(read).value();
        }
        const auto scan = scanRecords(content, visit);
        const bool damaged = scan.validBytes != content.size();
        if (scan.corruptOffset || (damaged && tail == Tail::MustBeIntact)) {
            const auto offset = scan.corruptOffset.value_or(scan.validBytes);
            return StateError {StateErrorCode::Corrupt, path + ": record at offset " + std::to_string(offset) + " is corrupt"};
        }
        auto file = files.openAppend(path);
        if (!file) {
            return std::move(file).error();
        }
        RecordFile records(std::move(file).value(), path, scan.validBytes);
        if (damaged) {
            if (auto result = records.m_file.truncate(scan.validBytes); !result) {
                return std::move(result).error();
            }
            records.m_truncatedBytes = content.size() - scan.validBytes;
        }
        // Bytes that a previous process wrote without a sync are readable but may not be durable.
        if (auto result = records.m_file.sync(); !result) {
            return std::move(result).error();
        }
        return records;
    }

    /// @brief Adds a record to the buffer that the next sync() writes.
    void append(std::string_view payload)
    {
        m_buffer += encodeRecord(payload, m_syncedBytes + m_buffer.size(), m_syncedBytes);
    }

    /// @brief Writes the added records and waits until they are durable.
    StateResult<void> sync()
    {
        if (m_failure) {
            return *m_failure;
        }
        auto result = m_file.append(m_buffer);
        if (result) {
            result = m_file.sync();
        } else if (result.error().code == StateErrorCode::DiskFull && m_file.truncate(m_syncedBytes)) {
            return result;
        }
        if (!result) {
            m_failure = result.error();
            return result;
        }
        m_syncedBytes += m_buffer.size();
        m_buffer.clear();
        return boost::outcome_v2::success();
    }

    /// @brief Tells whether records were added since the last successful sync().
    bool hasPending() const
    {
        return !m_buffer.empty();
    }

    /// @brief Durable size of the file in bytes.
    std::uint64_t size() const
    {
        return m_syncedBytes;
    }

    /// @brief Bytes of the torn tail that open() truncated.
    std::uint64_t truncatedBytes() const
    {
        return m_truncatedBytes;
    }

    /// @brief Path of the file.
    const std::string &path() const
    {
        return m_path;
    }

private:
    RecordFile(typename Files::File file, std::string path, std::uint64_t size)
        : m_file(std::move(file))
        , m_path(std::move(path))
        , m_syncedBytes(size)
    {
    }

    typename Files::File m_file;
    std::string m_path;
    std::string m_buffer;
    std::uint64_t m_syncedBytes = 0;
    std::uint64_t m_truncatedBytes = 0;
    std::optional<StateError> m_failure;
};

} // namespace waxwing
