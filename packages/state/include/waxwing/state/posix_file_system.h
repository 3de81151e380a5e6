#pragma once

#include <waxwing/state/file_system.h>

namespace waxwing
{

/// @brief File of the operating system, opened for appending.
class PosixFile
{
public:
    PosixFile() = default;
    PosixFile(int descriptor, std::string path);
    PosixFile(PosixFile &&other) noexcept;
    PosixFile &operator=(PosixFile &&other) noexcept;
    ~PosixFile();

    /// @brief Writes all bytes at the end. A failed call may leave a part of them.
    StateResult<void> append(std::string_view bytes);

    /// @brief Waits until all content is on the disk.
    StateResult<void> sync();

    /// @brief Shortens the file.
    StateResult<void> truncate(std::uint64_t size);

private:
    int m_descriptor = -1;
    std::string m_path;
};

/// @brief Files of the operating system.
class PosixFileSystem
{
public:
    using File = PosixFile;

    /// @brief Opens a file for appending and creates it when it is absent.
    StateResult<File> openAppend(const std::string &path);

    /// @brief Reads a whole file.
    StateResult<std::string> read(const std::string &path);

    /// @brief Tells whether a file or folder exists.
    bool exists(const std::string &path);

    /// @brief Names in a folder, sorted.
    StateResult<std::vector<std::string>> list(const std::string &path);

    /// @brief Creates a folder and its parents; an existing folder is no error.
    StateResult<void> createFolder(const std::string &path);

    /// @brief Replaces @p to by @p from.
    StateResult<void> rename(const std::string &from, const std::string &to);

    /// @brief Removes a file.
    StateResult<void> remove(const std::string &path);

    /// @brief Makes creations, renames and removals in a folder durable.
    StateResult<void> syncFolder(const std::string &path);
};

static_assert(FileSystem<PosixFileSystem>);

} // namespace waxwing
