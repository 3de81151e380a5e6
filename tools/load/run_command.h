#pragma once

namespace waxwing::load
{

/// @brief Runs `waxwing-load run`.
/// @return exit code: 0, 1 after a failure, 2 for wrong usage
int runCommand(int argc, char **argv);

/// @brief Runs `waxwing-load experiment NAME`: the load of a named experiment, with options that override its own.
/// @return exit code as of runCommand()
int experimentCommand(int argc, char **argv);

} // namespace waxwing::load
