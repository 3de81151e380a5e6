#pragma once

#include "workload.h"

#include <cstddef>
#include <cstdint>

namespace waxwing
{

/// @brief Head-of-line blocking: short work beside stragglers on one database with 3 slots.
struct StragglerResult
{
    double clean = 0.0; ///< p99 of short work under the policy, the same arrivals at ordinary cost; ms
    double policy = 0.0; ///< p99 of short work under the policy; ms
    double baseline = 0.0; ///< p99 of short work first in, first out; ms
    double longPolicy = 0.0; ///< p99 of the stragglers under the policy; ms
    double longBaseline = 0.0;
};

/// @brief Runs the same arrivals with and without stragglers.
/// @param load slot time demanded, relative to the slots, with stragglers
/// @param ownFingerprint whether stragglers are recognisable by their statement
StragglerResult measureStragglers(const Profile &profile, double load, bool ownFingerprint, std::uint64_t seed);

/// @brief Service at the peak of a surge, and recovery after it, on 3 databases with 3 slots each.
struct SurgeResult
{
    /// Weight served on time, of statements that arrived in the surge, relative to what a clairvoyant schedule can serve of
    /// them at most if it serves those that arrive later, until the last of the surge is due, as well as this run does.
    double policy = 0.0;
    double baseline = 0.0;
    double recoveryPolicy = 0.0; ///< time from the end of the surge until statements are served as before it; s
    double recoveryBaseline = 0.0;
};

struct SurgeOptions
{
    double stragglers = 0.0; ///< part of the arrivals that is 50 times longer
    double longShare = 0.2; ///< part of the slot time that is guaranteed to long work
    double deviation = 0.2; ///< standard deviation of the costs of an operation relative to their mean
};

/// @brief Runs 5 s at normal demand, 10 s at 3 times the capacity, and normal demand again.
SurgeResult measureSurge(const Profile &profile, const SurgeOptions &options, std::uint64_t seed);

} // namespace waxwing
