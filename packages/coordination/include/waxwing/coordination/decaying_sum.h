#pragma once

#include <waxwing/support/time.h>

#include <cmath>

namespace waxwing
{

/// @brief Sum of amounts whose weight decays exponentially with their age, e.g. recent use of slots.
class DecayingSum
{
public:
    /// @brief Creates an empty sum.
    /// @param halfLife time after which an amount counts half
    explicit DecayingSum(Duration halfLife = 1s)
        : m_halfLife(halfLife)
    {
    }

    /// @brief Adds to the sum.
    void add(double amount, TimePoint now)
    {
        m_value = value(now) + amount;
        m_updatedAt = now > m_updatedAt ? now : m_updatedAt;
    }

    /// @brief Current value of the sum.
    double value(TimePoint now) const
    {
        if (now <= m_updatedAt || m_value == 0.0) {
            return m_value;
        }
        return m_value * std::exp2(-std::chrono::duration<double>(now - m_updatedAt) / std::chrono::duration<double>(m_halfLife));
    }

private:
    Duration m_halfLife;
    double m_value = 0.0;
    TimePoint m_updatedAt {};
};

} // namespace waxwing
