#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace waxwing::load
{

/// @brief One event of the true history of a database, as far as the checker needs it.
struct DatabaseEvent
{
    std::string event; ///< `apply`, `read`, `reject`, `promote`, ...
    std::string database;
    std::string group;
    std::uint64_t term = 0;
    std::uint64_t position = 0;
    std::string key;
    std::string value;
    std::string written; ///< value named by the statement
    std::uint64_t transaction = 0;
    std::string reason;
    std::vector<std::pair<std::uint64_t, std::uint64_t>> terms; ///< of `promote`: term and start position, in order
    std::int64_t time = 0; ///< microseconds
};

} // namespace waxwing::load
