#pragma once

#include <waxwing/coordination/decaying_sum.h>
#include <waxwing/support/time.h>

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace waxwing
{

struct CallerShareOptions
{
    std::size_t maxCallers = 1024; ///< the caller with the least recent use is dropped
    Duration halfLife = 1s; ///< of the use of slots
    double tolerance = 1.5; ///< times the equal share that a caller may use before others go first
};

/// @brief Recent use of slots by each caller of a group.
class CallerShares
{
public:
    explicit CallerShares(CallerShareOptions options = {});

    /// @brief Adds slot time used by a caller.
    void use(std::string_view caller, Duration slotTime, TimePoint now);

    /// @brief Tells whether a caller has used clearly more than an equal share of the slot time of the active callers.
    /// @param waiting number of callers with waiting statements, which includes @p caller
    bool isOverShare(std::string_view caller, std::size_t waiting, TimePoint now) const;

    /// @brief Number of callers kept.
    std::size_t size() const;

private:
    CallerShareOptions m_options;
    std::map<std::string, DecayingSum, std::less<>> m_use;
    DecayingSum m_total;
};

} // namespace waxwing
