#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace waxwing
{

/// @brief Compresses data in the gzip format.
/// @return the compressed data; empty if memory is lacking
std::string compress(std::string_view data);

/// @brief Decompresses data in the gzip format.
/// @param limit largest result, in bytes
/// @return the data; nothing if the input is not complete and valid, or the result is larger than the limit
std::optional<std::string> decompress(std::string_view data, std::size_t limit);

} // namespace waxwing
