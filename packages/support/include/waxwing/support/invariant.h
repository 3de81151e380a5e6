#pragma once

#include <string_view>

namespace waxwing
{

/// @brief Counts and logs a failed invariant; used through WAXWING_INVARIANT.
/// @return @p holds
bool checkInvariant(bool holds, std::string_view name, std::string_view file, int line);

} // namespace waxwing

/// Checks an invariant in every build. Yields whether it holds, so that the caller can take the safe outcome.
/// A failure raises `waxwing_invariant_failures_total{invariant=name}` and is logged.
#define WAXWING_INVARIANT(condition, name) (::waxwing::checkInvariant(static_cast<bool>(condition), name, __FILE__, __LINE__))
