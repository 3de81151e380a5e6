#include "proxy_settings.h"

#include <waxwing/support/settings.h>
#include <waxwing/transport/socket_address.h>

namespace waxwing
{

namespace
{

// Transaction identifiers join the names of proxy and group with a colon.
bool isName(std::string_view text)
{
    constexpr std::size_t maxLength = 63;
    return !text.empty() && text.size() <= maxLength && text.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-_.") == std::string_view::npos;
}

void checkAddress(std::vector<std::string> &errors, const std::string &path, std::string_view key, const std::string &address)
{
    if (!address.empty() && !parseSocketAddress(address)) {
        errors.push_back(path + ": " + std::string(key) + ": \"" + address + "\" is not of the form IP:port");
    }
}

} // namespace

LoadedProxySettings loadProxySettings(const std::string &path)
{
    auto file = Settings::load(path);
    LoadedProxySettings loaded;
    auto &values = loaded.settings;
    values.name = file.text("proxy.name");
    values.failureDomain = file.text("proxy.failure_domain");
    values.callerListen = file.text("proxy.listen");
    values.callerAddress = file.text("proxy.address", values.callerListen);
    values.linkListen = file.text("proxy.link_listen");
    values.linkAddress = file.text("proxy.link_address", values.linkListen);
    values.dataFolder = file.text("proxy.data_folder");
    values.controlAddresses = file.texts("control.addresses");
    values.keyFile = file.text("keys.link", "");
    values.sessionKeyFile = file.text("keys.session");
    values.logFile = file.text("log.file", "");
    values.logLevel = file.logLevel();
    values.maxConnections = static_cast<std::size_t>(file.integer("limits.connections", {.low = 1, .high = 100'000, .fallback = 10'000}));
    values.maxBodyBytes = static_cast<std::size_t>(file.integer("limits.body_bytes", {.low = 1'024, .high = 64 << 20, .fallback = 1 << 20}));
    values.ringCapacity = static_cast<std::size_t>(file.integer("limits.ring", {.low = 16, .high = 1 << 20, .fallback = 16'384}));
    values.explainCapacity = static_cast<std::size_t>(file.integer("limits.explained_requests", {.low = 0, .high = 1 << 20, .fallback = 4'096}));
    values.maxWaiting = static_cast<std::size_t>(file.integer("limits.waiting_for_owner", {.low = 0, .high = 1 << 20, .fallback = 10'000}));
    values.drainNotice = file.milliseconds("drain.notice_ms", {.low = 0, .high = 600'000, .fallback = 2'000});
    values.drainLimit = file.milliseconds("drain.limit_ms", {.low = 0, .high = 3'600'000, .fallback = 30'000});
    values.hedgesReads = file.boolean("reads.hedging", true);
    file.refuseUnknownKeys();
    loaded.errors = file.errors();
    if (!isName(values.name)) {
        loaded.errors.push_back(path + ": proxy.name: must be 1 to 63 characters of a-z, 0-9, '-', '_', '.'");
    }
    if (values.controlAddresses.empty()) {
        loaded.errors.push_back(path + ": control.addresses: missing; at least one address is required");
    }
    checkAddress(loaded.errors, path, "proxy.listen", values.callerListen);
    checkAddress(loaded.errors, path, "proxy.address", values.callerAddress);
    checkAddress(loaded.errors, path, "proxy.link_listen", values.linkListen);
    checkAddress(loaded.errors, path, "proxy.link_address", values.linkAddress);
    for (const auto &address : values.controlAddresses) {
        checkAddress(loaded.errors, path, "control.addresses", address);
    }
    return loaded;
}

} // namespace waxwing
