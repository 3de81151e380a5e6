#include <waxwing/coordination/admission_queue.h>
#include <waxwing/support/random.h>

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <set>

using namespace waxwing;

namespace
{

const TimePoint start = TimePoint(100s);
constexpr AvailableSlots slots {.onPrimary = 3.0};

QueuedStatement statement(std::uint64_t id, Duration cost, Duration deadline, double weight = 1.0, std::string caller = "a")
{
    return {
        .id = id,
        .workClass = cost > 20ms ? WorkClass::Long : WorkClass::Short,
        .caller = std::move(caller),
        .weight = weight,
        .predictedCost = cost,
        .arrivedAt = start,
        .deadline = start + deadline,
    };
}

template<class Queue>
std::uint64_t firstOf(const Queue &queue, WorkClass workClass = WorkClass::Short)
{
    const auto *found = queue.first(workClass, [](const QueuedStatement &) { return true; });
    return found == nullptr ? 0 : found->id;
}

} // namespace

class AdmissionQueueTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AdmissionQueueTest);
    CPPUNIT_TEST(densityComesBeforeDeadline);
    CPPUNIT_TEST(earlierDeadlineFirstAtEqualDensity);
    CPPUNIT_TEST(unreachableDeadlineIsRefusedAtOnce);
    CPPUNIT_TEST(writesAheadDoNotDelayReads);
    CPPUNIT_TEST(fifoIgnoresDeadlinesAndClasses);
    CPPUNIT_TEST(fullQueueKeepsTheMoreValuable);
    CPPUNIT_TEST(floodingCallerIsRefusedAndRanksLast);
    CPPUNIT_TEST(overdueStatementsAreRemoved);
    CPPUNIT_TEST(randomOperationsKeepEachStatementOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a cheap statement of high weight that waits behind an expensive one with an earlier deadline.
    void densityComesBeforeDeadline()
    {
        AdmissionQueue<DensityOrder> queue;
        queue.admit(statement(1, 8ms, 200ms), slots, start);
        queue.admit(statement(2, 2ms, 900ms, 2.0), slots, start);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), firstOf(queue));
    }

    // Guards against missed deadlines: of two statements of equal density, the one with the later deadline goes first.
    void earlierDeadlineFirstAtEqualDensity()
    {
        AdmissionQueue<DensityOrder> queue;
        queue.admit(statement(1, 2ms, 900ms), slots, start);
        queue.admit(statement(2, 2ms, 200ms), slots, start);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), firstOf(queue));
    }

    // Guards against a caller that waits in vain: the work ahead of its statement already takes longer than its deadline.
    void unreachableDeadlineIsRefusedAtOnce()
    {
        AdmissionQueue<DensityOrder> queue;
        for (std::uint64_t id = 1; id <= 60; ++id) {
            CPPUNIT_ASSERT(!queue.admit(statement(id, 5ms, 150ms), slots, start).refusal);
        }
        const auto result = queue.admit(statement(61, 5ms, 101ms + 500us, 0.1), slots, start);
        CPPUNIT_ASSERT(result.refusal == RefusalReason::DeadlineUnreachable);
        CPPUNIT_ASSERT(!queue.admit(statement(62, 5ms, 101ms + 500us, 1.0), slots, start).refusal);
    }

    // Guards against reads that are refused because of writes waiting for the primary, although replicas are free.
    void writesAheadDoNotDelayReads()
    {
        AdmissionQueue<DensityOrder> queue({.waitShare = 1.0});
        for (std::uint64_t id = 1; id <= 100; ++id) {
            auto write = statement(id, 5ms, 2s, 4.0);
            write.requiresPrimary = true;
            queue.admit(write, {.onPrimary = 3.0, .onReplicas = 6.0}, start);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(100), queue.size());
        CPPUNIT_ASSERT(!queue.admit(statement(101, 5ms, 10ms), {.onPrimary = 3.0, .onReplicas = 6.0}, start).refusal);
        CPPUNIT_ASSERT(queue.admit(statement(102, 5ms, 10ms), {.onPrimary = 3.0}, start).refusal == RefusalReason::DeadlineUnreachable);
    }

    // Guards against a baseline that uses parts of the policy with which it is compared.
    void fifoIgnoresDeadlinesAndClasses()
    {
        AdmissionQueue<FifoOrder> queue({.predictsDeadlines = false});
        queue.admit(statement(1, 500ms, 400ms), slots, start);
        queue.admit(statement(2, 2ms, 200ms, 2.0), slots, start);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), firstOf(queue));
        CPPUNIT_ASSERT(queue.takeOverdue(start + 100ms).empty());
    }

    // Guards against a queue filled with statements of low value that keeps out those of higher value.
    void fullQueueKeepsTheMoreValuable()
    {
        AdmissionQueue<DensityOrder> queue({.queueLength = 2, .callerShare = 1.0});
        queue.admit(statement(1, 2ms, 900ms), slots, start);
        queue.admit(statement(2, 2ms, 800ms), slots, start);
        const auto moreValuable = queue.admit(statement(3, 2ms, 900ms, 4.0), slots, start);
        CPPUNIT_ASSERT(!moreValuable.refusal && moreValuable.displaced);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), moreValuable.displaced->statement.id);
        CPPUNIT_ASSERT(queue.admit(statement(4, 8ms, 900ms), slots, start).refusal == RefusalReason::QueueFull);
    }

    // Guards against one caller that occupies the whole queue, or all slots, with a flood of statements.
    void floodingCallerIsRefusedAndRanksLast()
    {
        AdmissionQueue<DensityOrder> queue({.queueLength = 10, .callerShare = 0.5});
        for (std::uint64_t id = 1; id <= 5; ++id) {
            CPPUNIT_ASSERT(!queue.admit(statement(id, 1ms, 500ms, 4.0, "flood"), slots, start).refusal);
        }
        CPPUNIT_ASSERT(queue.admit(statement(6, 1ms, 500ms, 4.0, "flood"), slots, start).refusal == RefusalReason::CallerShareExceeded);
        CPPUNIT_ASSERT(!queue.admit(statement(7, 2ms, 900ms, 1.0, "quiet"), slots, start).refusal);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), firstOf(queue));
        queue.recordUse("flood", 1s, start);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), firstOf(queue));
    }

    // Guards against wasted slots: a waiting statement starts although it can no longer meet its deadline.
    void overdueStatementsAreRemoved()
    {
        AdmissionQueue<DensityOrder> queue({.costMargin = 1.0});
        queue.admit(statement(1, 10ms, 100ms), slots, start);
        queue.admit(statement(2, 10ms, 30ms), slots, start);
        CPPUNIT_ASSERT(queue.nextOverdue() == start + 20ms + 1ns);
        CPPUNIT_ASSERT(queue.takeOverdue(start + 20ms).empty());
        const auto refused = queue.takeOverdue(start + 95ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), refused.size());
        for (const auto &[left, reason] : refused) {
            CPPUNIT_ASSERT(reason == (left.id == 2 ? RefusalReason::DeadlinePassed : RefusalReason::DeadlineUnreachable));
        }
    }

    // Guards against a statement that leaves the queue twice or never, and against a queue that exceeds its maximum length.
    void randomOperationsKeepEachStatementOnce()
    {
        constexpr std::uint64_t seed = 7;
        std::cerr << " seed " << seed << ' ';
        Random random(seed);
        AdmissionQueue<DensityOrder> queue({.queueLength = 50, .callerShare = 0.3});
        std::set<std::uint64_t> waiting;
        const auto removeWaiting = [&waiting](std::uint64_t id) {
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), waiting.erase(id));
        };
        auto now = start;
        for (std::uint64_t id = 1; id <= 20'000; ++id) {
            now += random.upTo(1ms);
            auto offered = statement(id, random.upTo(40ms), {}, random.unit() + 0.5, std::string(1, static_cast<char>('a' + random.between(0, 4))));
            offered.deadline = now + random.upTo(300ms);
            offered.arrivedAt = now;
            const auto result = queue.admit(offered, slots, now);
            if (!result.refusal) {
                waiting.insert(id);
            }
            if (result.displaced) {
                removeWaiting(result.displaced->statement.id);
            }
            if (random.chance(0.3)) {
                const auto chosen = firstOf(queue, random.chance(0.5) ? WorkClass::Short : WorkClass::Long);
                if (chosen != 0) {
                    removeWaiting(queue.remove(chosen)->id);
                    queue.recordUse(offered.caller, random.upTo(40ms), now);
                }
            }
            if (random.chance(0.1)) {
                if (const auto cancelled = queue.remove(random.between(1, id))) {
                    removeWaiting(cancelled->id);
                }
            }
            if (random.chance(0.001)) {
                for (const auto &taken : queue.takeAll()) {
                    removeWaiting(taken.id);
                }
            }
            for (const auto &refused : queue.takeOverdue(now)) {
                removeWaiting(refused.statement.id);
            }
            CPPUNIT_ASSERT(queue.size() <= 50);
            CPPUNIT_ASSERT_EQUAL(waiting.size(), queue.size());
            CPPUNIT_ASSERT_EQUAL(queue.size(), queue.size(WorkClass::Short) + queue.size(WorkClass::Long));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionQueueTest);
