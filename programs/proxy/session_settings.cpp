#include "session_settings.h"

#include <waxwing/support/settings.h>

#include <algorithm>

namespace waxwing
{

namespace
{

// Descriptors that are not for callers: 200 are set aside by the platform, up to 600 are for databases and the own system.
constexpr std::int64_t otherFiles = 800;
// Half of the memory is for what clients make the proxy hold. The rest is for the process, its sessions, and the answers of databases
// that are being received.
constexpr std::size_t clientShare = 2;
// A load balancer may hide all clients behind few addresses.
constexpr std::int64_t minSessionsPerAddress = 1'000;

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
    const auto memory = static_cast<std::size_t>(settings.integer("limits.memory_mb", {32, 1'000'000, 160}));
    result.limits.memory = (memory << 20) / clientShare;
    result.limits.sessionsPerAddress = static_cast<std::size_t>(
        settings.integer("limits.sessions_per_address", {1, 1'000'000, std::max(static_cast<std::int64_t>(result.maxSessions / 2), minSessionsPerAddress)}));
    result.limits.firstMessage = settings.milliseconds("limits.first_message_ms", {100, 3'600'000, 10'000});
    result.limits.messageTime = settings.milliseconds("limits.message_window_ms", {1'000, 3'600'000, 60'000});
    result.limits.unreadAnswer = settings.milliseconds("limits.unread_answer_ms", {1'000, 3'600'000, 30'000});
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
