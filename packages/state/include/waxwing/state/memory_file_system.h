#pragma once

#include <waxwing/state/file_system.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace waxwing
{

/// @brief Content of a simulated disk, shared by its open files so that it outlives a simulated process.
struct MemoryDisk
{
    /// Bytes of one file; the part up to `synced` survives a crash.
    struct Content
    {
        std::string bytes;
        std::string synced;
    };

    // Shared: open files keep the content while the name table changes, as with an inode.
    std::map<std::string, std::shared_ptr<Content>> names; ///< names as processes see them
    std::map<std::string, std::shared_ptr<Content>> durableNames; ///< names as they are after a crash
    std::optional<std::uint64_t> bytesLeft; ///< free space; nothing for no limit
    bool failSync = false; ///< fsync returns an error

    std::optional<std::uint64_t> operationsUntilStop; ///< then every change fails, as if the process had ended before it

    /// @brief Drops what was not synced.
    /// @param edit called for each file with bytes appended since the last sync, with these bytes; the bytes that it leaves
    /// in place survive the crash
    template<class Edit>
    void crash(Edit &&edit)
    {
        operationsUntilStop.reset();
        names = durableNames;
        for (auto &[name, content] : names) {
            if (content->bytes.starts_with(content->synced)) {
                auto tail = content->bytes.substr(content->synced.size());
                if (!tail.empty()) {
                    edit(tail);
                }
                content->synced += tail;
            }
            content->bytes = content->synced;
        }
    }

    /// @brief Counts an operation that changes the disk.
    /// @return false if the process has ended before it
    bool beginOperation()
    {
        return !operationsUntilStop || (*operationsUntilStop > 0 && (*operationsUntilStop)-- > 0);
    }
};

/// @brief File of a MemoryDisk.
class MemoryFile
{
public:
    MemoryFile(MemoryDisk &disk, std::shared_ptr<MemoryDisk::Content> content, std::string path);

    StateResult<void> append(std::string_view bytes);
    StateResult<void> sync();
    StateResult<void> truncate(std::uint64_t size);

private:
    MemoryDisk *m_disk;
    std::shared_ptr<MemoryDisk::Content> m_content;
    std::string m_path;
};

/// @brief File system for tests: loses unsynced bytes in a crash and returns disk-full and fsync errors.
class MemoryFileSystem
{
public:
    using File = MemoryFile;

    /// @brief Uses a disk.
    /// @param disk must outlive this object
    explicit MemoryFileSystem(MemoryDisk &disk)
        : m_disk(&disk)
    {
    }

    StateResult<File> openAppend(const std::string &path);
    StateResult<std::string> read(const std::string &path);
    bool exists(const std::string &path);
    StateResult<std::vector<std::string>> list(const std::string &path);
    StateResult<void> createFolder(const std::string &path);
    StateResult<void> rename(const std::string &from, const std::string &to);
    StateResult<void> remove(const std::string &path);
    StateResult<void> syncFolder(const std::string &path);

private:
    MemoryDisk *m_disk;
};

static_assert(FileSystem<MemoryFileSystem>);

} // namespace waxwing
