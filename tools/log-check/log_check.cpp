#include "log_check.h"

#include "log_simulation.h"

#include <waxwing/support/metrics.h>

#include <getopt.h>

#include <algorithm>
#include <atomic>
#include <charconv>
#include <cstdio>
#include <cstring>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace waxwing
{

namespace
{

constexpr const char *usage = "Usage: waxwing-log-check [--seeds N] [--first-seed N] [--jobs N] [--open] [--trace]\n"
                              "Simulates the replicated log with faults, one run a seed, and checks its properties.\n"
                              "  --seeds N       number of runs (default 1000)\n"
                              "  --first-seed N  seed of the first run (default 1)\n"
                              "  --jobs N        threads (default 1)\n"
                              "  --open          members join from any address, are replaced and return; checks the number of voters\n"
                              "  --trace         print the events of each run\n"
                              "  --help, --version\n"
                              "Exit codes: 0 no violation, 1 violation, 2 wrong arguments.\n";

struct Arguments
{
    std::uint64_t seeds = 1000;
    std::uint64_t firstSeed = 1;
    std::uint64_t jobs = 1;
    bool open = false;
    bool trace = false;
};

bool parseNumber(std::string_view text, std::uint64_t &number)
{
    const auto result = std::from_chars(text.data(), text.data() + text.size(), number);
    return result.ec == std::errc() && result.ptr == text.data() + text.size();
}

class Totals
{
public:
    void add(std::uint64_t seed, const LogSimulationResult &result)
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &[kind, number] : result.counts) {
            m_counts[kind] += number;
        }
        if (!result.violation.empty()) {
            ++m_violations;
            std::printf("seed %llu: %s\n", static_cast<unsigned long long>(seed), result.violation.c_str());
            std::fflush(stdout);
        }
        const auto failures = invariantFailures();
        if (failures > m_invariantFailures) {
            std::printf("seed %llu or one that ran at the same time: %llu invariant failures\n", static_cast<unsigned long long>(seed),
                        static_cast<unsigned long long>(failures - m_invariantFailures));
            m_invariantFailures = failures;
        }
    }

    int report(std::uint64_t seeds) const
    {
        for (const auto &[kind, number] : m_counts) {
            std::printf("%-44s %llu\n", kind.c_str(), static_cast<unsigned long long>(number));
        }
        std::printf("%llu seeds, %llu violations, %llu invariant failures\n", static_cast<unsigned long long>(seeds),
                    static_cast<unsigned long long>(m_violations), static_cast<unsigned long long>(m_invariantFailures));
        return m_violations == 0 && m_invariantFailures == 0 ? 0 : 1;
    }

private:
    std::mutex m_mutex;
    std::map<std::string, std::uint64_t> m_counts;
    std::uint64_t m_violations = 0;
    std::uint64_t m_invariantFailures = 0;
};

} // namespace

std::uint64_t invariantFailures()
{
    const auto text = Metrics::instance().exposition();
    std::uint64_t failures = 0;
    constexpr std::string_view name = "\nwaxwing_invariant_failures_total{";
    for (auto start = text.find(name); start != std::string::npos; start = text.find(name, start + 1)) {
        const auto space = text.find(' ', start + name.size());
        failures += std::strtoull(text.c_str() + space, nullptr, 10);
    }
    return failures;
}

int runLogCheck(int argc, char **argv)
{
    Arguments arguments;
    const option options[] = {{"seeds", required_argument, nullptr, 's'}, {"first-seed", required_argument, nullptr, 'f'},
                              {"jobs", required_argument, nullptr, 'j'},  {"open", no_argument, nullptr, 'o'},
                              {"trace", no_argument, nullptr, 't'},       {"help", no_argument, nullptr, 'h'},
                              {"version", no_argument, nullptr, 'v'},     {nullptr, 0, nullptr, 0}};
    int choice = 0;
    while ((choice = getopt_long(argc, argv, "", options, nullptr)) != -1) {
        bool valid = true;
        switch (choice) {
        case 's':
            valid = parseNumber(optarg, arguments.seeds);
            break;
        case 'f':
            valid = parseNumber(optarg, arguments.firstSeed);
            break;
        case 'j':
            valid = parseNumber(optarg, arguments.jobs) && arguments.jobs > 0;
            break;
        case 'o':
            arguments.open = true;
            break;
        case 't':
            arguments.trace = true;
            break;
        case 'h':
            std::fputs(usage, stdout);
            return 0;
        case 'v':
            std::puts("waxwing-log-check 0.1.0");
            return 0;
        default:
            valid = false;
            break;
        }
        if (!valid) {
            std::fputs(usage, stderr);
            return 2;
        }
    }
    Totals totals;
    std::atomic<std::uint64_t> next {0};
    std::vector<std::thread> threads;
    for (std::uint64_t i = 0; i < arguments.jobs; ++i) {
        threads.emplace_back([&] {
            for (auto number = next.fetch_add(1); number < arguments.seeds; number = next.fetch_add(1)) {
                const auto seed = arguments.firstSeed + number;
                totals.add(seed, simulateLog({seed, arguments.trace, arguments.open}));
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    return totals.report(arguments.seeds);
}

} // namespace waxwing
