#include "session_control_settings.h"

#include <waxwing/support/settings.h>

namespace waxwing::control
{

namespace
{

std::string_view hostOf(std::string_view address)
{
    return address.substr(0, address.rfind(':'));
}

/// Combines the host of one address with the port of another.
std::string combineHostAndPort(std::string_view hostAddress, std::string_view portAddress)
{
    const auto colon = portAddress.rfind(':');
    return std::string(hostOf(hostAddress)) + std::string(colon == std::string_view::npos ? std::string_view() : portAddress.substr(colon));
}

} // namespace

SessionControlSettings SessionControlSettings::load(const std::string &path)
{
    SessionControlSettings result;
    auto settings = Settings::load(path);
    result.name = settings.word("control.name");
    result.failureDomain = settings.text("control.failure_domain");
    result.httpListen = settings.text("control.http");
    result.linkListen = settings.text("control.link");
    result.announcedLink = settings.text("control.link_address", result.linkListen);
    result.metricsListen = settings.text("control.metrics", {});
    result.dataFolder = settings.text("control.data");
    result.seeds = settings.texts("control.seeds");
    result.mayForm = settings.boolean("control.may_form", false);
    result.platformAddress = settings.text("control.platform", {});
    result.heartbeat = settings.milliseconds("control.heartbeat_ms", {50, 60'000, 1'200});
    result.ordersAreFenced = settings.boolean("control.orders_are_fenced", false);
    result.lateOrderLimit = settings.seconds("control.late_order_limit_s", {0, 3'600, 15});
    result.lossesToBear = static_cast<std::size_t>(settings.integer("control.losses_to_bear", {0, 8, 1}));
    result.rateLimitTolerance = static_cast<double>(settings.integer("control.rate_limit_tolerance", {0, 1'000'000, 20}));
    result.rateLimitWindow = settings.seconds("control.rate_limit_window_s", {1, 3'600, 5});
    // 64 MB is the least of which an eighth holds a configuration of the greatest size beside the part reserved for small requests.
    result.memoryMb = static_cast<std::size_t>(settings.integer("limits.memory_mb", {64, 1'000'000, 256}));
    result.maxHttpConnections = static_cast<std::size_t>(settings.integer("limits.connections", {16, 100'000, 1'000}));
    result.keyFile = settings.text("link.key_file", {});
    result.logLevel = settings.logLevel();
    settings.refuseUnknownKeys();
    result.errors = settings.errors();
    if (result.seeds.empty()) {
        result.errors.push_back(path + ": control.seeds: must list at least one address");
    }
    // Members derive the addresses of links and of HTTP servers from each other.
    if (result.announcedLink != result.linkListen && hostOf(result.announcedLink) != hostOf(result.httpListen)) {
        result.errors.push_back(path + ": control.link_address: \"" + result.announcedLink + "\" must have the host of control.http");
    }
    return result;
}

std::string SessionControlSettings::linkOf(std::string_view httpAddress) const
{
    return combineHostAndPort(httpAddress, announcedLink);
}

std::string SessionControlSettings::httpOf(std::string_view linkAddress) const
{
    return combineHostAndPort(linkAddress, httpListen);
}

} // namespace waxwing::control
