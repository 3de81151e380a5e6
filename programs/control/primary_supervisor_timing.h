#pragma once

#include <waxwing/support/time.h>

/// Timing constants shared by monitoring and changing primaries.
namespace waxwing::control
{

// A primary that refuses connections is checked twice, so that a lost packet does not cause a primary change.
inline constexpr Duration checkInterval = 100ms;
inline constexpr Duration callTimeout = 400ms; // for a command to a database
inline constexpr Duration pollInterval = 20ms; // for conditions that are polled
inline constexpr Duration catchUpTimeout = 600ms; // for a replica to receive the last position of a primary
inline constexpr Duration retryDelay = 150ms; // after a failed attempt; a few round trips between regions

} // namespace waxwing::control
