#pragma once

#include <waxwing/wire/waxwing.pb.h>

#include <optional>
#include <string>

namespace waxwing
{

/// @brief Stores the configuration and directory in one file: checksum, then the encoded grant.
/// @param folder data folder
/// @return false if the file or its folder could not be written and synced; the former file is then still whole
bool storeDirectory(const std::string &folder, const wire::Grant &grant);

/// @brief Loads what storeDirectory() stored.
/// @return nothing if there is no file, or if it is damaged; it is a cache, control has the content
std::optional<wire::Grant> loadDirectory(const std::string &folder);

} // namespace waxwing
