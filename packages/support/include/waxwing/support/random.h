#pragma once

#include <waxwing/support/time.h>

#include <boost/random/mersenne_twister.hpp>

#include <cstdint>

namespace waxwing
{

/// @brief Seeded source of random numbers; the same seed gives the same sequence on every machine.
class Random
{
public:
    /// @brief Starts the sequence.
    /// @param seed any value
    explicit Random(std::uint64_t seed)
        : m_engine(seed)
    {
    }

    /// @brief Draws a whole number.
    /// @param low smallest value, inclusive
    /// @param high largest value, inclusive; at least @p low
    /// @return a uniformly distributed number
    std::uint64_t between(std::uint64_t low, std::uint64_t high);

    /// @brief Draws a real number in [0, 1).
    double unit();

    /// @brief Draws true with the given probability.
    /// @param probability 0 to 1
    bool chance(double probability);

    /// @brief Draws an exponentially distributed number, e.g. the time between arrivals.
    /// @param mean mean of the distribution, greater than zero
    double exponential(double mean);

    /// @brief Draws a duration with full jitter.
    /// @param limit largest duration
    /// @return a uniformly distributed duration in [0, limit]
    Duration upTo(Duration limit);

    /// @brief Engine for use with the distributions of Boost.Random.
    boost::random::mt19937_64 &engine()
    {
        return m_engine;
    }

private:
    boost::random::mt19937_64 m_engine;
};

} // namespace waxwing
