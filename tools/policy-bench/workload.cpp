#include "workload.h"

#include <waxwing/support/random.h>

#include <boost/random/lognormal_distribution.hpp>

#include <cmath>

namespace waxwing
{

namespace
{

constexpr std::size_t callers = 8;
// Fingerprints of stragglers follow those of the operations.
constexpr std::uint64_t stragglerFingerprint = 1000;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration fromSeconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

double drawCost(const Operation &operation, Random &random)
{
    const double spread = std::sqrt(std::log1p(operation.deviation * operation.deviation));
    boost::random::lognormal_distribution<double> distribution(-spread * spread / 2.0, spread);
    return seconds(operation.cost) * distribution(random.engine());
}

} // namespace

std::vector<Profile> profiles()
{
    return {
        {
            .name = "hemming-orders",
            .oneWay = 1ms,
            .operations =
                {
                    {.name = "status-read", .share = 0.60, .weight = 1.0, .cost = 3ms, .deadline = 500ms},
                    {.name = "listing", .share = 0.20, .weight = 1.0, .cost = 10ms, .deadline = 1s},
                    {.name = "batch-order", .share = 0.10, .isWrite = true, .weight = 2.0, .cost = 6ms, .deadline = 2s},
                    {.name = "dispatch-note", .share = 0.05, .isWrite = true, .weight = 2.0, .cost = 5ms, .deadline = 1s},
                    {.name = "house-update", .share = 0.05, .isWrite = true, .weight = 1.0, .cost = 5ms, .deadline = 1s},
                },
        },
        {
            .name = "petal-ledger",
            .oneWay = 500us,
            .operations =
                {
                    {.name = "status-read", .share = 0.50, .weight = 1.0, .cost = 2ms, .deadline = 400ms},
                    {.name = "ledger-page", .share = 0.20, .weight = 1.0, .cost = 15ms, .deadline = 2s},
                    {.name = "batch-order", .share = 0.12, .isWrite = true, .weight = 2.0, .cost = 8ms, .deadline = 1s},
                    {.name = "dispatch-note", .share = 0.10, .isWrite = true, .weight = 2.0, .cost = 4ms, .deadline = 500ms},
                    {.name = "ledger-entry", .share = 0.08, .isWrite = true, .weight = 1.0, .cost = 4ms, .deadline = 1s},
                },
        },
    };
}

Duration meanCost(const Profile &profile, const Stragglers &stragglers)
{
    const double factor = 1.0 + stragglers.share * (stragglers.factor - 1.0);
    double mean = 0.0;
    for (const auto &operation : profile.operations) {
        mean += operation.share * (seconds(operation.cost) * factor + 2.0 * seconds(profile.oneWay));
    }
    return fromSeconds(mean);
}

std::vector<Arrival> generateArrivals(const Profile &profile, const std::vector<Phase> &phases, const Stragglers &stragglers, std::size_t slots, Random &random)
{
    std::vector<Arrival> arrivals;
    const double mean = seconds(meanCost(profile, stragglers));
    auto phaseEnd = runStart;
    auto now = runStart;
    for (const auto &phase : phases) {
        now = phaseEnd;
        phaseEnd += phase.duration;
        const double gap = mean / (phase.load * static_cast<double>(slots));
        for (now += fromSeconds(random.exponential(gap)); now < phaseEnd; now += fromSeconds(random.exponential(gap))) {
            double pick = random.unit();
            std::size_t index = 0;
            while (index + 1 < profile.operations.size() && pick >= profile.operations[index].share) {
                pick -= profile.operations[index].share;
                ++index;
            }
            const auto &operation = profile.operations[index];
            const bool isStraggler = random.chance(stragglers.share);
            const double cost = drawCost(operation, random) * (isStraggler && stragglers.alsoCost ? stragglers.factor : 1.0);
            const bool isRecognisable = isStraggler && stragglers.ownFingerprint && stragglers.alsoCost;
            arrivals.push_back({
                .at = now,
                // Whoever starts a straggler allows for its cost.
                .deadline = now + (isStraggler && stragglers.alsoCost ? Duration(60s) : operation.deadline),
                .operation = index,
                .cost = fromSeconds(cost) + 2 * profile.oneWay,
                .weight = operation.weight,
                .isWrite = operation.isWrite,
                .isStraggler = isStraggler,
                .fingerprint = index + (isRecognisable ? stragglerFingerprint : 0),
                .caller = "caller-" + std::to_string(random.between(0, callers - 1)),
            });
        }
    }
    return arrivals;
}

} // namespace waxwing
