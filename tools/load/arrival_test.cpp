#include "clairvoyant.h"
#include "load_options.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace waxwing;
using namespace waxwing::load;

class ArrivalTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ArrivalTest);
    CPPUNIT_TEST(sameSeedGivesTheSameSchedule);
    CPPUNIT_TEST(surgeMultipliesTheArrivals);
    CPPUNIT_TEST(clairvoyantScheduleKeepsTheValuableWork);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against policies and baselines that are compared under different loads.
    void sameSeedGivesTheSameSchedule()
    {
        const LoadOptions options {.services = {"a", "b"}, .seed = 5};
        const auto classes = runClasses(options);
        const auto first = planArrivals(options, classes);
        const auto second = planArrivals(options, classes);
        CPPUNIT_ASSERT_EQUAL(first.size(), second.size());
        CPPUNIT_ASSERT(!first.empty() && first.back().planned == second.back().planned && first.back().key == second.back().key);
    }

    // Guards against a surge that is not a surge. The seed is fixed, so that the counts are the same on every run.
    void surgeMultipliesTheArrivals()
    {
        const LoadOptions options {.services = {"a"}, .rate = 1000, .duration = 3s, .seed = 5, .surge = {.start = 1s, .length = 1s, .factor = 3}};
        const auto arrivals = planArrivals(options, runClasses(options));
        const auto inSurge
            = std::count_if(arrivals.begin(), arrivals.end(), [](const Arrival &arrival) { return arrival.planned >= 1s && arrival.planned < 2s; });
        const auto before = std::count_if(arrivals.begin(), arrivals.end(), [](const Arrival &arrival) { return arrival.planned < 1s; });
        CPPUNIT_ASSERT(inSurge > 2 * before && inSurge < 4 * before);
    }

    // Guards against a baseline that is too easy to reach.
    void clairvoyantScheduleKeepsTheValuableWork()
    {
        const std::vector<OperationClass> classes {{.name = "cheap", .isWrite = true, .weight = 1, .costMilliseconds = 10},
                                                   {.name = "dear", .isWrite = true, .weight = 5, .costMilliseconds = 10}};
        const LoadOptions options {.services = {"a"}, .duration = 20ms, .deadline = 20ms, .capacitySlots = 1, .capacityDatabases = 1};
        const std::vector<Arrival> arrivals {{.operation = 0}, {.operation = 1}, {.operation = 1}, {.operation = 0}};
        CPPUNIT_ASSERT_EQUAL(10.0, clairvoyantWeight(options, classes, arrivals, 0, 0s, 1s));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ArrivalTest);
