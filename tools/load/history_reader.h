#pragma once

#include "caller_record.h"
#include "database_event.h"

#include <optional>
#include <string>
#include <vector>

namespace waxwing::load
{

/// @brief Reads the history of a stand-in. An unreadable line, torn by the death of the process, is skipped.
/// @return nothing if the file cannot be opened
std::optional<std::vector<DatabaseEvent>> readDatabaseHistory(const std::string &path);

/// @brief Reads a caller history.
/// @return nothing if the file cannot be opened
std::optional<std::vector<CallerRecord>> readCallerHistory(const std::string &path);

} // namespace waxwing::load
