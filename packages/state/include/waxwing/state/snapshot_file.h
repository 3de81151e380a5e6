#pragma once

#include <waxwing/state/file_system.h>

#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace waxwing
{

/// @brief Encodes the content of a snapshot file: magic, length, XXH64, payload.
std::string encodeSnapshotFile(std::string_view payload);

/// @brief Reads the payload of a snapshot file's content.
/// @return nothing if the content is damaged
std::optional<std::string_view> decodeSnapshotFile(std::string_view content);

/// @brief Folder of a path, `.` without one.
std::string folderOf(const std::string &path);

/// @brief Replaces a file as a whole: temporary file, fsync, rename, fsync of the folder.
template<FileSystem Files>
StateResult<void> writeSnapshotFile(Files &files, const std::string &path, std::string_view payload)
{
    const auto temporary = path + ".tmp";
    if (files.exists(temporary)) {
        if (auto result = files.remove(temporary); !result) {
            return result;
        }
    }
    {
        auto file = files.openAppend(temporary);
        if (!file) {
            return std::move(file).error();
        }
        auto result = file.value().append(encodeSnapshotFile(payload));
        if (result) {
            result = file.value().sync();
        }
        if (!result) {
            return result;
        }
    }
    if (auto result = files.rename(temporary, path); !result) {
        return result;
    }
    return files.syncFolder(folderOf(path));
}

/// @brief Reads a file written by writeSnapshotFile().
/// @return the payload, nothing if there is no file, or an error if it is damaged
template<FileSystem Files>
StateResult<std::optional<std::string>> readSnapshotFile(Files &files, const std::string &path)
{
    if (!files.exists(path)) {
        return std::optional<std::string>();
    }
    auto content = files.read(path);
    if (!content) {
        return std::move(content).error();
    }
    const auto payload = decodeSnapshotFile(content.value());
    if (!payload) {
        return StateError {StateErrorCode::Corrupt, path + ": the checksum at offset 0 does not match the content"};
    }
    return std::optional<std::string>(std::string(*payload));
}

} // namespace waxwing
