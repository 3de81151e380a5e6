#pragma once

#include <waxwing/coordination/token_key_ring.h>

#include <string>
#include <variant>

namespace waxwing
{

/// @brief Loads the keys that sign session tokens: one a line, `ID SECRET`; the last one signs.
/// @param path path of the file, which group and others must not be able to read
/// @return the keys, or what is wrong with the file
std::variant<TokenKeyRing, std::string> loadSessionKeys(const std::string &path);

} // namespace waxwing
