#include "standin_options.h"

#include <getopt.h>

#include <algorithm>
#include <charconv>
#include <functional>
#include <map>

namespace waxwing::standin
{

namespace
{

struct OptionSpec
{
    std::string help;
    std::function<bool(StandinOptions &, std::string_view)> read; // Returns false if the value is not valid.
};

template<class Number>
bool readNumber(std::string_view text, Number low, Number high, Number &target)
{
    Number value {};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || value < low || value > high) {
        return false;
    }
    target = value;
    return true;
}

OptionSpec textOption(std::string help, std::string StandinOptions::*field)
{
    return {std::move(help), [field](StandinOptions &options, std::string_view text) {
                options.*field = text;
                return true;
            }};
}

OptionSpec durationOption(std::string help, Duration StandinOptions::*field)
{
    return {std::move(help), [field](StandinOptions &options, std::string_view text) {
                double milliseconds = 0;
                if (!readNumber(text, 0.0, 600'000.0, milliseconds)) {
                    return false;
                }
                options.*field = Duration(static_cast<Duration::rep>(milliseconds * 1e6));
                return true;
            }};
}

template<class Number>
OptionSpec numberOption(std::string help, Number StandinOptions::*field, Number low, Number high)
{
    return {std::move(help), [=](StandinOptions &options, std::string_view text) {
                return readNumber(text, low, high, options.*field);
            }};
}

const std::map<std::string, OptionSpec> &specs()
{
    static const std::map<std::string, OptionSpec> table {
        {"listen", textOption("IP:PORT of the endpoint API", &StandinOptions::listen)},
        {"admin", textOption("IP:PORT of the fault API", &StandinOptions::adminListen)},
        {"database", textOption("name of the database", &StandinOptions::database)},
        {"group", textOption("name of the group", &StandinOptions::group)},
        {"failure-domain", textOption("failure domain", &StandinOptions::failureDomain)},
        {"history", textOption("path of the history file", &StandinOptions::history)},
        {"proxy",
         {"IP:PORT of a proxy for announcements; may be repeated",
          [](StandinOptions &options, std::string_view text) {
              options.proxies.emplace_back(text);
              return true;
          }}},
        {"role",
         {"primary or replica, at the first start",
          [](StandinOptions &options, std::string_view text) {
              options.startsAsPrimary = text == "primary";
              return text == "primary" || text == "replica";
          }}},
        {"primary", textOption("IP:PORT to follow at the first start", &StandinOptions::primary)},
        {"term", numberOption("term at the first start", &StandinOptions::term, std::uint64_t(0), std::uint64_t(1) << 62)},
        {"slots", numberOption("statements that run at a time", &StandinOptions::slots, 1U, 10'000U)},
        {"connections", numberOption("connections that may run statements", &StandinOptions::connections, 1U, 100'000U)},
        {"cost-ms", durationOption("time of a statement that states no cost", &StandinOptions::statementCost)},
        {"connect-cost-ms", durationOption("time of a new connection", &StandinOptions::connectCost)},
        {"latency-ms", durationOption("network latency, one way", &StandinOptions::latency)},
        {"lag-low-ms", durationOption("shortest replication lag", &StandinOptions::lagLow)},
        {"lag-high-ms", durationOption("longest replication lag", &StandinOptions::lagHigh)},
        {"leave-ms", durationOption("time from SIGTERM to the exit", &StandinOptions::leaveTime)},
        {"seed", numberOption("seed of the random numbers", &StandinOptions::seed, std::uint64_t(0), ~std::uint64_t(0))},
    };
    return table;
}

void checkTogether(ParsedOptions &parsed)
{
    const auto &options = parsed.options;
    if (options.listen.empty() || options.database.empty() || options.group.empty()) {
        parsed.errors.emplace_back("--listen, --database and --group are required.");
    }
    if (options.lagHigh < options.lagLow) {
        parsed.errors.emplace_back("--lag-high-ms must not be below --lag-low-ms.");
    }
    if (options.startsAsPrimary && (options.term == 0 || !options.primary.empty())) {
        parsed.errors.emplace_back("--role primary needs --term of at least 1 and excludes --primary.");
    }
    if (!options.primary.empty() && options.term == 0) {
        parsed.errors.emplace_back("--primary needs --term of at least 1.");
    }
}

} // namespace

ParsedOptions parseOptions(int argc, char **argv)
{
    ParsedOptions parsed;
    std::vector<option> table;
    for (const auto &[name, spec] : specs()) {
        table.push_back({name.c_str(), required_argument, nullptr, 0});
    }
    table.push_back({"help", no_argument, nullptr, 'h'});
    table.push_back({nullptr, 0, nullptr, 0});
    optind = 1;
    opterr = 0;
    int index = 0;
    int code = 0;
    while ((code = getopt_long(argc, argv, "", table.data(), &index)) != -1) {
        if (code == 'h') {
            parsed.isHelp = true;
            return parsed;
        }
        if (code != 0) {
            parsed.errors.push_back(std::string("Unknown option or missing value: ") + argv[optind - 1]);
            continue;
        }
        const std::string name = table[static_cast<std::size_t>(index)].name;
        if (!specs().at(name).read(parsed.options, optarg)) {
            parsed.errors.push_back("--" + name + ": not valid or out of range: " + optarg);
        }
    }
    if (optind < argc) {
        parsed.errors.push_back(std::string("Unexpected argument: ") + argv[optind]);
    }
    checkTogether(parsed);
    return parsed;
}

std::string usage()
{
    std::string text = "Usage: waxwing-standin --listen IP:PORT --database NAME --group NAME [options]\n";
    for (const auto &[name, spec] : specs()) {
        text += "  --" + name + std::string(20 - std::min<std::size_t>(19, name.size()), ' ') + spec.help + "\n";
    }
    return text;
}

} // namespace waxwing::standin
