#include "log_bench.h"

#include "bench_cluster.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <getopt.h>
#include <malloc.h>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <ctime>
#include <filesystem>
#include <string_view>

namespace waxwing
{

namespace
{

constexpr const char *usage = "Usage: waxwing-log-bench [--folder PATH] [--proposals N] [--elections N] [--idle-seconds N] [--commit ID]\n"
                              "Measures appends, restart, elections, idle traffic and memory of the replicated log in one process.\n"
                              "  --folder PATH      for temporary files, on the disk to measure (default /tmp)\n"
                              "  --proposals N      proposals for each append measurement (default 20000)\n"
                              "  --elections N      leader losses (default 20)\n"
                              "  --idle-seconds N   duration of each idle measurement (default 5)\n"
                              "  --commit ID        recorded in the result\n"
                              "  --help, --version\n"
                              "Exit codes: 0 measured, 1 the files can't be used, 2 wrong arguments.\n";

constexpr std::size_t commandBytes = 100;
constexpr std::size_t restartEntries = 10'000;

struct Arguments
{
    std::string folder = "/tmp";
    std::uint64_t proposals = 20'000;
    std::uint64_t elections = 20;
    std::uint64_t idleSeconds = 5;
    std::string commit;
};

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

class LogBench
{
public:
    explicit LogBench(Arguments arguments)
        : m_arguments(std::move(arguments))
        , m_folder(m_arguments.folder + "/waxwing-log-bench-" + toHex(randomIdentifier()))
    {
    }

    ~LogBench()
    {
        std::error_code ignored;
        std::filesystem::remove_all(m_folder, ignored);
    }

    LogBench(const LogBench &) = delete;
    LogBench &operator=(const LogBench &) = delete;

    bool run()
    {
        for (const std::size_t members : {1, 3}) {
            for (const std::size_t waiting : {1, 64, 1024}) {
                if (!measureAppends(members, waiting)) {
                    return false;
                }
            }
        }
        if (!measureRestart() || !measureElections()) {
            return false;
        }
        for (const std::size_t members : {3, 5, 7}) {
            if (!measureIdle(members)) {
                return false;
            }
        }
        measureMemory();
        return true;
    }

    std::string result(const std::string &command) const
    {
        char date[32] = {};
        const auto now = std::time(nullptr);
        std::tm parts {};
        gmtime_r(&now, &parts);
        std::strftime(date, sizeof(date), "%Y-%m-%dT%H:%M:%SZ", &parts);
        boost::json::object object;
        object["name"] = "log";
        object["command"] = command;
        object["seeds"] = boost::json::array();
        object["date"] = date;
        object["commit"] = m_arguments.commit;
        object["values"] = m_values;
        return boost::json::serialize(object);
    }

private:
    void record(const std::string &measure, double value, const std::string &unit, boost::json::value goal = nullptr)
    {
        m_values[measure] = {{"value", value}, {"unit", unit}, {"goal", std::move(goal)}, {"baseline", nullptr}};
        std::fprintf(stderr, "%-46s %12.3f %s\n", measure.c_str(), value, unit.c_str());
    }

    std::string nextFolder()
    {
        return m_folder + "/" + std::to_string(++m_folders);
    }

    static bool startAll(BenchCluster &cluster)
    {
        return std::all_of(cluster.addresses().begin(), cluster.addresses().end(), [&cluster](const auto &address) { return cluster.start(address); });
    }

    /// Keeps a number of proposals waiting at the leader until all are done.
    static Duration append(BenchCluster &cluster, std::size_t proposals, std::size_t waiting)
    {
        auto &host = cluster.host(cluster.leader());
        std::promise<void> finished;
        std::size_t done = 0;
        std::size_t proposed = 0;
        std::function<void()> propose = [&] {
            ++proposed;
            host.propose(std::string(commandBytes, 'x'), [&](const ProposeResult &result) {
                done += result.outcome == LogOutcome::Done ? 1 : 0;
                proposed -= result.outcome == LogOutcome::Done ? 0 : 1;
                if (proposed < proposals) {
                    propose();
                } else if (done == proposals) {
                    finished.set_value();
                }
            });
        };
        const auto start = Clock::now();
        cluster.call(cluster.leader(), [&](BenchHost &) {
            for (std::size_t i = 0; i < std::min(waiting, proposals); ++i) {
                propose();
            }
            return 0;
        });
        finished.get_future().get();
        return Clock::now() - start;
    }

    bool measureAppends(std::size_t members, std::size_t waiting)
    {
        BenchCluster cluster(nextFolder(), members);
        if (!startAll(cluster)) {
            return false;
        }
        const auto proposals = waiting == 1 ? m_arguments.proposals / 20 : m_arguments.proposals;
        const auto duration = append(cluster, proposals, waiting);
        record("appends, " + std::to_string(members) + " members, " + std::to_string(waiting) + " waiting", static_cast<double>(proposals) / seconds(duration),
               "proposals/s");
        return true;
    }

