#pragma once

#include <waxwing/coordination/term_position.h>

#include <map>
#include <string>

namespace waxwing
{

/// @brief Values, prepared statements and last commits of a session, whose statements run on different pooled connections.
struct SessionState
{
    /// @brief Statement that the caller has prepared.
    struct Prepared
    {
        bool writes = false;
        std::string shape;

        auto operator<=>(const Prepared &) const = default;
    };

    std::map<std::string, std::string> values; ///< by name
    std::map<std::string, Prepared, std::less<>> prepared; ///< by the name that the caller gave it
    std::map<std::string, TermPosition, std::less<>> positions; ///< position of the last commit, by service
};

} // namespace waxwing
