#include "arrival.h"

#include "load_options.h"

#include <waxwing/support/random.h>

#include <algorithm>
#include <cmath>

namespace waxwing::load
{

namespace
{

class ZipfKeys
{
public:
    ZipfKeys(unsigned keys, double exponent)
    {
        double sum = 0;
        for (unsigned rank = 1; rank <= keys; ++rank) {
            sum += 1 / std::pow(rank, exponent);
            m_cumulative.push_back(sum);
        }
    }

    unsigned draw(Random &random) const
    {
        const auto found = std::lower_bound(m_cumulative.begin(), m_cumulative.end(), random.unit() * m_cumulative.back());
        return static_cast<unsigned>(found - m_cumulative.begin());
    }

private:
    std::vector<double> m_cumulative;
};

} // namespace

std::vector<Arrival> planArrivals(const LoadOptions &options, const std::vector<OperationClass> &classes)
{
    Random random(options.seed);
    const ZipfKeys keys(options.keys, options.zipf);
    std::vector<Arrival> arrivals;
    for (std::size_t index = 0; index < classes.size(); ++index) {
        const auto peakRate = options.rate * classes[index].share * options.surge.factor;
        if (peakRate <= 0) {
            continue;
        }
        // Thinning: arrivals at the peak rate, of which those outside the surge are kept with probability 1/factor.
        auto time = Duration(0);
        while ((time += Duration(static_cast<Duration::rep>(random.exponential(1e9 / peakRate)))) < options.duration) {
            const bool isInSurge = time >= options.surge.start && time < options.surge.start + options.surge.length;
            if (!isInSurge && !random.chance(1 / options.surge.factor)) {
                continue;
            }
            arrivals.push_back({.planned = time, .operation = index, .service = random.between(0, options.services.size() - 1), .key = keys.draw(random)});
        }
    }
    std::stable_sort(arrivals.begin(), arrivals.end(), [](const Arrival &left, const Arrival &right) { return left.planned < right.planned; });
    return arrivals;
}

} // namespace waxwing::load
