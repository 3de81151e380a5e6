#pragma once

namespace waxwing
{

/// @brief Measures the replicated log in one process and prints the result as a measurement file.
/// @return exit code: 0, 1 if the files can't be used, 2 for wrong arguments
int runLogBench(int argc, char **argv);

} // namespace waxwing
