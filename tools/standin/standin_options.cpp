#include "standin_options.h"

#include <utility>

namespace waxwing::standin
{

namespace
{

using Table = OptionTable<StandinOptions>;

constexpr double maxMilliseconds = 600'000.0;

Table::Entry milliseconds(std::string help, Duration StandinOptions::*field)
{
    return Table::duration(std::move(help), field, 1ms, maxMilliseconds);
}

const Table &optionTable()
{
    static const Table table {
        {"listen", Table::text("IP:PORT of the endpoint API", &StandinOptions::listen)},
        {"admin", Table::text("IP:PORT of the fault API", &StandinOptions::adminListen)},
        {"database", Table::text("name of the database", &StandinOptions::database)},
        {"group", Table::text("name of the group", &StandinOptions::group)},
        {"failure-domain", Table::text("failure domain", &StandinOptions::failureDomain)},
        {"history", Table::text("path of the history file", &StandinOptions::history)},
        {"proxy", Table::list("IP:PORT of a proxy for announcements; may be repeated", &StandinOptions::proxies)},
        {"role",
         {"primary or replica, at the first start",
          [](StandinOptions &options, const std::string &text) {
              options.startsAsPrimary = text == "primary";
              return text == "primary" || text == "replica";
          }}},
        {"primary", Table::text("IP:PORT to follow at the first start", &StandinOptions::primary)},
        {"term", Table::number("term at the first start", &StandinOptions::term, std::uint64_t(0), std::uint64_t(1) << 62)},
        {"slots", Table::number("statements that run at a time", &StandinOptions::slots, 1U, 10'000U)},
        {"connections", Table::number("connections that may run statements", &StandinOptions::connections, 1U, 100'000U)},
        {"cost-ms", milliseconds("time of a statement that states no cost", &StandinOptions::statementCost)},
        {"connect-cost-ms", milliseconds("time of a new connection", &StandinOptions::connectCost)},
        {"latency-ms", milliseconds("network latency, one way", &StandinOptions::latency)},
        {"lag-low-ms", milliseconds("shortest replication lag", &StandinOptions::lagLow)},
        {"lag-high-ms", milliseconds("longest replication lag", &StandinOptions::lagHigh)},
        {"leave-ms", milliseconds("time from SIGTERM to the exit", &StandinOptions::leaveTime)},
        {"seed", Table::number("seed of the random numbers", &StandinOptions::seed, std::uint64_t(0), ~std::uint64_t(0))},
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
    auto parsed = optionTable().parse(argc, argv);
    if (parsed.isHelp) {
        return parsed;
    }
    checkTogether(parsed);
    return parsed;
}

std::string usage()
{
    return "Usage: waxwing-standin --listen IP:PORT --database NAME --group NAME [options]\n" + optionTable().help();
}

} // namespace waxwing::standin
