#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace waxwing
{

/// @brief Normalised text of a statement: numbers, quoted strings and all words after the second become `?`.
std::string fingerprintText(std::string_view statement);

/// @brief Hash of the fingerprint of a statement.
std::uint64_t fingerprint(std::string_view statement);

} // namespace waxwing
