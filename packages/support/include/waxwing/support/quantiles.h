#pragma once

#include <cstdint>
#include <memory>

namespace waxwing
{

/// @brief Streaming estimate of the distribution of a value (Boost.Accumulators, extended P-square); any thread.
class Quantiles
{
public:
    Quantiles();
    ~Quantiles();
    Quantiles(const Quantiles &) = delete;
    Quantiles &operator=(const Quantiles &) = delete;

    /// @brief Adds one value.
    void add(double value);

    /// @brief Estimates a quantile.
    /// @param probability 0.5, 0.9, 0.99 or 0.999
    /// @return the estimate in the unit of the values, 0 without values
    double quantile(double probability) const;

    /// @brief Number of values added.
    std::uint64_t count() const;

    /// @brief Sum of all values added.
    double sum() const;

private:
    struct Data;
    std::unique_ptr<Data> m_data;
};

} // namespace waxwing
