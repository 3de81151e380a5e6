#include <waxwing/support/identifier.h>
#include <waxwing/support/log_text.h>

#include <algorithm>

namespace waxwing::log
{

namespace
{

constexpr std::size_t longestCharacter = 4; // bytes in UTF-8

std::uint32_t byteAt(std::string_view text, std::size_t index)
{
    return static_cast<unsigned char>(text[index]);
}

/// Reads the character at the begin of a text.
/// @return its bytes, or 0 if they are not valid UTF-8
std::size_t characterLength(std::string_view text, std::uint32_t &character)
{
    constexpr std::uint32_t smallest[longestCharacter] {0, 0x80, 0x800, 0x10000}; // in as many bytes and one
    const auto first = byteAt(text, 0);
    std::size_t length = 1;
    character = first;
    if (first >= 0xf8 || (first >= 0x80 && first < 0xc0)) {
        return 0;
    }
    if (first >= 0xf0) {
        length = 4;
        character = first & 0x07;
    } else if (first >= 0xe0) {
        length = 3;
        character = first & 0x0f;
    } else if (first >= 0xc0) {
        length = 2;
        character = first & 0x1f;
    }
    if (text.size() < length) {
        return 0;
    }
    for (std::size_t i = 1; i < length; ++i) {
        const auto byte = byteAt(text, i);
        if ((byte & 0xc0) != 0x80) {
            return 0;
        }
        character = (character << 6) | (byte & 0x3f);
    }
    const bool isSurrogate = character >= 0xd800 && character <= 0xdfff;
    return character < smallest[length - 1] || character > 0x10ffff || isSurrogate ? 0 : length;
}

bool isControl(std::uint32_t character)
{
    return character < 0x20 || (character >= 0x7f && character < 0xa0);
}

std::string escaped(std::string_view bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (const char byte : bytes) {
        const auto value = static_cast<unsigned char>(byte);
        text.append("\\x").append(1, digits[value >> 4]).append(1, digits[value & 0x0f]);
    }
    return text;
}

} // namespace

std::string shownText(std::string_view text)
{
    std::string shown;
    shown.reserve(std::min(text.size(), maxTextBytes));
    for (std::size_t i = 0; i < text.size();) {
        std::uint32_t character = 0;
        const auto length = characterLength(text.substr(i), character);
        const auto bytes = text.substr(i, std::max<std::size_t>(length, 1));
        const bool isPlain = length != 0 && character != '\\' && !isControl(character);
        const auto next = isPlain ? std::string(bytes) : escaped(bytes);
        if (shown.size() + next.size() > maxTextBytes) {
            return shown + "...[" + std::to_string(text.size()) + " bytes, " + toHex(hash64(text)) + ']';
        }
        shown += next;
        i += bytes.size();
    }
    return shown;
}

} // namespace waxwing::log
