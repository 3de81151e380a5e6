#include "scenarios.h"

#include <getopt.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

using namespace waxwing;

namespace
{

constexpr double stragglerGoal = 1.5;
constexpr double surgeGoal = 0.95;
constexpr double recoveryGoal = 2.0;

struct Series
{
    std::vector<double> values;

    double median() const
    {
        auto sorted = values;
        std::sort(sorted.begin(), sorted.end());
        return sorted[sorted.size() / 2];
    }

    double highest() const
    {
        return *std::max_element(values.begin(), values.end());
    }

    double lowest() const
    {
        return *std::min_element(values.begin(), values.end());
    }
};

const char *verdict(bool met)
{
    return met ? "met" : "missed";
}

void printStragglers(const Profile &profile, double load, bool ownFingerprint, const std::vector<std::uint64_t> &seeds)
{
    Series policy;
    Series baseline;
    Series longPolicy;
    Series longBaseline;
    Series clean;
    for (const auto seed : seeds) {
        const auto result = measureStragglers(profile, load, ownFingerprint, seed);
        policy.values.push_back(result.policy / result.clean);
        baseline.values.push_back(result.baseline / result.clean);
        clean.values.push_back(result.clean);
        longPolicy.values.push_back(result.longPolicy);
        longBaseline.values.push_back(result.longBaseline);
    }
    std::printf("stragglers %-15s load %.2f %-12s short p99 ratio: policy median %.2f worst %.2f, fifo median %.2f worst %.2f (without stragglers %.1f ms); "
                "long p99: policy %.0f ms, fifo %.0f ms; goal %.1f %s\n",
                profile.name.c_str(), load, ownFingerprint ? "recognisable" : "hidden", policy.median(), policy.highest(), baseline.median(),
                baseline.highest(), clean.median(), longPolicy.median(), longBaseline.median(), stragglerGoal, verdict(policy.highest() <= stragglerGoal));
}

void printSurge(const Profile &profile, const SurgeOptions &options, const std::vector<std::uint64_t> &seeds)
{
    Series policy;
    Series baseline;
    Series recoveryPolicy;
    Series recoveryBaseline;
    for (const auto seed : seeds) {
        const auto result = measureSurge(profile, options, seed);
        policy.values.push_back(result.policy);
        baseline.values.push_back(result.baseline);
        recoveryPolicy.values.push_back(result.recoveryPolicy);
        recoveryBaseline.values.push_back(result.recoveryBaseline);
    }
    std::printf("surge      %-15s deviation %.2f stragglers %.2f long share %.2f weight on time / bound: policy median %.3f worst %.3f, fifo median %.3f worst "
                "%.3f; goal %.2f %s\n",
                profile.name.c_str(), options.deviation, options.stragglers, options.longShare, policy.median(), policy.lowest(), baseline.median(),
                baseline.lowest(), surgeGoal, verdict(policy.lowest() >= surgeGoal));
    std::printf(
        "recovery   %-15s deviation %.2f stragglers %.2f long share %.2f seconds: policy median %.2f worst %.2f, fifo median %.2f worst %.2f; goal %.1f %s\n",
        profile.name.c_str(), options.deviation, options.stragglers, options.longShare, recoveryPolicy.median(), recoveryPolicy.highest(),
        recoveryBaseline.median(), recoveryBaseline.highest(), recoveryGoal, verdict(recoveryPolicy.highest() <= recoveryGoal));
}

constexpr const char *usage = "usage: waxwing-policy-bench [--seeds N] [--first-seed N]\n"
                              "Measures admission, scheduling and work classes beside their baseline on a virtual clock.\n"
                              "  --seeds N       number of seeds, 1 to 100 (default 5)\n"
                              "  --first-seed N  first seed (default 1)\n"
                              "  --help          this text\n"
                              "  --version       version\n";

} // namespace

int main(int argc, char **argv)
{
    const option options[] = {
        {"seeds", required_argument, nullptr, 's'},
        {"first-seed", required_argument, nullptr, 'f'},
        {"help", no_argument, nullptr, 'h'},
        {"version", no_argument, nullptr, 'v'},
        {nullptr, 0, nullptr, 0},
    };
    long count = 5;
    unsigned long long firstSeed = 1;
    for (int choice = 0; (choice = getopt_long(argc, argv, "", options, nullptr)) != -1;) {
        switch (choice) {
        case 's':
            count = std::strtol(optarg, nullptr, 10);
            break;
        case 'f':
            firstSeed = std::strtoull(optarg, nullptr, 10);
            break;
        case 'h':
            std::fputs(usage, stdout);
            return 0;
        case 'v':
            std::puts("waxwing-policy-bench 0.1.0");
            return 0;
        default:
            std::fputs(usage, stderr);
            return 2;
        }
    }
    if (count < 1 || count > 100 || optind != argc) {
        std::fputs(usage, stderr);
        return 2;
    }
    std::vector<std::uint64_t> seeds;
    for (long i = 0; i < count; ++i) {
        seeds.push_back(firstSeed + static_cast<std::uint64_t>(i));
    }
    std::printf("seeds %llu to %llu\n", firstSeed, firstSeed + static_cast<unsigned long long>(count) - 1);
    for (const auto &profile : profiles()) {
        for (const double load : {0.3, 0.5, 0.7}) {
            printStragglers(profile, load, true, seeds);
        }
        printStragglers(profile, 0.5, false, seeds);
        printSurge(profile, {.deviation = 0.05}, seeds);
        printSurge(profile, {}, seeds);
        printSurge(profile, {.stragglers = 0.02}, seeds);
        printSurge(profile, {.stragglers = 0.02, .longShare = 0.0}, seeds);
    }
    return 0;
}
