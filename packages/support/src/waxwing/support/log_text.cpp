#include <waxwing/support/identifier.h>
#include <waxwing/support/log_text.h>
#include <waxwing/support/utf8.h>

#include <algorithm>
#include <cstdint>

namespace waxwing::log
{

namespace
{

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
        const auto character = firstCharacter(text.substr(i));
        const auto bytes = text.substr(i, std::max<std::size_t>(character.length, 1));
        const bool isPlain = character.length != 0 && character.code != '\\' && !isControl(character.code);
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
