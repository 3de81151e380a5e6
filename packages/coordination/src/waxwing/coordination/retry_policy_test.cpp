#include <waxwing/coordination/connection_plan.h>
#include <waxwing/coordination/retry_budget.h>
#include <waxwing/coordination/retry_policy.h>
#include <waxwing/support/random.h>

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <iostream>

using namespace waxwing;

static_assert(RetryBudget<TokenBudget> && RetryBudget<UnlimitedBudget>);
static_assert(ConnectionPlanning<ConnectionPlan> && ConnectionPlanning<OnDemandConnections>);

namespace
{

const TimePoint start = TimePoint(100s);

} // namespace

class RetryPolicyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RetryPolicyTest);
    CPPUNIT_TEST(writeThatMayHaveRunIsNeverRepeated);
    CPPUNIT_TEST(delayFitsIntoTheDeadline);
    CPPUNIT_TEST(budgetBoundsRetries);
    CPPUNIT_TEST(exhaustedBudgetDoesNotClaimNotRun);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a write that runs twice because it is retried after a failure that does not prove that it did not run.
    void writeThatMayHaveRunIsNeverRepeated()
    {
        Random random(1);
        const RetryPolicy policy;
        const auto unlimited = [] {
            return true;
        };
        for (const auto failure : {AttemptFailure::ConnectionLost, AttemptFailure::OwnerLost, AttemptFailure::TornResponse}) {
            FailedAttempt attempt {.failure = failure, .isWrite = true, .deadline = start + 10s};
            const auto decision = policy.decide(attempt, unlimited, random, start);
            CPPUNIT_ASSERT(!decision.delay && decision.outcome.kind() == Outcome::Kind::Unknown);
            attempt.isWrite = false;
            CPPUNIT_ASSERT(policy.decide(attempt, unlimited, random, start).delay);
            attempt.inTransaction = true;
            CPPUNIT_ASSERT(!policy.decide(attempt, unlimited, random, start).delay);
        }
        const FailedAttempt rejected {.failure = AttemptFailure::RejectedByEndpoint, .isWrite = true, .deadline = start + 10s};
        CPPUNIT_ASSERT(policy.decide(rejected, unlimited, random, start).delay);
    }

    // Guards against retries after the deadline, at the same time as those of other callers, or without a maximum number.
    void delayFitsIntoTheDeadline()
    {
        Random random(1);
        const RetryPolicy policy;
        const auto unlimited = [] {
            return true;
        };
        bool varies = false;
        std::optional<Duration> last;
        for (int i = 0; i < 1'000; ++i) {
            const FailedAttempt attempt {.attempts = 4, .predictedCost = 5ms, .deadline = start + 15ms};
            const auto delay = policy.decide(attempt, unlimited, random, start).delay;
            CPPUNIT_ASSERT(delay && *delay <= 10ms);
            varies = varies || (last && *last != *delay);
            last = delay;
        }
        CPPUNIT_ASSERT(varies);
        CPPUNIT_ASSERT(!policy.decide({.attempts = 1, .predictedCost = 15ms, .deadline = start + 15ms}, unlimited, random, start).delay);
        CPPUNIT_ASSERT(!policy.decide({.attempts = 5, .deadline = start + 10s}, unlimited, random, start).delay);
    }

    // Guards against an overload that retries make worse when all attempts fail.
    void budgetBoundsRetries()
    {
        TokenBudget service;
        TokenBudget endpoint({.ratio = 0.1, .burst = 5});
        std::size_t retries = 0;
        for (int i = 0; i < 10'000; ++i) {
            service.onRequest();
            endpoint.onRequest();
            while (takeFromBoth(service, endpoint)) {
                ++retries;
            }
        }
        CPPUNIT_ASSERT(retries <= 1'005 && retries >= 990);
        CPPUNIT_ASSERT(service.tokens() <= 20.0 && service.tokens() >= 0.0);
    }

    // Guards against `not-run` being reported for a statement that may have run, because the retry budget is exhausted.
    void exhaustedBudgetDoesNotClaimNotRun()
    {
        Random random(1);
        const RetryPolicy policy;
        const auto none = [] {
            return false;
        };
        const auto notRun = policy.decide({.failure = AttemptFailure::ConnectionFailed, .deadline = start + 1s}, none, random, start);
        CPPUNIT_ASSERT(notRun.outcome == Outcome::notRun(RefusalReason::RetryBudgetExhausted));
        const auto mayHaveRun = policy.decide({.failure = AttemptFailure::ConnectionLost, .deadline = start + 1s}, none, random, start);
        CPPUNIT_ASSERT(mayHaveRun.outcome == Outcome::unknown(UnknownReason::ConnectionLost));
    }
};

class ConnectionPlanTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConnectionPlanTest);
    CPPUNIT_TEST(randomLoadStaysWithinLimits);
    CPPUNIT_TEST(failedConnectionsPause);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against more connections than the owner may have, also after the limit is lowered, more than 4 being opened
    // at a time (e.g. when all load moves to a new primary), and too few idle ones.
    void randomLoadStaysWithinLimits()
    {
        constexpr std::uint64_t seed = 51;
        std::cerr << " seed " << seed << ' ';
        Random random(seed);
        const ConnectionPlan plan;
        ConnectionCounts counts {.limit = 20};
        for (int i = 0; i < 50'000; ++i) {
            if (random.chance(0.001)) {
                counts.limit = random.between(1, 40);
            }
            counts.waiting = random.chance(0.1) ? random.between(0, 500) : 0;
            const auto opened = random.between(0, counts.opening);
            counts.opening -= opened;
            counts.idle += opened;
            const auto started = random.between(0, counts.idle);
            counts.idle -= started;
            counts.busy += started;
            const auto finished = random.between(0, counts.busy);
            counts.busy -= finished;
            counts.idle += finished;
            counts.idle -= plan.toClose(counts);
            const auto before = counts.total();
            counts.opening += plan.toOpen(counts, start);
            CPPUNIT_ASSERT(counts.opening <= 4);
            CPPUNIT_ASSERT(counts.total() <= std::max(before, ownerConnections(counts.limit)));
            CPPUNIT_ASSERT(counts.opening > 0 || counts.idle + counts.opening >= 4 || counts.total() >= ownerConnections(counts.limit));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(18), ownerConnections(20));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), ownerConnections(3));
    }

    // Guards against many connection attempts per second to a database that refuses them.
    void failedConnectionsPause()
    {
        Random random(1);
        ConnectionPlan plan;
        auto now = start;
        std::size_t attempts = 0;
        while (now < start + 10s) {
            if (const auto open = plan.toOpen({.limit = 20, .waiting = 100}, now); open > 0) {
                attempts += open;
                for (std::size_t i = 0; i < open; ++i) {
                    plan.onFailed(random, now);
                }
            }
            now += 1ms;
        }
        // Pauses grow up to 1 s with full jitter, which is 0.5 s on average.
        CPPUNIT_ASSERT(attempts < 60);
        plan.onOpened();
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), plan.toOpen({.limit = 20, .waiting = 100}, now));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryPolicyTest);
CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionPlanTest);
