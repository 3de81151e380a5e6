#include <waxwing/support/identifier.h>

#include <openssl/rand.h>
#include <xxhash.h>

#include <array>
#include <chrono>
#include <cstdio>

namespace waxwing
{

namespace
{

constexpr std::size_t uuidTextLength = 36;

int hexDigit(char character)
{
    if (character >= '0' && character <= '9') {
        return character - '0';
    }
    if (character >= 'a' && character <= 'f') {
        return character - 'a' + 10;
    }
    if (character >= 'A' && character <= 'F') {
        return character - 'A' + 10;
    }
    return -1;
}

bool isHyphenPlace(std::size_t index)
{
    return index == 8 || index == 13 || index == 18 || index == 23;
}

} // namespace

std::string makeUuid7(std::uint64_t unixMilliseconds)
{
    std::array<unsigned char, 16> bytes {};
    RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
    for (std::size_t i = 0; i < 6; ++i) {
        bytes[i] = static_cast<unsigned char>(unixMilliseconds >> (8 * (5 - i)));
    }
    bytes[6] = static_cast<unsigned char>((bytes[6] & 0x0f) | 0x70);
    bytes[8] = static_cast<unsigned char>((bytes[8] & 0x3f) | 0x80);
    static constexpr char digits[] = "0123456789abcdef";
    std::string text;
    text.reserve(uuidTextLength);
    for (const auto byte : bytes) {
        if (isHyphenPlace(text.size())) {
            text.push_back('-');
        }
        text.push_back(digits[byte >> 4]);
        text.push_back(digits[byte & 0x0f]);
    }
    return text;
}

std::string makeUuid7()
{
    return makeUuid7(unixMilliseconds());
}

std::optional<std::uint64_t> uuid7Time(std::string_view text)
{
    if (text.size() != uuidTextLength || text[14] != '7') {
        return std::nullopt;
    }
    std::uint64_t time = 0;
    std::size_t digits = 0;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (isHyphenPlace(i)) {
            if (text[i] != '-') {
                return std::nullopt;
            }
            continue;
        }
        const int digit = hexDigit(text[i]);
        if (digit < 0) {
            return std::nullopt;
        }
        if (digits < 12) {
            time = time * 16 + static_cast<std::uint64_t>(digit);
        }
        ++digits;
    }
    return time;
}

std::uint64_t randomIdentifier()
{
    std::uint64_t value = 0;
    while (value == 0) {
        RAND_bytes(reinterpret_cast<unsigned char *>(&value), sizeof(value));
    }
    return value;
}

std::uint64_t unixMilliseconds()
{
    using namespace std::chrono;
    return static_cast<std::uint64_t>(duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count());
}

std::uint64_t hash64(std::string_view text)
{
    return XXH64(text.data(), text.size(), 0);
}

std::string toHex(std::uint64_t value)
{
    std::array<char, 17> text {};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(value));
    return std::string(text.data());
}

} // namespace waxwing
