#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace waxwing
{

/// @brief Creates a UUID of version 7: 48 bits of Unix time in milliseconds, the rest random (OpenSSL).
/// @param unixMilliseconds time to embed
/// @return the UUID in its 36-character text form
std::string makeUuid7(std::uint64_t unixMilliseconds);

/// @brief Creates a UUID of version 7 with the present wall-clock time.
std::string makeUuid7();

/// @brief Reads the time embedded in a UUID of version 7.
/// @param text 36-character text form
/// @return Unix time in milliseconds, or nothing if @p text is not a UUID of version 7
std::optional<std::uint64_t> uuid7Time(std::string_view text);

/// @brief Creates a random 64-bit identifier (OpenSSL); never zero.
std::uint64_t randomIdentifier();

/// @brief Reads the wall clock.
/// @return Unix time in milliseconds
std::uint64_t unixMilliseconds();

/// @brief Hashes text with XXH64, seed 0.
/// @param text any bytes
std::uint64_t hash64(std::string_view text);

/// @brief Formats a number as 16 lower-case hexadecimal digits.
std::string toHex(std::uint64_t value);

} // namespace waxwing
