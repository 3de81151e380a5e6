#pragma once

#include <string>

namespace waxwing
{

/// @brief Part of a workspace's rate limit that one proxy may use.
struct RateShare
{
    std::string workspace;
    double rate = 0; ///< operations a second
    unsigned burst = 0; ///< operations that may run at once
    unsigned credit = 0; ///< operations to add to those that may run at once, counted once for each grant
    bool isLimited = false; ///< the demand of all proxies exceeds the limit
};

} // namespace waxwing
