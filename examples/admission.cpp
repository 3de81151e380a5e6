// Admits statements to the queue of a group and chooses which one starts on which database.
#include <waxwing/coordination/slot_schedule.h>
#include <waxwing/support/random.h>

#include <cstdio>
#include <vector>

using namespace waxwing;

int main()
{
    const auto now = Clock::now();
    Random random(1);
    AdmissionQueue<DensityOrder> queue;
    const SlotSchedule schedule;
    std::vector<EndpointState> endpoints {
        {.name = "orders-1", .isUsable = true, .limit = 3},
        {.name = "orders-2", .isUsable = true, .limit = 3},
    };
    const std::vector<QueuedStatement> offered {
        {.id = 1, .caller = "house-a", .predictedCost = 5ms, .arrivedAt = now, .deadline = now + 1s},
        {.id = 2, .requiresPrimary = true, .caller = "house-b", .weight = 2.0, .predictedCost = 5ms, .arrivedAt = now, .deadline = now + 1s},
        {.id = 3, .caller = "house-a", .predictedCost = 50ms, .arrivedAt = now, .deadline = now + 20ms},
    };
    for (const auto &statement : offered) {
        if (const auto refusal = queue.admit(statement, SlotSchedule::slotsFor(statement, endpoints, 0), now).refusal) {
            std::printf("statement %llu: %s\n", static_cast<unsigned long long>(statement.id), code(*refusal).data());
        }
    }
    const auto places = [](const QueuedStatement &statement) {
        return statement.requiresPrimary ? EligibleEndpoints {.preferred = EndpointSet(0b01)}
                                         : EligibleEndpoints {.preferred = EndpointSet(0b10), .overflow = EndpointSet(0b01)};
    };
    while (const auto assignment = schedule.next(queue, endpoints, places, random, now)) {
        queue.remove(assignment->statement);
        ++endpoints[assignment->endpoint].running;
        std::printf("statement %llu runs on %s\n", static_cast<unsigned long long>(assignment->statement), endpoints[assignment->endpoint].name.c_str());
    }
    return 0;
}
