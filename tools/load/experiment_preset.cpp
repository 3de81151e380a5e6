#include "experiment_preset.h"

#include <map>

namespace waxwing::load
{

namespace
{

// Mean cost of the profile hemming-orders: 2.3 ms a statement, of which writes, which only the primary runs, make up 0.7 ms.
const std::map<std::string_view, std::vector<const char *>> &presets()
{
    static const std::map<std::string_view, std::vector<const char *>> table {
        // One proxy at the target size: 460 statements/s over 2,600 connections.
        {"overhead", {"--rate", "460", "--connections", "2600", "--cost-factor", "0.2", "--deadline-ms", "2000", "--duration", "10"}},
        {"throughput", {"--rate", "4600", "--connections", "2600", "--cost-factor", "0.2", "--deadline-ms", "2000", "--duration", "10"}},
        {"drain", {"--rate", "200", "--connections", "60", "--deadline-ms", "2000", "--duration", "10"}},
        {"replica-share", {"--rate", "300", "--connections", "120", "--deadline-ms", "2000", "--duration", "10"}},
        // 9 slots: short statements take 1.7 of them, long ones 4.6.
        {"head-of-line", {"--rate", "800", "--straggler-share", "0.05", "--straggler-factor", "50", "--deadline-ms", "5000", "--duration", "10"}},
        // The same short statements without the long ones.
        {"head-of-line-short", {"--rate", "760", "--deadline-ms", "5000", "--duration", "10"}},
        // Callers give up at the deadline, since only answers on time count. 9 slots of 23 ms: 390 statements/s. Half of that before and after, three times
        // that for 10 s.
        {"crest",
         {"--rate", "195", "--cost-factor", "10", "--surge", "3:10:6", "--deadline-ms", "1000", "--retry-window-ms", "1000", "--duration", "17",
          "--connections", "1500"}},
        {"failover", {"--rate", "300", "--connections", "120", "--deadline-ms", "5000", "--duration", "9"}},
        {"switchover", {"--rate", "300", "--connections", "120", "--deadline-ms", "2000", "--duration", "6"}},
        {"random-run", {"--rate", "150", "--connections", "60", "--deadline-ms", "2000", "--transaction-share", "0.05", "--roam", "0.7", "--keys", "300"}},
    };
    return table;
}

} // namespace

std::vector<const char *> experimentPreset(std::string_view name)
{
    const auto entry = presets().find(name);
    return entry == presets().end() ? std::vector<const char *>() : entry->second;
}

std::vector<std::string_view> experimentNames()
{
    std::vector<std::string_view> names;
    for (const auto &[name, options] : presets()) {
        names.push_back(name);
    }
    return names;
}

} // namespace waxwing::load
