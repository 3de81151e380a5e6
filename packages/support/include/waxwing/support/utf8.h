#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace waxwing
{

/// @brief Character at the begin of a text.
struct Utf8Character
{
    std::size_t length = 0; ///< in bytes; 0 if the text does not begin with a valid character
    std::uint32_t code = 0;
};

/// @brief Reads the first character of a text that is not empty.
Utf8Character firstCharacter(std::string_view text);

/// @brief Tells whether text is UTF-8, as the text fields of messages between processes must be.
bool isUtf8(std::string_view text);

} // namespace waxwing
