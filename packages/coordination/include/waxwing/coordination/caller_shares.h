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
    std::size_t maxCallers = 1024; ///< beyond it, the caller that has recently used the least is dropped
    Duration halfLife = 1s; ///< half-life of the recorded use of slots
    double tolerance = 1.5; ///< multiple of an equal share that a caller may use before others go first
};

/// @brief Recent slot time used by each caller of a group.
class CallerShares
{
public:
    explicit CallerShares(CallerShareOptions options = {});

    /// @brief Adds slot time used by a caller.
    void use(std::string_view caller, Duration slotTime, TimePoint now);

    /// @brief Returns whether a caller has used more than an equal share of the slot time, multiplied by the tolerance.
    /// @param waiting number of callers with waiting statements, including @p caller
    bool isOverShare(std::string_view caller, std::size_t waiting, TimePoint now) const;

    /// @brief Number of callers with recorded use.
    std::size_t size() const;

private:
    CallerShareOptions m_options;
    std::map<std::string, DecayingSum, std::less<>> m_use;
    DecayingSum m_total;
};

} // namespace waxwing
