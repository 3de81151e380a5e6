#include "scenarios.h"

#include "clairvoyant_bound.h"
#include "simulation.h"

#include <algorithm>
#include <limits>
#include <span>

namespace waxwing
{

namespace
{

using PolicyRun = Simulation<DensityOrder, AdaptiveLimit>;
using BaselineRun = Simulation<FifoOrder, FixedLimit>;

constexpr std::size_t slots = 3;
constexpr Duration warmUp = 5s;
constexpr Duration surge = 10s;
constexpr Duration after = 20s;
constexpr double normalLoad = 0.5;
constexpr double surgeLoad = 3.0;
constexpr Duration window = 250ms;

double quantile(std::vector<double> values, double probability)
{
    if (values.empty()) {
        return 0.0;
    }
    const auto rank = std::min(values.size() - 1, static_cast<std::size_t>(probability * static_cast<double>(values.size())));
    const auto place = values.begin() + static_cast<std::ptrdiff_t>(rank);
    std::nth_element(values.begin(), place, values.end());
    return *place;
}

/// Latency in milliseconds; a statement that is not served on time counts as infinitely late, so that refusals don't help.
double latency(const Completion &completion)
{
    return completion.onTime ? std::chrono::duration<double, std::milli>(*completion.latency).count() : std::numeric_limits<double>::infinity();
}

std::vector<double> latencies(const std::vector<Arrival> &arrivals, const std::vector<Completion> &completions, bool stragglers, TimePoint from, TimePoint to)
{
    std::vector<double> values;
    for (std::size_t i = 0; i < arrivals.size(); ++i) {
        if (arrivals[i].isStraggler == stragglers && arrivals[i].at >= from && arrivals[i].at < to) {
            values.push_back(latency(completions[i]));
        }
    }
    return values;
}

double weightOnTime(const std::vector<Arrival> &arrivals, const std::vector<Completion> &completions, TimePoint from, TimePoint to)
{
    double weight = 0.0;
    for (std::size_t i = 0; i < arrivals.size(); ++i) {
        if (arrivals[i].at >= from && arrivals[i].at < to && completions[i].onTime) {
            weight += arrivals[i].weight;
        }
    }
    return weight;
}

/// End of the last window after the surge in which more than 5% of the short work is later than twice the p99 before it.
double recovery(const std::vector<Arrival> &arrivals, const std::vector<Completion> &completions)
{
    const auto surgeStart = runStart + warmUp;
    const auto surgeEnd = surgeStart + surge;
    const double usual = quantile(latencies(arrivals, completions, false, runStart + 1s, surgeStart), 0.99);
    Duration recovered = Duration::zero();
    for (Duration offset = Duration::zero(); offset < after; offset += window) {
        const auto values = latencies(arrivals, completions, false, surgeEnd + offset, surgeEnd + offset + window);
        if (quantile(values, 0.95) > 2.0 * usual) {
            recovered = offset + window;
        }
    }
    return std::chrono::duration<double>(recovered).count();
}

Duration longestDeadline(const Profile &profile)
{
    Duration longest {};
    for (const auto &operation : profile.operations) {
        longest = std::max(longest, operation.deadline);
    }
    return longest;
}

SimulationOptions baselineOptions(std::size_t endpoints)
{
    return {.endpoints = endpoints, .slots = slots, .admission = {.predictsDeadlines = false}};
}

} // namespace

StragglerResult measureStragglers(const Profile &profile, double load, bool ownFingerprint, std::uint64_t seed)
{
    const auto arrivalsWith = [&](bool alsoCost) {
        Random random(seed);
        auto stragglers = Stragglers {.share = 0.05, .factor = 50.0, .ownFingerprint = ownFingerprint, .alsoCost = true};
        // The same load setting yields the same arrival times in both runs, since the rate is that with stragglers.
        stragglers.alsoCost = alsoCost;
        return generateArrivals(profile, {{.duration = 120s, .load = load}}, stragglers, slots, random);
    };
    const auto arrivals = arrivalsWith(true);
    const auto cleanArrivals = arrivalsWith(false);
    const auto from = runStart + 10s;
    const auto to = runStart + 120s;
    const auto p99 = [&](const std::vector<Arrival> &list, const std::vector<Completion> &completions, bool stragglers) {
        return quantile(latencies(list, completions, stragglers, from, to), 0.99);
    };
    const SimulationOptions options {.endpoints = 1, .slots = slots};
    const auto clean = PolicyRun(options, seed).run(cleanArrivals);
    const auto policy = PolicyRun(options, seed).run(arrivals);
    const auto baseline = BaselineRun(baselineOptions(1), seed).run(arrivals);
    return {
        .clean = p99(cleanArrivals, clean, false),
        .policy = p99(arrivals, policy, false),
        .baseline = p99(arrivals, baseline, false),
        .longPolicy = p99(arrivals, policy, true),
        .longBaseline = p99(arrivals, baseline, true),
    };
}

SurgeResult measureSurge(const Profile &profile, const SurgeOptions &surgeOptions, std::uint64_t seed)
{
    auto varied = profile;
    for (auto &operation : varied.operations) {
        operation.deviation = surgeOptions.deviation;
    }
    constexpr std::size_t endpoints = 3;
    Random random(seed);
    const std::vector<Phase> phases {{.duration = warmUp, .load = normalLoad}, {.duration = surge, .load = surgeLoad}, {.duration = after, .load = normalLoad}};
    const auto arrivals = generateArrivals(varied, phases, {.share = surgeOptions.stragglers}, endpoints * slots, random);
    const SimulationOptions options {.endpoints = endpoints, .slots = slots, .schedule = {.longShare = surgeOptions.longShare}};
    const auto policy = PolicyRun(options, seed).run(arrivals);
    const auto baseline = BaselineRun(baselineOptions(endpoints), seed).run(arrivals);

    const auto from = runStart + warmUp;
    const auto to = from + surge;
    const auto lastDue = to + longestDeadline(varied);
    const auto isBefore = [](const Arrival &arrival, TimePoint time) {
        return arrival.at < time;
    };
    const auto first = std::lower_bound(arrivals.begin(), arrivals.end(), from, isBefore);
    const auto last = std::lower_bound(arrivals.begin(), arrivals.end(), lastDue, isBefore);
    const double bound = clairvoyantBound(std::span(first, last), slots, endpoints * slots);
    const auto ratio = [&](const std::vector<Completion> &completions) {
        return weightOnTime(arrivals, completions, from, to) / (bound - weightOnTime(arrivals, completions, to, lastDue));
    };
    return {
        .policy = ratio(policy),
        .baseline = ratio(baseline),
        .recoveryPolicy = recovery(arrivals, policy),
        .recoveryBaseline = recovery(arrivals, baseline),
    };
}

} // namespace waxwing
