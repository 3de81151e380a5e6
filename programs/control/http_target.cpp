#include "http_target.h"

#include <cctype>
#include <charconv>

namespace waxwing::control
{

namespace
{

std::string percentDecode(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned value = 0;
        if (text[i] == '%' && i + 2 < text.size() && std::from_chars(text.data() + i + 1, text.data() + i + 3, value, 16).ptr == text.data() + i + 3) {
            decoded.push_back(static_cast<char>(value));
            i += 2;
        } else {
            decoded.push_back(text[i]);
        }
    }
    return decoded;
}

} // namespace

HttpTarget HttpTarget::parse(std::string_view target)
{
    HttpTarget result;
    const auto queryStart = target.find('?');
    auto path = target.substr(0, queryStart);
    while (!path.empty()) {
        const auto slash = path.find('/');
        if (const auto segment = path.substr(0, slash); !segment.empty()) {
            result.path.push_back(percentDecode(segment));
        }
        path = slash == std::string_view::npos ? std::string_view() : path.substr(slash + 1);
    }
    auto query = queryStart == std::string_view::npos ? std::string_view() : target.substr(queryStart + 1);
    while (!query.empty()) {
        const auto end = query.find('&');
        const auto item = query.substr(0, end);
        const auto equals = item.find('=');
        result.query[percentDecode(item.substr(0, equals))] = equals == std::string_view::npos ? std::string() : percentDecode(item.substr(equals + 1));
        query = end == std::string_view::npos ? std::string_view() : query.substr(end + 1);
    }
    return result;
}

std::string HttpTarget::parameter(std::string_view name) const
{
    const auto found = query.find(name);
    return found == query.end() ? std::string() : found->second;
}

std::string percentEncode(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (const unsigned char c : text) {
        if (std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == '~') {
            encoded.push_back(static_cast<char>(c));
        } else {
            encoded.push_back('%');
            encoded.push_back(digits[c >> 4U]);
            encoded.push_back(digits[c & 15U]);
        }
    }
    return encoded;
}

} // namespace waxwing::control
