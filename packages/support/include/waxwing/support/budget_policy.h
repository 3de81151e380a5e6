#pragma once

#include <waxwing/support/memory_budget.h>

#include <cstddef>

namespace waxwing
{

/// @brief Decides who gives way when the memory of a MemoryBudget runs short.
class BudgetPolicy
{
public:
    /// Messages up to this length are always read while any memory is left.
    static constexpr std::size_t smallMessage = std::size_t(16) << 10;
    // Shares of the limit in percent.
    static constexpr std::size_t pausePercent = 60; ///< above this, the largest holders are not read from
    static constexpr std::size_t refusePercent = 75; ///< above this, large messages are not taken
    static constexpr std::size_t closePercent = 90; ///< above this, the largest holders are closed; the rest is for small messages
    static constexpr std::size_t statePercent = 25; ///< values and prepared statements of all sessions

    enum class Decision {
        Proceed,
        Pause, ///< ask again later
        Refuse,
    };

    /// @brief Decides whether more of a message is read.
    /// @param length bytes of the message so far
    /// @param growth bytes by which the buffer may grow
    static Decision readMore(const MemoryBudget::Account &account, std::size_t length, std::size_t growth);

    /// @brief Decides whether a complete message is run, or a forwarded one taken.
    /// @param bytes memory for running it
    static Decision run(const MemoryBudget::Account &account, std::size_t length, std::size_t bytes);

    /// @brief Tells whether a session may keep more.
    static bool mayStore(const MemoryBudget::Account &account, std::size_t growth);

    /// @brief Account to be closed; null while enough memory is left.
    static MemoryBudget::Account *closes(const MemoryBudget &budget);
};

} // namespace waxwing
