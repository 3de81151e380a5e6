#pragma once

#include <waxwing/support/time.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace waxwing
{

class Random;

/// @brief One kind of statement of a workload.
struct Operation
{
    std::string name {};
    double share = 0.0; ///< part of all arrivals
    bool isWrite = false;
    double weight = 1.0;
    Duration cost {}; ///< mean time at the database
    double deviation = 0.2; ///< standard deviation of the cost relative to its mean
    Duration deadline {};
};

/// @brief Size and latencies of a user, from the design page.
struct Profile
{
    std::string name {};
    Duration oneWay {}; ///< between failure domains; a statement holds its slot for a round trip longer than its cost
    std::vector<Operation> operations {};
};

/// @brief Profiles of the design page.
std::vector<Profile> profiles();

/// @brief A statement that arrives.
struct Arrival
{
    TimePoint at {};
    TimePoint deadline {};
    std::size_t operation = 0;
    Duration cost {}; ///< time for which it holds a slot
    double weight = 1.0;
    bool isWrite = false;
    bool isStraggler = false;
    std::uint64_t fingerprint = 0;
    std::string caller {};
};

/// @brief A period of constant demand.
struct Phase
{
    Duration duration {};
    double load = 0.0; ///< slot time demanded, relative to the slots
};

struct Stragglers
{
    double share = 0.0;
    double factor = 50.0; ///< cost relative to that of the operation
    bool ownFingerprint = true; ///< recognisable by its statement, e.g. a bulk report
    bool alsoCost = true; ///< false: the same arrivals at ordinary cost
};

/// Start of each run on the virtual clock.
inline constexpr TimePoint runStart = TimePoint(1000s);

/// @brief Mean slot time of a statement of a workload.
Duration meanCost(const Profile &profile, const Stragglers &stragglers);

/// @brief Generates arrivals with exponentially distributed gaps (open loop).
/// @param slots slots of all databases together
std::vector<Arrival> generateArrivals(const Profile &profile, const std::vector<Phase> &phases, const Stragglers &stragglers, std::size_t slots,
                                      Random &random);

} // namespace waxwing
