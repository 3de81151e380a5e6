#include "session_settings.h"

#include <waxwing/support/settings.h>

namespace waxwing
{

SessionSettings SessionSettings::load(const std::string &path)
{
    SessionSettings result;
    auto settings = Settings::load(path);
    result.name = settings.text("sessions.name");
    result.failureDomain = settings.text("sessions.failure_domain");
    result.callerListen = settings.text("sessions.listen");
    result.readyListen = settings.text("sessions.ready");
    result.metricsListen = settings.text("sessions.metrics", {});
    result.seeds = settings.texts("control.seeds");
    result.linkPort = static_cast<std::size_t>(settings.integer("control.link_port", {1, 65'535, 7'440}));
    result.keyFile = settings.text("link.key_file", {});
    result.logLevel = settings.logLevel();
    result.maxSessions = static_cast<std::size_t>(settings.integer("sessions.max_sessions", {1, 1'000'000, 3'500}));
    result.warmConnections = static_cast<std::size_t>(settings.integer("sessions.warm_connections", {0, 64, 2}));
    result.connectionLimit = static_cast<std::size_t>(settings.integer("sessions.connection_limit", {1, 1'000, 12}));
    result.stopLimit = settings.milliseconds("sessions.stop_limit_ms", {1'000, 600'000, 6'000});
    for (const auto &entry : settings.texts("sessions.regions")) {
        const auto equals = entry.find('=');
        if (equals == std::string::npos) {
            result.errors.push_back(path + ": sessions.regions: \"" + entry + "\" must be \"DOMAIN=REGION\"");
        } else {
            result.regions[entry.substr(0, equals)] = entry.substr(equals + 1);
        }
    }
    settings.refuseUnknownKeys();
    result.errors.insert(result.errors.end(), settings.errors().begin(), settings.errors().end());
    if (result.seeds.empty()) {
        result.errors.push_back(path + ": control.seeds: must list at least one address");
    }
    return result;
}

} // namespace waxwing
