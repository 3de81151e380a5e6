#pragma once

#include "log_entry.h"

#include <cstdint>
#include <vector>

namespace waxwing::standin
{

/// @brief Open transaction of one connection; its writes are applied together at commit.
struct Transaction
{
    std::uint64_t identifier = 0;
    std::uint64_t term = 0; ///< it ends with this term
    std::vector<LogEntry> writes;
};

} // namespace waxwing::standin
