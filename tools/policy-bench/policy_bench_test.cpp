#include "clairvoyant_bound.h"
#include "scenarios.h"
#include "simulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

using namespace waxwing;

namespace
{

Arrival arrival(Duration at, Duration cost, Duration deadline, double weight, bool isWrite = false)
{
    return {.at = runStart + at, .deadline = runStart + at + deadline, .cost = cost, .weight = weight, .isWrite = isWrite, .caller = "a"};
}

} // namespace

class PolicyBenchTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PolicyBenchTest);
    CPPUNIT_TEST(boundIsTightForEqualStatements);
    CPPUNIT_TEST(boundHoldsForBestSchedule);
    CPPUNIT_TEST(runsRepeat);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a bound so loose that the goal can't be met. 9 slots serve at most 9 * 11 s / 10 ms of the statements.
    void boundIsTightForEqualStatements()
    {
        std::vector<Arrival> arrivals;
        for (int i = 0; i < 20'000; ++i) {
            arrivals.push_back(arrival(i * 500us, 10ms, 1s, 1.0));
        }
        const double bound = clairvoyantBound(arrivals, 3, 9);
        CPPUNIT_ASSERT(bound >= 9'900.0 && bound <= 1.02 * 9'900.0);
    }

    // Guards against a figure above what is possible, by a bound below the best schedule of small cases: one slot, each
    // order of all statements tried.
    void boundHoldsForBestSchedule()
    {
        constexpr std::uint64_t seed = 61;
        std::cerr << " seed " << seed << ' ';
        Random random(seed);
        for (int round = 0; round < 100; ++round) {
            std::vector<Arrival> arrivals;
            for (int i = 0; i < 6; ++i) {
                arrivals.push_back(arrival(random.upTo(1s), 50ms + random.upTo(500ms), 100ms + random.upTo(1s), random.unit() + 0.1, random.chance(0.5)));
            }
            std::sort(arrivals.begin(), arrivals.end(), [](const Arrival &a, const Arrival &b) { return a.at < b.at; });
            std::vector<std::size_t> order {0, 1, 2, 3, 4, 5};
            double best = 0.0;
            do {
                auto free = runStart;
                double served = 0.0;
                for (const auto index : order) {
                    const auto end = std::max(free, arrivals[index].at) + arrivals[index].cost;
                    if (end <= arrivals[index].deadline) {
                        served += arrivals[index].weight;
                        free = end;
                    }
                }
                best = std::max(best, served);
            } while (std::next_permutation(order.begin(), order.end()));
            CPPUNIT_ASSERT(clairvoyantBound(arrivals, 1, 1) >= best - 1e-9);
        }
    }

    // Guards against figures that differ between two runs of the same seed.
    void runsRepeat()
    {
        const auto profile = profiles().front();
        const auto first = measureStragglers(profile, 0.5, true, 3);
        const auto second = measureStragglers(profile, 0.5, true, 3);
        CPPUNIT_ASSERT_EQUAL(first.policy, second.policy);
        CPPUNIT_ASSERT_EQUAL(first.baseline, second.baseline);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PolicyBenchTest);
