#pragma once

#include <waxwing/support/log.h>
#include <waxwing/support/time.h>

#include <cstddef>
#include <string>
#include <vector>

namespace waxwing
{

/// @brief Settings of one proxy, from its TOML file.
struct ProxySettings
{
    std::string name; ///< unique among the proxies
    std::string failureDomain;
    std::string callerListen; ///< IP:port for callers, endpoints and operators' checks
    std::string callerAddress; ///< as other processes reach it; `callerListen` by default
    std::string linkListen; ///< IP:port for peers
    std::string linkAddress; ///< as peers reach it; `linkListen` by default
    std::string dataFolder;
    std::vector<std::string> controlAddresses; ///< IP:port of the link of each control process
    std::string keyFile; ///< CURVE keys; empty for an unencrypted link, in tests only
    std::string sessionKeyFile; ///< keys that sign session tokens
    std::string logFile; ///< standard error when empty
    log::Level logLevel = log::Level::Info;

    std::size_t maxConnections = 10'000;
    std::size_t maxBodyBytes = 1 << 20;
    std::size_t ringCapacity = 16'384; ///< statements that wait between the threads, each way
    std::size_t explainCapacity = 4'096; ///< requests whose decisions can be explained
    std::size_t maxWaiting = 10'000; ///< statements that wait for an owner
    Duration drainNotice = 2s; ///< /healthz answers 503 for this long before connections are closed
    Duration drainLimit = 30s; ///< longest wait for work in flight at a planned stop
    bool hedgesReads = true; ///< short reads that are stuck are sent to a second replica
};

/// @brief Result of reading a settings file.
struct LoadedProxySettings
{
    ProxySettings settings;
    std::vector<std::string> errors; ///< one sentence each, with file and line
};

/// @brief Reads and checks a settings file.
LoadedProxySettings loadProxySettings(const std::string &path);

} // namespace waxwing
