#pragma once

#include <compare>
#include <cstdint>

namespace waxwing
{

/// @brief Position in the log of a database group, within a term. Positions are comparable only within one term.
struct TermPosition
{
    std::uint64_t term = 0;
    std::uint64_t position = 0;

    /// Orders by term first; a later term comes after every position of an earlier one.
    auto operator<=>(const TermPosition &other) const = default;
};

} // namespace waxwing
