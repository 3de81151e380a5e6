#pragma once

namespace waxwing::load
{

/// @brief Runs `waxwing-load check`.
/// @return exit code: 0, 1 if a check found a violation, 2 for wrong usage
int checkCommand(int argc, char **argv);

} // namespace waxwing::load
