#include <waxwing/support/random.h>

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>

namespace waxwing
{

std::uint64_t Random::between(std::uint64_t low, std::uint64_t high)
{
    return boost::random::uniform_int_distribution<std::uint64_t>(low, high)(m_engine);
}

double Random::unit()
{
    return boost::random::uniform_01<double>()(m_engine);
}

bool Random::chance(double probability)
{
    return unit() < probability;
}

double Random::exponential(double mean)
{
    return boost::random::exponential_distribution<double>(1.0 / mean)(m_engine);
}

Duration Random::upTo(Duration limit)
{
    return Duration(between(0, static_cast<std::uint64_t>(limit.count())));
}

} // namespace waxwing
