#pragma once

#include <compare>
#include <cstdint>

namespace waxwing
{

/// @brief Position in the log of a database group, and its term. Positions are comparable only within the same term.
struct TermPosition
{
    std::uint64_t term = 0;
    std::uint64_t position = 0;

    /// Orders by term first: any position of a later term is greater than any of an earlier one.
    auto operator<=>(const TermPosition &other) const = default;
};

} // namespace waxwing
