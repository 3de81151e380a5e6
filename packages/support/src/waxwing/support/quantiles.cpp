#include <waxwing/support/quantiles.h>

// The Boost header below uses std::ostringstream without including it.
// clang-format off
#include <sstream>
// clang-format on

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <mutex>

namespace waxwing
{

namespace
{

namespace acc = boost::accumulators;
using Accumulator = acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square_quantile>>;

constexpr std::array<double, 4> probabilities = {0.5, 0.9, 0.99, 0.999};

} // namespace

struct Quantiles::Data
{
    mutable std::mutex mutex;
    Accumulator accumulator {acc::extended_p_square_probabilities = probabilities};
};

Quantiles::Quantiles()
    : m_data(std::make_unique<Data>())
{
}

Quantiles::~Quantiles() = default;

void Quantiles::add(double value)
{
    const std::lock_guard lock(m_data->mutex);
    m_data->accumulator(value);
}

double Quantiles::quantile(double probability) const
{
    const std::lock_guard lock(m_data->mutex);
    if (acc::count(m_data->accumulator) == 0) {
        return 0.0;
    }
    return acc::quantile(m_data->accumulator, acc::quantile_probability = probability);
}

std::uint64_t Quantiles::count() const
{
    const std::lock_guard lock(m_data->mutex);
    return acc::count(m_data->accumulator);
}

double Quantiles::sum() const
{
    const std::lock_guard lock(m_data->mutex);
    return acc::sum(m_data->accumulator);
}

} // namespace waxwing
