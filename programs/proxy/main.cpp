#include "proxy_process.h"
#include "proxy_settings.h"
#include "session_keys.h"
#include "session_process.h"
#include "session_settings.h"

#include <waxwing/support/log.h>
#include <waxwing/transport/link_key.h>

#include <getopt.h>
#include <pthread.h>
#include <signal.h>

#include <array>
#include <csignal>
#include <cstdio>
#include <string>
#include <string_view>

using namespace waxwing;

namespace
{

constexpr int exitFailure = 1;
constexpr int exitUsage = 2;

constexpr const char *usage = "Usage: waxwing-proxy [sessions] --settings FILE [--check-settings]\n"
                              "\n"
                              "Serves callers of database groups over HTTP (docs/design.md), or with the command sessions\n"
                              "over connections that are sessions (docs/platform.md).\n"
                              "\n"
                              "  -s, --settings FILE    settings in TOML\n"
                              "      --check-settings   check the settings and the key files, then exit\n"
                              "  -h, --help             show this text\n"
                              "  -V, --version          show the version\n"
                              "\n"
                              "Exit codes: 0 planned stop or settings without errors, 1 failure, 2 wrong usage or settings.\n"
                              "SIGTERM and SIGINT begin a planned stop.\n";

struct CommandLine
{
    std::string settings;
    bool checksOnly = false;
    bool sessions = false;
    int exitCode = -1; ///< set if the program is to end at once
};

CommandLine parse(int argc, char **argv)
{
    constexpr int checkSettings = 1'000;
    const std::array<option, 5> options = {{{"settings", required_argument, nullptr, 's'},
                                            {"check-settings", no_argument, nullptr, checkSettings},
                                            {"help", no_argument, nullptr, 'h'},
                                            {"version", no_argument, nullptr, 'V'},
                                            {nullptr, 0, nullptr, 0}}};
    CommandLine line;
    for (int found = 0; (found = getopt_long(argc, argv, "s:hV", options.data(), nullptr)) != -1;) {
        switch (found) {
        case 's':
            line.settings = optarg;
            break;
        case checkSettings:
            line.checksOnly = true;
            break;
        case 'h':
            std::fputs(usage, stdout);
            line.exitCode = 0;
            return line;
        case 'V':
            std::puts("waxwing-proxy " WAXWING_VERSION);
            line.exitCode = 0;
            return line;
        default:
            line.exitCode = exitUsage;
            return line;
        }
    }
    if (optind < argc && std::string_view(argv[optind]) == "sessions") {
        line.sessions = true;
        ++optind;
    }
    if (line.settings.empty() || optind != argc) {
        std::fputs(usage, stderr);
        line.exitCode = exitUsage;
    }
    return line;
}

int run(const ProxySettings &settings, TokenKeyRing &&keys, LinkKey &&linkKey)
{
    // The signals are taken by sigwait() below; the threads inherit the mask.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    signal(SIGPIPE, SIG_IGN);
    log::start({.process = settings.name, .file = settings.logFile, .level = settings.logLevel});
    ProxyProcess proxy(settings, std::move(keys), std::move(linkKey));
    if (const auto error = proxy.start(); !error.empty()) {
        log::stop();
        std::fprintf(stderr, "waxwing-proxy: %s\n", error.c_str());
        return exitFailure;
    }
    log::write(log::Level::Info, "started", {{"listen", settings.callerListen}, {"link", settings.linkListen}});
    int number = 0;
    sigwait(&signals, &number);
    proxy.stop();
    const bool isComplete = proxy.wait();
    log::stop();
    return isComplete ? 0 : exitFailure;
}

int runSessions(const CommandLine &line)
{
    const auto settings = SessionSettings::load(line.settings);
    for (const auto &error : settings.errors) {
        std::fprintf(stderr, "%s\n", error.c_str());
    }
    if (!settings.errors.empty()) {
        return exitUsage;
    }
    return line.checksOnly ? 0 : runSessionProxy(settings);
}

} // namespace

int main(int argc, char **argv)
{
    // A reload that is requested before it can be handled must not end the process.
    std::signal(SIGHUP, SIG_IGN);
    const auto line = parse(argc, argv);
    if (line.exitCode >= 0) {
        return line.exitCode;
    }
    if (line.sessions) {
        return runSessions(line);
    }
    auto loaded = loadProxySettings(line.settings);
    LinkKey linkKey;
    if (!loaded.settings.keyFile.empty()) {
        auto key = loadLinkKey(loaded.settings.keyFile);
        if (key) {
            linkKey = std::move(key.value());
        } else {
            loaded.errors.push_back(loaded.settings.keyFile + ": " + key.error().message());
        }
    }
    auto keys
        = loaded.settings.sessionKeyFile.empty() ? std::variant<TokenKeyRing, std::string>(TokenKeyRing()) : loadSessionKeys(loaded.settings.sessionKeyFile);
    if (const auto *error = std::get_if<std::string>(&keys)) {
        loaded.errors.push_back(*error);
    }
    if (!loaded.errors.empty()) {
        for (const auto &error : loaded.errors) {
            std::fprintf(stderr, "%s\n", error.c_str());
        }
        return exitUsage;
    }
    return line.checksOnly ? 0 : run(loaded.settings, std::move(std::get<TokenKeyRing>(keys)), std::move(linkKey));
}
