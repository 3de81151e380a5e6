#pragma once

#include <cstdint>
#include <string>

namespace waxwing::standin
{

/// @brief One applied write in the log of a group member.
struct LogEntry
{
    std::uint64_t position = 0;
    std::uint64_t term = 0;
    std::string key;
    std::string value; ///< value of the key after the write
    std::string written; ///< value named by the statement
    std::string correlation; ///< correlation id of the request, as JSON text
    std::uint64_t transaction = 0; ///< transaction on the primary that applied it; 0 outside transactions
};

} // namespace waxwing::standin
