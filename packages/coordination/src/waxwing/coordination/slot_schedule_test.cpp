#include <waxwing/coordination/slot_schedule.h>
#include <waxwing/support/random.h>

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

using namespace waxwing;

namespace
{

const TimePoint start = TimePoint(100s);
constexpr AvailableSlots slots {.onPrimary = 3.0};

QueuedStatement statement(std::uint64_t id, WorkClass workClass, bool requiresPrimary = false)
{
    return {
        .id = id,
        .workClass = workClass,
        .requiresPrimary = requiresPrimary,
        .caller = "a",
        .weight = 1.0,
        .predictedCost = workClass == WorkClass::Long ? Duration(100ms) : Duration(2ms),
        .arrivedAt = start,
        .deadline = start + 10s,
    };
}

EndpointState endpoint(std::string name, std::size_t running, std::size_t runningLong, std::size_t limit = 3)
{
    return {.name = std::move(name), .isUsable = true, .running = running, .limit = limit, .runningLong = runningLong};
}

EligibleEndpoints anywhere(const QueuedStatement &)
{
    return {.preferred = EndpointSet(0b111), .overflow = {}};
}

} // namespace

class SlotScheduleTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SlotScheduleTest);
    CPPUNIT_TEST(longWorkLeavesOneSlot);
    CPPUNIT_TEST(longWorkGetsItsShare);
    CPPUNIT_TEST(overflowOnlyWithoutFreePreferredSlot);
    CPPUNIT_TEST(statementsThatCanNotRunAreSkipped);
    CPPUNIT_TEST(fifoLetsLongWorkHoldAllSlots);
    CPPUNIT_TEST(longWorkLeavesTheLoadOfShortWork);
    CPPUNIT_TEST(readsLeaveThePrimaryToWrites);
    CPPUNIT_TEST(randomLoadKeepsLimits);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against long work that holds all slots of a database.
    void longWorkLeavesOneSlot()
    {
        AdmissionQueue<DensityOrder> queue;
        queue.admit(statement(1, WorkClass::Long), slots, start);
        const SlotSchedule schedule;
        Random random(1);
        const std::vector full {endpoint("a", 2, 2), endpoint("b", 2, 2), endpoint("c", 2, 2)};
        CPPUNIT_ASSERT(!schedule.next(queue, full, anywhere, random, start));
        const std::vector room {endpoint("a", 2, 2), endpoint("b", 2, 1), endpoint("c", 2, 2)};
        const auto chosen = schedule.next(queue, room, anywhere, random, start);
        CPPUNIT_ASSERT(chosen && chosen->endpoint == 1);
        const std::vector single {endpoint("a", 0, 0, 1)};
        CPPUNIT_ASSERT(schedule.next(queue, single, anywhere, random, start));
    }

    // Guards against long work that starves while short work keeps arriving.
    void longWorkGetsItsShare()
    {
        SlotSchedule schedule({.longShare = 0.2});
        Random random(1);
        const std::vector one {endpoint("a", 0, 0)};
        double longTime = 0.0;
        double allTime = 0.0;
        auto now = start;
        for (std::uint64_t id = 1; id < 5'000; id += 2) {
            AdmissionQueue<DensityOrder> queue;
            queue.admit(statement(id, WorkClass::Short), slots, now);
            queue.admit(statement(id + 1, WorkClass::Long), slots, now);
            const auto chosen = schedule.next(queue, one, anywhere, random, now);
            CPPUNIT_ASSERT(chosen);
            const bool isLong = chosen->statement == id + 1;
            const Duration used = isLong ? 100ms : 2ms;
            now += used;
            schedule.recordUse(isLong ? WorkClass::Long : WorkClass::Short, used, true, now);
            longTime += isLong ? 100.0 : 0.0;
            allTime += isLong ? 100.0 : 2.0;
        }
        CPPUNIT_ASSERT(longTime >= 0.18 * allTime);
        CPPUNIT_ASSERT(longTime <= 0.3 * allTime);
    }

    // Guards against reads on the primary while a suitable replica is free.
    void overflowOnlyWithoutFreePreferredSlot()
    {
        AdmissionQueue<DensityOrder> queue;
        queue.admit(statement(1, WorkClass::Short), slots, start);
        const SlotSchedule schedule;
        Random random(1);
        const auto places = [](const QueuedStatement &) {
            return EligibleEndpoints {.preferred = EndpointSet(0b110), .overflow = EndpointSet(0b001)};
        };
        const std::vector busy {endpoint("a", 0, 0), endpoint("b", 3, 0), endpoint("c", 2, 0)};
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), schedule.next(queue, busy, places, random, start)->endpoint);
        const std::vector full {endpoint("a", 0, 0), endpoint("b", 3, 0), endpoint("c", 3, 0)};
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), schedule.next(queue, full, places, random, start)->endpoint);
    }

    // Guards against a write without a primary, or a read that waits for a replica, that blocks the statements behind it.
    void statementsThatCanNotRunAreSkipped()
    {
        AdmissionQueue<DensityOrder> queue;
        queue.admit(statement(1, WorkClass::Short, true), slots, start);
        queue.admit(statement(2, WorkClass::Short), slots, start);
        const SlotSchedule schedule;
        Random random(1);
        const std::vector one {endpoint("a", 2, 0)};
        const auto places = [](const QueuedStatement &candidate) {
            return EligibleEndpoints {.preferred = candidate.requiresPrimary ? EndpointSet() : EndpointSet(0b1), .overflow = {}};
        };
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), schedule.next(queue, one, places, random, start)->statement);
    }

    // Guards against a baseline that has the limit for long work built in.
    void fifoLetsLongWorkHoldAllSlots()
    {
        AdmissionQueue<FifoOrder> queue({.predictsDeadlines = false});
        queue.admit(statement(1, WorkClass::Long), slots, start);
        const SlotSchedule schedule;
        Random random(1);
        const std::vector one {endpoint("a", 2, 2)};
        CPPUNIT_ASSERT(schedule.next(queue, one, anywhere, random, start));
    }

    // Guards against a second long statement that leaves short work less than the slots its load needs, and against long
    // work that then waits without end.
    void longWorkLeavesTheLoadOfShortWork()
    {
        AdmissionQueue<DensityOrder> queue;
        queue.admit(statement(1, WorkClass::Long), slots, start);
        SlotSchedule schedule({.longShare = 0.0});
        Random random(1);
        const std::vector one {endpoint("a", 1, 1)};
        CPPUNIT_ASSERT(schedule.next(queue, one, anywhere, random, start));
        // 0.5 s of slot time in each second.
        for (auto now = start - 20s; now < start; now += 10ms) {
            schedule.recordUse(WorkClass::Short, 5ms, false, now);
        }
        CPPUNIT_ASSERT(!schedule.next(queue, one, anywhere, random, start));
        CPPUNIT_ASSERT(schedule.next(queue, {{endpoint("a", 0, 0)}}, anywhere, random, start));
        CPPUNIT_ASSERT(schedule.next(queue, one, anywhere, random, start + 1200ms));
    }

    // Guards against reads that take the slots of the primary, for which writes wait that can run nowhere else.
    void readsLeaveThePrimaryToWrites()
    {
        AdmissionQueue<DensityOrder> queue;
        auto read = statement(1, WorkClass::Short);
        read.weight = 4.0;
        queue.admit(read, slots, start);
        queue.admit(statement(2, WorkClass::Short, true), slots, start);
        const SlotSchedule schedule;
        Random random(1);
        const std::vector busy {endpoint("a", 2, 0), endpoint("b", 3, 0)};
        const auto places = [](const QueuedStatement &candidate) {
            return candidate.requiresPrimary ? EligibleEndpoints {.preferred = EndpointSet(0b01)}
                                             : EligibleEndpoints {.preferred = EndpointSet(0b10), .overflow = EndpointSet(0b01)};
        };
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), schedule.next(queue, busy, places, random, start)->statement);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), schedule.next(queue, busy, places, random, start + 6s)->statement);
        queue.remove(2);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), schedule.next(queue, busy, places, random, start)->statement);
    }

    // Guards against a statement on a full, unusable or unsuitable endpoint, and long work on all slots, for any load.
    void randomLoadKeepsLimits()
    {
        constexpr std::uint64_t seed = 71;
        std::cerr << " seed " << seed << ' ';
        Random random(seed);
        AdmissionQueue<DensityOrder> queue;
        SlotSchedule schedule;
        std::vector endpoints {endpoint("a", 0, 0), endpoint("b", 0, 0), endpoint("c", 0, 0)};
        std::vector<std::pair<std::size_t, WorkClass>> running;
        auto now = start;
        std::size_t started = 0;
        for (std::uint64_t id = 1; id <= 50'000; ++id) {
            now += random.upTo(2ms);
            auto offered = statement(id, random.chance(0.1) ? WorkClass::Long : WorkClass::Short, random.chance(0.3));
            offered.arrivedAt = now;
            offered.deadline = now + 100ms + random.upTo(2s);
            queue.admit(offered, SlotSchedule::slotsFor(offered, endpoints, 0), now);
            queue.takeOverdue(now);
            auto &changed = endpoints[random.between(0, 2)];
            if (random.chance(0.02)) {
                changed.isUsable = !changed.isUsable;
                changed.limit = random.between(1, 5);
            }
            const auto places = [](const QueuedStatement &candidate) {
                return candidate.requiresPrimary ? EligibleEndpoints {.preferred = EndpointSet(0b001)}
                                                 : EligibleEndpoints {.preferred = EndpointSet(0b110), .overflow = EndpointSet(0b001)};
            };
            while (const auto chosen = schedule.next(queue, endpoints, places, random, now)) {
                const auto taken = queue.remove(chosen->statement);
                auto &target = endpoints[chosen->endpoint];
                CPPUNIT_ASSERT(taken && target.isUsable && target.running < target.limit);
                CPPUNIT_ASSERT(!taken->requiresPrimary || chosen->endpoint == 0);
                const bool isLong = taken->workClass == WorkClass::Long;
                ++target.running;
                target.runningLong += isLong ? 1 : 0;
                CPPUNIT_ASSERT(!isLong || target.limit == 1 || target.runningLong < target.limit);
                running.emplace_back(chosen->endpoint, taken->workClass);
                ++started;
            }
            while (!running.empty() && random.chance(0.6)) {
                const auto done = running.begin() + static_cast<std::ptrdiff_t>(random.between(0, running.size() - 1));
                --endpoints[done->first].running;
                endpoints[done->first].runningLong -= done->second == WorkClass::Long ? 1 : 0;
                schedule.recordUse(done->second, random.upTo(5ms), queue.size(WorkClass::Long) > 0, now);
                running.erase(done);
            }
        }
        CPPUNIT_ASSERT(started > 10'000);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlotScheduleTest);
