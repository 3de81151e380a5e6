#include "load_options.h"

#include "profile.h"

#include <getopt.h>

#include <charconv>
#include <cstdio>
#include <functional>
#include <map>

namespace waxwing::load
{

namespace
{

struct OptionSpec
{
    std::string help;
    std::function<bool(LoadOptions &, const std::string &)> read; // Returns false if the value is not valid.
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

OptionSpec textOption(std::string help, std::string LoadOptions::*field)
{
    return {std::move(help), [field](LoadOptions &options, const std::string &text) {
                options.*field = text;
                return true;
            }};
}

OptionSpec listOption(std::string help, std::vector<std::string> LoadOptions::*field)
{
    return {std::move(help), [field](LoadOptions &options, const std::string &text) {
                (options.*field).push_back(text);
                return true;
            }};
}

template<class Number>
OptionSpec numberOption(std::string help, Number LoadOptions::*field, Number low, Number high)
{
    return {std::move(help), [=](LoadOptions &options, const std::string &text) {
                return readNumber(text, low, high, options.*field);
            }};
}

OptionSpec durationOption(std::string help, Duration LoadOptions::*field, double nanosecondsPerUnit, double high)
{
    return {std::move(help), [=](LoadOptions &options, const std::string &text) {
                double value = 0;
                if (!readNumber(text, 0.0, high, value)) {
                    return false;
                }
                options.*field = Duration(static_cast<Duration::rep>(value * nanosecondsPerUnit));
                return true;
            }};
}

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

const std::map<std::string, OptionSpec> &specs()
{
    static const std::map<std::string, OptionSpec> table {
        {"proxy", listOption("IP:PORT of a proxy; may be repeated", &LoadOptions::proxies)},
        {"direct",
         {"IP:PORT of a database, spoken to without a proxy; may be repeated, the primary first",
          [](LoadOptions &options, const std::string &text) {
              options.isDirect = true;
              options.proxies.push_back(text);
              return true;
          }}},
        {"direct-term", numberOption("term sent in direct mode", &LoadOptions::directTerm, std::uint64_t(0), std::uint64_t(1) << 62)},
        {"service", listOption("service; may be repeated", &LoadOptions::services)},
        {"profile", textOption("hemming-orders or petal-ledger", &LoadOptions::profile)},
        {"rate", numberOption("planned arrivals per second", &LoadOptions::rate, 0.1, 100'000.0)},
        {"duration", durationOption("seconds of arrivals", &LoadOptions::duration, 1e9, 7200)},
        {"seed", numberOption("seed", &LoadOptions::seed, std::uint64_t(0), ~std::uint64_t(0))},
        {"connections", numberOption("keep-alive connections over all proxies", &LoadOptions::connections, 1U, 20'000U)},
        {"keys", numberOption("keys per service", &LoadOptions::keys, 1U, 1'000'000U)},
        {"zipf", numberOption("exponent of the key popularity", &LoadOptions::zipf, 0.0, 5.0)},
        {"roam", numberOption("probability that a session changes the proxy", &LoadOptions::roam, 0.0, 1.0)},
        {"straggler-share", numberOption("share of long statements", &LoadOptions::stragglerShare, 0.0, 1.0)},
        {"straggler-factor", numberOption("cost of a long statement in mean costs", &LoadOptions::stragglerFactor, 1.0, 10'000.0)},
        {"transaction-share", numberOption("share of transactions", &LoadOptions::transactionShare, 0.0, 1.0)},
        {"cost-factor", numberOption("factor on the statement costs", &LoadOptions::costFactor, 0.0, 1000.0)},
        {"surge", {"START:LENGTH:FACTOR, in seconds", readSurge}},
        {"deadline-ms", durationOption("deadline of an operation", &LoadOptions::deadline, 1e6, 600'000)},
        {"keyed", numberOption("0: no operation carries an idempotency key; 1: as the profile says", &LoadOptions::keyed, 0U, 1U)},
        {"retry-window-ms", durationOption("time after which a caller gives up on a keyed write", &LoadOptions::retryWindow, 1e6, 600'000)},
        {"capacity-slots", numberOption("slots per database, for the clairvoyant schedule", &LoadOptions::capacitySlots, 1U, 10'000U)},
        {"capacity-databases", numberOption("databases per service, for the clairvoyant schedule", &LoadOptions::capacityDatabases, 1U, 100U)},
        {"history", textOption("file for the caller history", &LoadOptions::history)},
        {"json", textOption("file for the results", &LoadOptions::json)},
        {"csv", textOption("file for the results per 100 ms", &LoadOptions::csv)},
    };
    return table;
}

} // namespace

ParsedLoadOptions parseLoadOptions(int argc, char **argv)
{
    ParsedLoadOptions parsed;
    std::vector<option> table;
    for (const auto &[name, spec] : specs()) {
        table.push_back({name.c_str(), required_argument, nullptr, 0});
    }
    table.push_back({"help", no_argument, nullptr, 'h'});
    table.push_back({nullptr, 0, nullptr, 0});
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
    std::string text = "Usage: waxwing-load run --proxy IP:PORT [options]\n";
    for (const auto &[name, spec] : specs()) {
        text += "  --" + name + std::string(22 - std::min<std::size_t>(21, name.size()), ' ') + spec.help + "\n";
    }
    return text;
}

} // namespace waxwing::load
