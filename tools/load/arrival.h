#pragma once

#include "profile.h"

#include <waxwing/support/time.h>

#include <cstddef>
#include <vector>

namespace waxwing::load
{

struct LoadOptions;

/// @brief One planned operation of the open-loop schedule.
struct Arrival
{
    Duration planned = 0s; ///< since the start of the run
    std::size_t operation = 0; ///< index of its class
    std::size_t service = 0; ///< index of its service
    unsigned key = 0;
};

/// @brief Plans all arrivals of a run: one Poisson process per class, faster during the surge, keys by Zipf's law.
/// @return the arrivals in order of time; the same options give the same schedule
std::vector<Arrival> planArrivals(const LoadOptions &options, const std::vector<OperationClass> &classes);

} // namespace waxwing::load
