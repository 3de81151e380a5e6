#pragma once

#include <atomic>
#include <cstdint>

namespace waxwing
{

/// @brief Number that any thread may raise or, as a gauge, set.
class Counter
{
public:
    /// @brief Adds to the number.
    void add(std::int64_t amount = 1)
    {
        m_value.fetch_add(amount, std::memory_order_relaxed);
    }

    /// @brief Replaces the number.
    void set(std::int64_t value)
    {
        m_value.store(value, std::memory_order_relaxed);
    }

    /// @brief Present number.
    std::int64_t value() const
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::int64_t> m_value {0};
};

} // namespace waxwing
