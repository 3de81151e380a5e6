#include "log_check.h"
#include "log_simulation.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace waxwing;

class LogSimulationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LogSimulationTest);
    CPPUNIT_TEST(propertiesHoldUnderFaults);
    CPPUNIT_TEST(votersBearRequiredLossesAfterFaults);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two leaders in a term, lost or reverted entries, stale reads, and a log that stops for good.
    void propertiesHoldUnderFaults()
    {
        for (std::uint64_t seed = 1; seed <= 300; ++seed) {
            const auto result = simulateLog({seed, false});
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), std::string(), result.violation);
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), std::uint64_t(0), invariantFailures());
        }
    }

    // Guards against a log that bears fewer losses than required although enough members run: members are stopped, lose their
    // disks, are replaced and return, also in the midst of a membership change.
    void votersBearRequiredLossesAfterFaults()
    {
        for (std::uint64_t seed = 1; seed <= 300; ++seed) {
            const auto result = simulateLog({.seed = seed, .open = true});
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), std::string(), result.violation);
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), std::uint64_t(0), invariantFailures());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogSimulationTest);
