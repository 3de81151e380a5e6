#include "load_options.h"

#include "profile.h"

#include <cstdio>

namespace waxwing::load
{

namespace
{

using Table = OptionTable<LoadOptions>;

bool readSurge(LoadOptions &options, const std::string &text)
{
    double start = 0;
    double length = 0;
    double factor = 0;
    int used = 0;
    if (std::sscanf(text.c_str(), "%lf:%lf:%lf%n", &start, &length, &factor, &used) != 3 || static_cast<std::size_t>(used) != text.size() || start < 0
        || length < 0 || factor < 1 || factor > 1000) {
        return false;
    }
    options.surge
        = {.start = Duration(static_cast<Duration::rep>(start * 1e9)), .length = Duration(static_cast<Duration::rep>(length * 1e9)), .factor = factor};
    return true;
}

const Table &optionTable()
{
    static const Table table {
        {"proxy", Table::list("IP:PORT of a proxy; may be repeated", &LoadOptions::proxies)},
        {"direct",
         {"IP:PORT of a database, spoken to without a proxy; may be repeated, the primary first",
          [](LoadOptions &options, const std::string &text) {
              options.isDirect = true;
              options.proxies.push_back(text);
              return true;
          }}},
        {"direct-term", Table::number("term sent in direct mode", &LoadOptions::directTerm, std::uint64_t(0), std::uint64_t(1) << 62)},
        {"service", Table::list("service; may be repeated", &LoadOptions::services)},
        {"profile", Table::text("hemming-orders or petal-ledger", &LoadOptions::profile)},
        {"rate", Table::number("planned arrivals per second", &LoadOptions::rate, 0.1, 100'000.0)},
        {"duration", Table::duration("seconds of arrivals", &LoadOptions::duration, 1s, 7200)},
        {"seed", Table::number("seed", &LoadOptions::seed, std::uint64_t(0), ~std::uint64_t(0))},
        {"connections", Table::number("keep-alive connections over all proxies", &LoadOptions::connections, 1U, 20'000U)},
        {"keys", Table::number("keys per service", &LoadOptions::keys, 1U, 1'000'000U)},
        {"zipf", Table::number("exponent of the key popularity", &LoadOptions::zipf, 0.0, 5.0)},
        {"roam", Table::number("probability that a session changes the proxy", &LoadOptions::roam, 0.0, 1.0)},
        {"straggler-share", Table::number("share of long statements", &LoadOptions::stragglerShare, 0.0, 1.0)},
        {"straggler-factor", Table::number("cost of a long statement in mean costs", &LoadOptions::stragglerFactor, 1.0, 10'000.0)},
        {"transaction-share", Table::number("share of transactions", &LoadOptions::transactionShare, 0.0, 1.0)},
        {"cost-factor", Table::number("factor on the statement costs", &LoadOptions::costFactor, 0.0, 1000.0)},
        {"surge", {"START:LENGTH:FACTOR, in seconds", readSurge}},
        {"deadline-ms", Table::duration("deadline of an operation", &LoadOptions::deadline, 1ms, 600'000)},
        {"keyed", Table::number("0: no operation carries an idempotency key; 1: as the profile says", &LoadOptions::keyed, 0U, 1U)},
        {"retry-window-ms", Table::duration("time after which a caller gives up on a keyed write", &LoadOptions::retryWindow, 1ms, 600'000)},
        {"capacity-slots", Table::number("slots per database, for the clairvoyant schedule", &LoadOptions::capacitySlots, 1U, 10'000U)},
        {"capacity-databases", Table::number("databases per service, for the clairvoyant schedule", &LoadOptions::capacityDatabases, 1U, 100U)},
        {"history", Table::text("file for the caller history", &LoadOptions::history)},
        {"json", Table::text("file for the results", &LoadOptions::json)},
        {"csv", Table::text("file for the results per 100 ms", &LoadOptions::csv)},
    };
    return table;
}

} // namespace

ParsedLoadOptions parseLoadOptions(int argc, char **argv)
{
    auto parsed = optionTable().parse(argc, argv);
    if (parsed.isHelp) {
        return parsed;
    }
    if (parsed.options.proxies.empty()) {
        parsed.errors.emplace_back("At least one --proxy or --direct is required.");
    }
    if (profileClasses(parsed.options.profile).empty()) {
        parsed.errors.push_back("--profile: unknown profile: " + parsed.options.profile);
    }
    if (parsed.options.services.empty()) {
        parsed.options.services.emplace_back("orders");
    }
    return parsed;
}

std::string loadUsage()
{
    return "Usage: waxwing-load run --proxy IP:PORT [options]\n" + optionTable().help();
}

} // namespace waxwing::load
