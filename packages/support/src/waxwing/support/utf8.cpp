#include <waxwing/support/utf8.h>

#include <array>
#include <bit>

namespace waxwing
{

Utf8Character firstCharacter(std::string_view text)
{
    constexpr unsigned payloadBits = 6; // of each byte that continues a character
    constexpr std::array<std::uint32_t, 4> smallest {0, 0x80, 0x800, 0x10000}; // by the number of continuing bytes
    const auto first = static_cast<unsigned char>(text.front());
    if (first < 0x80U) {
        return {1, first};
    }
    const auto more = static_cast<std::size_t>(std::countl_one(first)) - 1;
    if (more < 1 || more >= smallest.size() || text.size() <= more) {
        return {};
    }
    std::uint32_t code = first & (0x3fU >> more);
    for (std::size_t i = 1; i <= more; ++i) {
        const auto next = static_cast<unsigned char>(text[i]);
        if ((next & 0xc0U) != 0x80U) {
            return {};
        }
        code = (code << payloadBits) | (next & 0x3fU);
    }
    const bool isSurrogate = code >= 0xd800U && code <= 0xdfffU;
    if (code < smallest.at(more) || isSurrogate || code > 0x10ffffU) {
        return {};
    }
    return {more + 1, code};
}

bool isUtf8(std::string_view text)
{
    while (!text.empty()) {
        const auto length = firstCharacter(text).length;
        if (length == 0) {
            return false;
        }
        text.remove_prefix(length);
    }
    return true;
}

} // namespace waxwing
