#include <waxwing/coordination/concurrency_limit.h>
#include <waxwing/coordination/hedge_policy.h>
#include <waxwing/coordination/slow_start.h>
#include <waxwing/support/random.h>

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

using namespace waxwing;

static_assert(ConcurrencyLimiting<AdaptiveLimit> && ConcurrencyLimiting<FixedLimit>);
static_assert(Hedging<HedgePolicy> && Hedging<NoHedging>);

namespace
{

const TimePoint start = TimePoint(100s);

} // namespace

class ConcurrencyLimitTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConcurrencyLimitTest);
    CPPUNIT_TEST(limitOfSlowEndpointIsLowered);
    CPPUNIT_TEST(rejectionLowersAndRecovers);
    CPPUNIT_TEST(randomResultsStayWithinSlots);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an overloaded database that keeps receiving as many statements as it has slots.
    void limitOfSlowEndpointIsLowered()
    {
        AdaptiveLimit limit(3);
        auto now = start;
        for (int i = 0; i < 200; ++i) {
            limit.onFinished({.cost = 20ms, .predictedCost = 2ms, .running = 3}, now += 10ms);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), limit.limit());
        for (int i = 0; i < 200; ++i) {
            limit.onFinished({.cost = 2ms, .predictedCost = 2ms, .running = limit.limit()}, now += 10ms);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), limit.limit());
    }

    // Guards against a limit that does not fall when an endpoint rejects statements with `no-slot`, or never rises again.
    void rejectionLowersAndRecovers()
    {
        AdaptiveLimit limit(3);
        limit.onRejected(start);
        limit.onRejected(start + 1ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), limit.limit());
        limit.onFinished({.cost = 2ms, .predictedCost = 2ms, .running = 2}, start + 900ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), limit.limit());
        limit.onFinished({.cost = 2ms, .predictedCost = 2ms, .running = 2}, start + 1100ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), limit.limit());
    }

    // Guards against sequences of results and changes of the slots that set the limit to zero, or above the slots.
    void randomResultsStayWithinSlots()
    {
        constexpr std::uint64_t seed = 11;
        std::cerr << " seed " << seed << ' ';
        Random random(seed);
        std::size_t slots = 3;
        AdaptiveLimit limit(slots);
        auto now = start;
        for (int i = 0; i < 20'000; ++i) {
            now += random.upTo(50ms);
            if (random.chance(0.01)) {
                slots = random.between(1, 8);
                limit.setSlots(slots);
            } else if (random.chance(0.05)) {
                limit.onRejected(now);
            } else {
                limit.onFinished({.cost = random.upTo(10ms), .predictedCost = random.upTo(10ms), .running = random.between(1, 8)}, now);
            }
            CPPUNIT_ASSERT(limit.limit() >= 1 && limit.limit() <= slots);
        }
    }
};

class HedgePolicyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HedgePolicyTest);
    CPPUNIT_TEST(onlyStuckShortReadsAreHedged);
    CPPUNIT_TEST(slowStartRaisesTheLimitGradually);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a write that runs twice, a second attempt of a long read, which doubles the most expensive work, and a
    // second attempt that can't finish in time.
    void onlyStuckShortReadsAreHedged()
    {
        const HedgePolicy policy;
        RunningStatement read {.isRead = true, .predictedCost = 4ms, .startedAt = start, .deadline = start + 1s};
        CPPUNIT_ASSERT(policy.hedgeAt(read) == start + 20ms);
        auto other = read;
        other.isRead = false;
        CPPUNIT_ASSERT(!policy.hedgeAt(other));
        other = read;
        other.workClass = WorkClass::Long;
        CPPUNIT_ASSERT(!policy.hedgeAt(other));
        other = read;
        other.attempts = 2;
        CPPUNIT_ASSERT(!policy.hedgeAt(other));
        other = read;
        other.inTransaction = true;
        CPPUNIT_ASSERT(!policy.hedgeAt(other));
        other = read;
        other.deadline = start + 22ms;
        CPPUNIT_ASSERT(!policy.hedgeAt(other));
    }

    // Guards against slow statements on a new database that receives its full load while its caches are still empty.
    void slowStartRaisesTheLimitGradually()
    {
        SlowStart slowStart;
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), slowStart.limit(3, start));
        slowStart.begin(start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), slowStart.limit(3, start));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), slowStart.limit(3, start + 2s));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), slowStart.limit(3, start + 5s));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConcurrencyLimitTest);
CPPUNIT_TEST_SUITE_REGISTRATION(HedgePolicyTest);
