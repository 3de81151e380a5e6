#pragma once

namespace waxwing::load
{

/// @brief Runs `waxwing-load run`.
/// @return exit code: 0, 1 after a failure, 2 for wrong usage
int runCommand(int argc, char **argv);

} // namespace waxwing::load
