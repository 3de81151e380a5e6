#pragma once

#include <waxwing/sessions/statement_holder.h>

#include <cstdint>

namespace waxwing
{

/// @brief Transaction that is open on a connection of another proxy, the holder.
struct ForwardedTransaction
{
    StatementHolder holder;
    std::uint64_t number = 0; ///< chosen by this proxy, see StatementForwarder::nextTransaction()
};

} // namespace waxwing
