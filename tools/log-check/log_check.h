#pragma once

#include <cstdint>

namespace waxwing
{

/// @brief Runs simulations of the replicated log, prints violations and the number of faults by kind.
/// @return exit code: 0 without violation, 1 with, 2 for wrong arguments
int runLogCheck(int argc, char **argv);

/// @brief Invariant failures of this process so far, over all invariants.
std::uint64_t invariantFailures();

} // namespace waxwing
