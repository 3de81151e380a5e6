#pragma once

#include <waxwing/support/time.h>

#include <cmath>

namespace waxwing
{

/// @brief Sum whose older parts lose weight exponentially, e.g. recent use of slots.
class DecayingSum
{
public:
    /// @brief Creates an empty sum.
    /// @param halfLife time after which a part counts half
    explicit DecayingSum(Duration halfLife = 1s)
        : m_halfLife(halfLife)
    {
    }

    /// @brief Adds to the sum.
    void add(double amount, TimePoint now)
    {
        m_value = value(now) + amount;
        m_at = now > m_at ? now : m_at;
    }

    /// @brief Present value of the sum.
    double value(TimePoint now) const
    {
        if (now <= m_at || m_value == 0.0) {
            return m_value;
        }
        return m_value * std::exp2(-std::chrono::duration<double>(now - m_at) / std::chrono::duration<double>(m_halfLife));
    }

private:
    Duration m_halfLife;
    double m_value = 0.0;
    TimePoint m_at {};
};

} // namespace waxwing
