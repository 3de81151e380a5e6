#pragma once

#include <waxwing/sessions/statement_holder.h>

#include <cstdint>

namespace waxwing
{

/// @brief Transaction that is open at a holder.
struct ForwardedTransaction
{
    StatementHolder holder;
    std::uint64_t number = 0; ///< as this proxy told the holder
};

} // namespace waxwing
