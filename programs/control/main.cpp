#include "control_settings.h"
#include "operator_command.h"
#include "serve.h"
#include "serve_sessions.h"
#include "session_control_settings.h"

#include <getopt.h>

#include <array>
#include <csignal>
#include <iostream>
#include <string>
#include <string_view>

namespace
{

constexpr std::string_view usage = R"(Usage: waxwing-control serve --settings FILE [--check-settings]
       waxwing-control serve-sessions --settings FILE [--check-settings]
       waxwing-control apply [OPTION]... FILE    create or change the resources of a JSON file ("-": standard input)
       waxwing-control get [OPTION]... [KIND [NAME]]
       waxwing-control watch [OPTION]... [--from VERSION] [--count N]
       waxwing-control status [OPTION]...
       waxwing-control check FILE                check a JSON file without a server
       waxwing-control explain --request ID FILE...    show what the log files contain about a request

  -s, --settings FILE     settings of the process (serve)
      --check-settings    check the settings and exit
  -a, --address LIST      IP:port of control processes, separated by commas (default 127.0.0.1:7500)
  -t, --token-file FILE   file with the bearer token; not needed for the status of a deployment that serves sessions
  -o, --output FORMAT     table (default) or json
      --from VERSION      watch changes after this version (default: from now on)
      --count N           stop after N changes
  -r, --request ID        request to explain
      --help, --version

Exit codes: 0 success, 1 failure, 2 usage error.
)";

int usageError(const std::string &problem)
{
    std::cerr << "waxwing-control: " << problem << "\nTry 'waxwing-control --help'.\n";
    return 2;
}

int serveSessionsCommand(const std::string &file, bool checkSettings)
{
    if (file.empty()) {
        return usageError("serve-sessions needs --settings FILE");
    }
    const auto settings = waxwing::control::SessionControlSettings::load(file);
    for (const auto &error : settings.errors) {
        std::cerr << error << '\n';
    }
    if (!settings.errors.empty()) {
        return 2;
    }
    return checkSettings ? 0 : waxwing::control::serveSessions(settings);
}

} // namespace

int main(int argc, char **argv)
{
    enum LongOption { Help = 256, Version, CheckSettings, From, Count };
    const std::array<option, 11> options {{{"settings", required_argument, nullptr, 's'},
                                           {"address", required_argument, nullptr, 'a'},
                                           {"token-file", required_argument, nullptr, 't'},
                                           {"output", required_argument, nullptr, 'o'},
                                           {"request", required_argument, nullptr, 'r'},
                                           {"help", no_argument, nullptr, Help},
                                           {"version", no_argument, nullptr, Version},
                                           {"check-settings", no_argument, nullptr, CheckSettings},
                                           {"from", required_argument, nullptr, From},
                                           {"count", required_argument, nullptr, Count},
                                           {nullptr, 0, nullptr, 0}}};
    std::string settingsFile;
    bool checkSettings = false;
    waxwing::control::OperatorCommand command;
    int selected = 0;
    while ((selected = getopt_long(argc, argv, "s:a:t:o:r:", options.data(), nullptr)) != -1) {
        switch (selected) {
        case 's':
            settingsFile = optarg;
            break;
        case 'a':
            command.setAddresses(optarg);
            break;
        case 't':
            command.tokenFile = optarg;
            break;
        case 'r':
            command.request = optarg;
            break;
        case 'o':
            if (std::string_view(optarg) != "json" && std::string_view(optarg) != "table") {
                return usageError("--output: expected table or json, got " + std::string(optarg));
            }
            command.json = std::string_view(optarg) == "json";
            break;
        case Help:
            std::cout << usage;
            return 0;
        case Version:
            std::cout << "waxwing-control 0.1.0\n";
            return 0;
        case CheckSettings:
            checkSettings = true;
            break;
        case From:
        case Count:
            if (!command.setNumber(selected == From, optarg)) {
                return usageError("--from and --count expect a whole number, got " + std::string(optarg));
            }
            break;
        default:
            return usageError("unknown option");
        }
    }
    if (optind >= argc) {
        return usageError("a command is required");
    }
    command.name = argv[optind++];
    command.arguments.assign(argv + optind, argv + argc);
    if (command.name == "serve-sessions" || command.name == "serve") {
        // A reload that is requested before it can be handled must not end the process.
        std::signal(SIGHUP, SIG_IGN);
    }
    if (command.name == "serve-sessions") {
        return serveSessionsCommand(settingsFile, checkSettings);
    }
    if (command.name != "serve") {
        return waxwing::control::runOperatorCommand(command);
    }
    if (settingsFile.empty() || !command.arguments.empty()) {
        return usageError("serve needs --settings FILE and no further arguments");
    }
    const auto settings = waxwing::control::ControlSettings::load(settingsFile);
    for (const auto &error : settings.errors) {
        std::cerr << error << '\n';
    }
    if (!settings.errors.empty()) {
        return 2;
    }
    return checkSettings ? 0 : waxwing::control::serve(settings);
}
