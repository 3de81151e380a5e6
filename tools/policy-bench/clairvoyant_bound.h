#pragma once

#include "workload.h"

#include <cstddef>
#include <span>

namespace waxwing
{

/// @brief Bounds the total weight that any schedule, even one that knows all arrivals and costs, can serve on time.
///
/// It is the Lagrangian dual of a relaxation: time is cut into buckets of 100 ms, a statement may use slot time of any
/// bucket that its time from arrival to deadline touches, may be divided, interrupted and moved between databases, and
/// may earn a part of its weight. A price for the slot time of each bucket then bounds the value: the slot time at its
/// price, plus for each statement what its weight exceeds its cost at the lowest price that it can choose. This holds
/// for any prices; coordinate descent lowers the bound from the price of a plain knapsack.
/// @param arrivals statements that count, in order of arrival
/// @param primarySlots slots that writes can use; reads can use all
/// @param allSlots slots of all databases
/// @return weight; at least that of the best schedule
double clairvoyantBound(std::span<const Arrival> arrivals, std::size_t primarySlots, std::size_t allSlots);

} // namespace waxwing
