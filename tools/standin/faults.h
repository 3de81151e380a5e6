#pragma once

#include <waxwing/support/random.h>
#include <waxwing/support/time.h>

#include <boost/json/object.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace waxwing::standin
{

/// @brief Faults that are set at the moment, and how often each took effect.
class Faults
{
public:
    /// @brief Starts without faults.
    /// @param seed seed of the random draws
    explicit Faults(std::uint64_t seed)
        : m_random(seed)
    {
    }

    /// @brief Replaces the faults by those of a request to the admin API; fields that are absent are cleared.
    ///
    /// Fields: `stall`, `refuse`, `cut_group`, `cut_all` (true or false); `slow_factor` (at least 1); `torn`, `late`, `reordered`,
    /// `drop` (probability per answer); `late_ms`.
    /// @return a message if a field is unknown or out of range; the faults are then unchanged
    std::optional<std::string> set(const boost::json::object &fields);

    /// @brief Tells whether a fault of type true/false is set.
    bool isSet(std::string_view fault) const;

    /// @brief Draws whether a fault with a probability happens now, and counts it.
    bool happens(std::string_view fault);

    /// @brief Counts one effect of a fault.
    void count(std::string_view fault);

    /// @brief Factor on the cost of statements.
    double slowFactor() const
    {
        return m_values.contains("slow_factor") ? m_values.find("slow_factor")->second : 1.0;
    }

    /// @brief Delay of a late answer.
    Duration lateBy() const;

    /// @brief Faults and counts for the admin API.
    boost::json::object report() const;

private:
    std::map<std::string, double, std::less<>> m_values;
    std::map<std::string, std::uint64_t, std::less<>> m_counts;
    Random m_random;
};

} // namespace waxwing::standin
