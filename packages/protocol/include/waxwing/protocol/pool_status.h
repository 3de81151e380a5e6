#pragma once

#include <waxwing/coordination/term_position.h>
#include <waxwing/support/time.h>

#include <cstdint>

namespace waxwing
{

/// @brief State of a database as it reports it on request.
struct PoolStatus
{
    bool primary = false;
    std::uint64_t term = 0; ///< highest term known to the database
    TermPosition received; ///< end of the log that it has received, applied or not
    std::uint64_t pausedTerm = 0; ///< it receives nothing before this term; 0 if it receives
    Duration lag {}; ///< delay between receiving and applying a commit
};

} // namespace waxwing
