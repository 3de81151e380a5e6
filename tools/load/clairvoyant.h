#pragma once

#include "arrival.h"

namespace waxwing::load
{

/// @brief Weighted number of operations that a schedule with knowledge of all arrivals serves on time.
///
/// Greedy by value density: each operation takes free slot time as late as possible between its arrival and its deadline. Writes
/// use the slots of the primary, reads those of the replicas first. Statements may be split, so that the figure is not below that of
/// a schedule of whole statements built in the same order.
/// @param service index of the service
/// @param from start of the part of the run that counts
/// @param to end of that part
double clairvoyantWeight(const LoadOptions &options, const std::vector<OperationClass> &classes, const std::vector<Arrival> &arrivals, std::size_t service,
                         Duration from, Duration to);

} // namespace waxwing::load
