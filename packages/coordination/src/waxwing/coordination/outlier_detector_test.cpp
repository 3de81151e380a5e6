#include <waxwing/coordination/outlier_detector.h>
#include <waxwing/support/random.h>

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <vector>

using namespace waxwing;

namespace
{

const TimePoint start = TimePoint(100s);
const std::vector<std::string> threeMembers {"a", "b", "c"};

} // namespace

class OutlierDetectorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OutlierDetectorTest);
    CPPUNIT_TEST(failingEndpointIsEjectedAndReturns);
    CPPUNIT_TEST(slowEndpointIsEjected);
    CPPUNIT_TEST(atMostAThirdIsEjected);
    CPPUNIT_TEST(uniformSlownessEjectsNone);
    CPPUNIT_TEST(randomResultsKeepTheCap);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a failing database that keeps receiving reads, or receives none again after it has recovered.
    void failingEndpointIsEjectedAndReturns()
    {
        OutlierDetector detector;
        detector.setMembers(threeMembers, start);
        for (int i = 0; i < 4; ++i) {
            detector.onFailure("a", start);
        }
        detector.onSuccess("a", 1.0, start);
        detector.onFailure("a", start);
        CPPUNIT_ASSERT(!detector.isEjected("a", start));
        for (int i = 0; i < 4; ++i) {
            detector.onFailure("a", start);
        }
        CPPUNIT_ASSERT(detector.isEjected("a", start));
        CPPUNIT_ASSERT(detector.returnsAt("a", start) == start + 5s);
        CPPUNIT_ASSERT(!detector.isEjected("a", start + 5s));
    }

    // Guards against slow reads from a database that responds many times slower than the others.
    void slowEndpointIsEjected()
    {
        OutlierDetector detector;
        detector.setMembers(threeMembers, start);
        for (int i = 0; i < 16; ++i) {
            detector.onSuccess("a", 1.0, start);
            detector.onSuccess("b", 1.2, start);
            detector.onSuccess("c", 4.0, start);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), detector.ejected(start));
        for (int i = 0; i < 16; ++i) {
            detector.onSuccess("c", 7.0, start);
        }
        CPPUNIT_ASSERT(detector.isEjected("c", start));
    }

    // Guards against an overload of the remaining databases because too many are ejected.
    void atMostAThirdIsEjected()
    {
        OutlierDetector detector;
        detector.setMembers(threeMembers, start);
        for (int i = 0; i < 50; ++i) {
            for (const auto &name : threeMembers) {
                detector.onFailure(name, start);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), detector.ejected(start));
        OutlierDetector pair;
        pair.setMembers(std::vector<std::string> {"a", "b"}, start);
        for (int i = 0; i < 50; ++i) {
            pair.onFailure("a", start);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), pair.ejected(start));
    }

    // Guards against the ejection of a database although all databases of the group are equally slow.
    void uniformSlownessEjectsNone()
    {
        OutlierDetector detector;
        detector.setMembers(threeMembers, start);
        for (int i = 0; i < 100; ++i) {
            for (const auto &name : threeMembers) {
                detector.onSuccess(name, 20.0, start);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), detector.ejected(start));
    }

    // Guards against sequences of results that eject more than a third of the group, or an endpoint without end.
    void randomResultsKeepTheCap()
    {
        constexpr std::uint64_t seed = 5;
        std::cerr << " seed " << seed << ' ';
        Random random(seed);
        OutlierDetector detector;
        std::vector<std::string> members;
        for (char name = 'a'; name < 'h'; ++name) {
            members.emplace_back(1, name);
        }
        detector.setMembers(members, start);
        auto now = start;
        for (int i = 0; i < 50'000; ++i) {
            now += random.upTo(100ms);
            const auto &member = members[random.between(0, members.size() - 1)];
            if (random.chance(0.6)) {
                detector.onFailure(member, now);
            } else {
                detector.onSuccess(member, random.exponential(3.0), now);
            }
            auto present = members;
            if (random.chance(0.01)) {
                present.resize(random.between(0, members.size()));
                detector.setMembers(present, now);
            }
            CPPUNIT_ASSERT(detector.ejected(now) * 3 <= present.size());
            detector.setMembers(members, now);
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), detector.ejected(now + 61s));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OutlierDetectorTest);
