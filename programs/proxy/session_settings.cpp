#include "session_settings.h"

#include <waxwing/support/settings.h>

namespace waxwing
{

namespace
{

// Descriptors that are not for callers: 200 are set aside by the platform, up to 600 are for databases and the own system.
constexpr std::int64_t otherFiles = 800;

} // namespace

SessionSettings SessionSettings::load(const std::string &path)
{
    SessionSettings result;
    auto settings = Settings::load(path);
    result.name = settings.word("sessions.name");
    result.failureDomain = settings.text("sessions.failure_domain");
    result.callerListen = settings.text("sessions.listen");
    result.readyListen = settings.text("sessions.ready");
    result.metricsListen = settings.text("sessions.metrics", {});
    result.seeds = settings.texts("control.seeds");
    result.linkPort = static_cast<std::size_t>(settings.integer("control.link_port", {1, 65'535, 7'440}));
    result.linkListen = settings.text("sessions.link", {});
    result.keyFile = settings.text("link.key_file", {});
    result.logLevel = settings.logLevel();
    const auto files = settings.integer("limits.files", {1'000, 10'000'000, 4'300});
    result.maxSessions = static_cast<std::size_t>(settings.integer("sessions.max_sessions", {1, 1'000'000, files - otherFiles}));
    result.warmConnections = static_cast<std::size_t>(settings.integer("sessions.warm_connections", {0, 64, 2}));
    result.connectionLimit = static_cast<std::size_t>(settings.integer("sessions.connection_limit", {1, 1'000, 12}));
    result.stopLimit = settings.seconds("sessions.stop_limit_s", {1, 600, 6});
    result.drainLimit = settings.milliseconds("sessions.drain_limit_ms", {100, 3'600'000, 7'000});
    result.replacedPrimaryStops = settings.boolean("sessions.replaced_primary_stops", false);
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
