#pragma once

#include <string>
#include <vector>

namespace waxwing::control
{

/// @brief Prints the lines about a request from the log files of all processes, and the lines that explain its outcome.
/// @param files paths of log files, in any order
/// @param json print one JSON object per line instead of a table
/// @return exit code: 0 if the request was found, 1 if not or if a file can't be read
int explainRequest(const std::string &request, const std::vector<std::string> &files, bool json);

} // namespace waxwing::control
