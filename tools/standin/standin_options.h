#pragma once

#include <waxwing/support/option_table.h>
#include <waxwing/support/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace waxwing::standin
{

/// @brief Settings of one stand-in, from the command line.
struct StandinOptions
{
    std::string listen;
    std::string adminListen;
    std::string database;
    std::string group;
    std::string failureDomain = "fd1";
    std::string history; ///< path of the history file; none when empty
    std::vector<std::string> proxies; ///< addresses for announcements, tried in turn
    bool startsAsPrimary = false;
    std::string primary; ///< address to follow at the first start
    std::uint64_t term = 0; ///< term at the first start; 0 waits for control
    unsigned slots = 3;
    unsigned connections = 20;
    Duration statementCost = 1ms; ///< for statements that state none
    Duration connectCost = 0ms; ///< added to the first request of a connection
    Duration latency = 0ms; ///< one way, between callers of the endpoint and the database
    Duration lagLow = 20ms; ///< replication lag, uniform
    Duration lagHigh = 200ms;
    Duration leaveTime = 4s; ///< from SIGTERM to the exit
    std::uint64_t seed = 1;
};

using ParsedOptions = OptionTable<StandinOptions>::Parsed;

/// @brief Reads and checks the command line.
ParsedOptions parseOptions(int argc, char **argv);

/// @brief Text for --help.
std::string usage();

} // namespace waxwing::standin
