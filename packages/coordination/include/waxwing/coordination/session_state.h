#pragma once

#include <waxwing/coordination/term_position.h>

#include <map>
#include <string>

namespace waxwing
{

/// @brief What a session has set, prepared and written; it follows the session over pooled connections.
struct SessionState
{
    /// @brief A statement as the caller prepared it.
    struct Prepared
    {
        bool writes = false;
        std::string shape;

        auto operator<=>(const Prepared &) const = default;
    };

    std::map<std::string, std::string> values; ///< by name
    std::map<std::string, Prepared, std::less<>> prepared; ///< by the caller's name
    std::map<std::string, TermPosition, std::less<>> positions; ///< last commit by service
};

} // namespace waxwing
