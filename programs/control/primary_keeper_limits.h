#pragma once

#include <waxwing/support/time.h>

/// Limits that observation and change of primaries share.
namespace waxwing::control
{

// Between two checks of a primary; a refused one is checked twice, so that a lost packet replaces nothing.
inline constexpr Duration checkSpacing = 100ms;
inline constexpr Duration callLimit = 400ms; // for a command to a database
inline constexpr Duration retryPause = 150ms; // before an attempt that failed is repeated; a few round trips between regions

} // namespace waxwing::control
