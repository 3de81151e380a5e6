#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace waxwing::log
{

/// Bytes of one text in a log line. Callers choose request ids and shapes of up to 1 MiB.
inline constexpr std::size_t maxTextBytes = 512;

/// @brief Form in which the log shows a text: short, valid UTF-8 and without control characters.
///
/// Control characters, backslashes and bytes that are not part of valid UTF-8 appear as `\xNN`, so that two texts never look
/// the same. A text beyond maxTextBytes is cut and ends with its length and its XXH64: `...[BYTES bytes, HASH]`.
std::string shownText(std::string_view text);

} // namespace waxwing::log
