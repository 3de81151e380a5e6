#pragma once

#include <string>
#include <vector>

namespace waxwing::control
{

/// @brief Prints what the log files of all processes tell about a request: its own lines, and what led to them.
/// @param files paths of log files, in any order
/// @param json one JSON object a line instead of a table
/// @return exit code: 0 found, 1 not found or a file can't be read
int explainRequest(const std::string &request, const std::vector<std::string> &files, bool json);

} // namespace waxwing::control
