#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace waxwing::control
{

/// @brief Target of an HTTP request, split into path segments and query parameters, percent decoded.
struct HttpTarget
{
    std::vector<std::string> path;
    std::map<std::string, std::string, std::less<>> query;

    /// @brief Splits a target; malformed escapes stay as they are.
    static HttpTarget parse(std::string_view target);

    /// @brief Value of a query parameter; empty if it is missing.
    std::string parameter(std::string_view name) const;
};

/// @brief Percent encodes text for use in a path segment or a query value.
std::string percentEncode(std::string_view text);

} // namespace waxwing::control
