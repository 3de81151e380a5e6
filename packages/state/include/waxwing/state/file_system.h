#pragma once

#include <waxwing/state/state_error.h>

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace waxwing
{

/// @brief Open file that grows at its end.
template<class T>
concept AppendFile = std::movable<T> && requires(T file, std::string_view bytes, std::uint64_t size)
{
    {
        file.append(bytes)
        } -> std::same_as<StateResult<void>>;
    {
        file.sync()
        } -> std::same_as<StateResult<void>>;
    {
        file.truncate(size)
        } -> std::same_as<StateResult<void>>;
};

/// @brief File operations that durable state needs. Tests use one that loses unsynced bytes and returns errors.
template<class T>
concept FileSystem = std::movable<T> && requires(T files, const std::string &path, std::string name)
{
    typename T::File;
    requires AppendFile<typename T::File>;
    {
        files.openAppend(path)
        } -> std::same_as<StateResult<typename T::File>>; // creates the file when it is absent
    {
        files.read(path)
        } -> std::same_as<StateResult<std::string>>;
    {
        files.exists(path)
        } -> std::same_as<bool>;
    {
        files.list(path)
        } -> std::same_as<StateResult<std::vector<std::string>>>; // names, sorted
    {
        files.createFolder(path)
        } -> std::same_as<StateResult<void>>;
    {
        files.rename(path, path)
        } -> std::same_as<StateResult<void>>;
    {
        files.remove(path)
        } -> std::same_as<StateResult<void>>;
    {
        files.syncFolder(path)
        } -> std::same_as<StateResult<void>>;
};

} // namespace waxwing