    bool measureRestart()
    {
        for (const std::size_t members : {1, 3}) {
            BenchCluster cluster(nextFolder(), members);
            cluster.base.snapshotIntervalEntries = 10 * restartEntries;
            if (!startAll(cluster)) {
                return false;
            }
            append(cluster, restartEntries, 1024);
            for (const auto &address : cluster.addresses()) {
                cluster.stop(address);
            }
            const auto start = Clock::now();
            if (!startAll(cluster)) {
                return false;
            }
            const auto read = seconds(Clock::now() - start);
            cluster.leader();
            const auto current = seconds(Clock::now() - start);
            const auto suffix = ", 10,000 entries, all of " + std::to_string(members) + " members";
            record("restart: files read" + suffix, read * 1000, "ms");
            record("restart: current" + suffix, current * 1000, "ms", 2000);
        }
        return true;
    }

    bool measureElections()
    {
        BenchCluster cluster(nextFolder(), 3);
        if (!startAll(cluster)) {
            return false;
        }
        std::vector<double> durations;
        for (std::uint64_t i = 0; i < m_arguments.elections; ++i) {
            append(cluster, 10, 1);
            const auto lost = cluster.leader();
            cluster.stop(lost);
            const auto start = Clock::now();
            cluster.leader();
            durations.push_back(seconds(Clock::now() - start) * 1000);
            if (!cluster.start(lost)) {
                return false;
            }
            const auto target = cluster.call(cluster.leader(), [](const BenchHost &host) { return host.status().commitIndex; });
            while (cluster.call(lost, [](const BenchHost &host) { return host.status().appliedIndex; }) < target) {
                std::this_thread::sleep_for(std::chrono::milliseconds(5));
            }
        }
        std::sort(durations.begin(), durations.end());
        record("leader lost until a new one has a lease, p50", durations[durations.size() / 2], "ms");
        record("leader lost until a new one has a lease, max", durations.back(), "ms", 600);
        return true;
    }

    bool measureIdle(std::size_t members)
    {
        BenchCluster cluster(nextFolder(), members);
        if (!startAll(cluster)) {
            return false;
        }
        append(cluster, 10, 1);
        const auto messages = cluster.peers.messages.load();
        const auto bytes = cluster.peers.bytes.load();
        const auto start = Clock::now();
        std::this_thread::sleep_for(std::chrono::seconds(m_arguments.idleSeconds));
        const auto duration = seconds(Clock::now() - start);
        const auto suffix = ", " + std::to_string(members) + " members";
        record("idle messages, whole group" + suffix, static_cast<double>(cluster.peers.messages.load() - messages) / duration, "1/s");
        record("idle payload bytes, whole group" + suffix, static_cast<double>(cluster.peers.bytes.load() - bytes) / duration, "B/s");
        return true;
    }

    void measureMemory()
    {
        constexpr std::size_t entries = 100'000;
        const auto before = mallinfo2().uordblks;
        RaftLog log;
        for (std::size_t i = 0; i < entries; ++i) {
            log.append({1, wire::RAFT_ENTRY_KIND_COMMAND, std::string(commandBytes, 'x')});
        }
        record("memory per 1,000 entries of 100 bytes", static_cast<double>(mallinfo2().uordblks - before) / (static_cast<double>(entries) / 1000) / 1024,
               "KiB");
    }

    Arguments m_arguments;
    std::string m_folder;
    int m_folders = 0;
    boost::json::object m_values;
};

bool parseNumber(std::string_view text, std::uint64_t &number)
{
    const auto result = std::from_chars(text.data(), text.data() + text.size(), number);
    return result.ec == std::errc() && result.ptr == text.data() + text.size() && number > 0;
}

} // namespace

int runLogBench(int argc, char **argv)
{
    Arguments arguments;
    std::string command = "waxwing-log-bench";
    for (int i = 1; i < argc; ++i) {
        command.append(" ").append(argv[i]);
    }
    const option options[] = {{"folder", required_argument, nullptr, 'f'},    {"proposals", required_argument, nullptr, 'p'},
                              {"elections", required_argument, nullptr, 'e'}, {"idle-seconds", required_argument, nullptr, 'i'},
                              {"commit", required_argument, nullptr, 'c'},    {"help", no_argument, nullptr, 'h'},
                              {"version", no_argument, nullptr, 'v'},         {nullptr, 0, nullptr, 0}};
    int choice = 0;
    while ((choice = getopt_long(argc, argv, "", options, nullptr)) != -1) {
        bool valid = true;
        switch (choice) {
        case 'f':
            arguments.folder = optarg;
            break;
        case 'p':
            valid = parseNumber(optarg, arguments.proposals);
            break;
        case 'e':
            valid = parseNumber(optarg, arguments.elections);
            break;
        case 'i':
            valid = parseNumber(optarg, arguments.idleSeconds);
            break;
        case 'c':
            arguments.commit = optarg;
            break;
        case 'h':
            std::fputs(usage, stdout);
            return 0;
        case 'v':
            std::puts("waxwing-log-bench 0.1.0");
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
    LogBench bench(arguments);
    if (!bench.run()) {
        return 1;
    }
    std::puts(bench.result(command).c_str());
    return 0;
}

} // namespace waxwing
