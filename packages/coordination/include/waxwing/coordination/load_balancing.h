#pragma once

#include <waxwing/support/random.h>
#include <waxwing/support/time.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace waxwing
{

/// @brief Returns an estimate between a measurement and an assumption; the weight of the measurement decays with its age.
/// @param measured latest measurement
/// @param assumed value without a measurement
/// @param age age of the measurement
Duration weightedByAge(Duration measured, Duration assumed, Duration age);

/// @brief Database or proxy that a statement could be sent to.
struct LoadCandidate
{
    unsigned distanceClass = 0; ///< candidates of one class are equally near
    Duration distanceCost {}; ///< cost of the distance beyond the time that it takes, expressed as time
    Duration penalty {}; ///< reason to avoid the candidate that is not part of its expected time
    Duration queueTime {}; ///< expected wait in this process, which is known exactly
    Duration assumed {}; ///< expected time without a measurement
    std::optional<Duration> measured; ///< expected time according to the latest measurement
    Duration age {}; ///< age of the measurement
    std::size_t sentSince = 0; ///< statements that this process has sent since the measurement and that are not answered yet
    Duration timePerSent {}; ///< time by which each of them delays the next statement
};

/// @brief Chooses a candidate by its expected time on stale information. Processes that choose at the same moment on the same information
/// spread their statements over candidates whose expected times do not differ clearly. Not thread-safe.
class LoadBalancing
{
public:
    struct Options
    {
        /// Expected times differ clearly if one exceeds the other by this share of it. Below that, the difference may be due to the spread
        /// of single measurements, and to load that has changed since. With a half, loads swing at two thirds of the capacity.
        double clearShare = 1.0;
        Duration clearTime = 5ms; ///< smallest clear difference; a few statements more or less change the time by this much
    };

    struct Choice
    {
        std::size_t index = 0; ///< of the chosen candidate
        bool balanced = false; ///< the draw chose another candidate than the one of the lowest expected time
    };

    /// @param seed differs between processes, so that they draw differently
    /// @param options default values are for databases
    LoadBalancing(std::uint64_t seed, Options options);
    explicit LoadBalancing(std::uint64_t seed);

    /// @brief Chooses the distance class of the lowest cost, draws two of its candidates with the lowest penalty, and takes the faster one
    /// if their expected times differ clearly, otherwise either one. A candidate that looks fastest to all processes thus gets at most
    /// twice its even share, and not all statements.
    /// @return nothing if there is no candidate
    std::optional<Choice> choose(std::span<const LoadCandidate> candidates);

    /// @brief Expected time of a statement that is sent to the candidate now.
    static Duration expectedTime(const LoadCandidate &candidate);

private:
    struct Rated
    {
        std::size_t index = 0;
        Duration time {};
    };

    std::size_t draw();

    Options m_options;
    Random m_random;
    std::vector<Rated> m_rated; ///< candidates of the current draw; kept to reuse its memory
};

} // namespace waxwing
