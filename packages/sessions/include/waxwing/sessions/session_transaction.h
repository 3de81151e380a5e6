#pragma once

#include <waxwing/sessions/forwarded_transaction.h>
#include <waxwing/sessions/open_transaction.h>

#include <memory>
#include <string>
#include <variant>

namespace waxwing
{

/// @brief State of a session's transaction: not begun yet, open on a connection of this proxy, or open at a holder.
struct SessionTransaction
{
    std::variant<std::monostate, std::unique_ptr<OpenTransaction>, ForwardedTransaction> open;
    std::string database; ///< id of the database that runs it

    /// @brief Tells whether its first statement has run.
    bool isBegun() const
    {
        return !std::holds_alternative<std::monostate>(open);
    }
};

} // namespace waxwing
