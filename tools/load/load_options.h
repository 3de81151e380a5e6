#pragma once

#include <waxwing/support/option_table.h>
#include <waxwing/support/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace waxwing::load
{

/// @brief Rise of the demand for a while.
struct Surge
{
    Duration start = 0s;
    Duration length = 0s;
    double factor = 1;
};

/// @brief Settings of one load run, from the command line.
struct LoadOptions
{
    std::vector<std::string> proxies; ///< addresses of proxies, or of databases in direct mode
    bool isDirect = false; ///< speak the endpoint API to the databases; writes go to the first
    std::uint64_t directTerm = 1;
    std::vector<std::string> services;
    std::string profile = "hemming-orders";
    double rate = 100; ///< planned arrivals per second, all services together
    Duration duration = 10s;
    std::uint64_t seed = 1;
    unsigned connections = 60; ///< keep-alive connections, over all proxies
    unsigned keys = 1000;
    double zipf = 0.9; ///< exponent of the key popularity
    double roam = 0.5; ///< probability that a session changes the proxy before a statement
    double stragglerShare = 0; ///< share of arrivals that are long statements
    double stragglerFactor = 50; ///< cost of a long statement relative to the profile's mean
    double transactionShare = 0; ///< share of arrivals that are transactions
    double costFactor = 1; ///< multiplies the statement costs of the profile
    Surge surge;
    Duration deadline = 1s; ///< per operation, from its planned arrival
    unsigned keyed = 1; ///< 0: operations that must not repeat carry no key and may repeat
    Duration retryWindow = 5s; ///< a caller gives up on a keyed write after this time from its planned arrival
    unsigned capacitySlots = 3; ///< slots of a database, for the clairvoyant schedule
    unsigned capacityDatabases = 3; ///< databases of a service, for the clairvoyant schedule
    std::string history; ///< caller history, JSON lines
    std::string json; ///< results
    std::string csv; ///< results per 100 ms
};

using ParsedLoadOptions = OptionTable<LoadOptions>::Parsed;

/// @brief Reads and checks the command line of `waxwing-load run`.
ParsedLoadOptions parseLoadOptions(int argc, char **argv);

/// @brief Text for --help.
std::string loadUsage();

} // namespace waxwing::load
