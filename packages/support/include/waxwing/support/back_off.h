#pragma once

#include <waxwing/support/random.h>
#include <waxwing/support/time.h>

#include <algorithm>
#include <cstdint>

namespace waxwing
{

/// @brief Pauses between attempts at something that others attempt as well: each is twice the one before, and spread around that.
class BackOff
{
public:
    /// @param first mean of the first pause
    /// @param longest upper bound of the means
    /// @param seed differs between those that attempt
    BackOff(Duration first, Duration longest, std::uint64_t seed)
        : m_first(first)
        , m_longest(longest)
        , m_mean(first)
        , m_random(seed)
    {
    }

    /// @brief Returns the pause after a failed attempt.
    /// @return between half of the mean and one and a half times the mean
    Duration next()
    {
        return next(m_longest);
    }

    /// @brief Like next(), where the bound of the means varies.
    /// @param longest bound of the mean of this pause, beside that of all
    Duration next(Duration longest)
    {
        const auto mean = std::min(m_mean, longest);
        m_mean = std::min(2 * m_mean, m_longest);
        return mean / 2 + m_random.upTo(mean);
    }

    /// @brief Begins again with the first pause.
    void reset()
    {
        m_mean = m_first;
    }

private:
    Duration m_first;
    Duration m_longest;
    Duration m_mean;
    Random m_random;
};

} // namespace waxwing
