#pragma once

#include <waxwing/state/freshness.h>
#include <waxwing/support/time.h>

#include <string>

namespace waxwing
{

/// @brief Maps a database name that callers use to a service.
struct PoolRoute
{
    std::string name;
    std::string database; ///< database name that callers give at session start
    std::string service;
    Freshness freshness = Freshness::Primary;
    Duration statementTimeout {}; ///< for one statement
    Duration latencyTarget {}; ///< for a whole operation
    Duration maxAge {}; ///< for BoundedAge and OwnWrites
    int priority = 0; ///< 0 is the highest
    bool isPublic = false; ///< callers need no key
};

} // namespace waxwing
