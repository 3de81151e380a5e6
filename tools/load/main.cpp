#include "check_command.h"
#include "run_command.h"

#include <waxwing/transport/link_key.h>

#include <iostream>
#include <string_view>

int main(int argc, char **argv)
{
    constexpr int exitUsage = 2;
    const std::string_view command = argc > 1 ? argv[1] : "";
    if (command == "run") {
        return waxwing::load::runCommand(argc - 1, argv + 1);
    }
    if (command == "experiment") {
        return waxwing::load::experimentCommand(argc - 1, argv + 1);
    }
    if (command == "check") {
        return waxwing::load::checkCommand(argc - 1, argv + 1);
    }
    if (command == "make-link-key") {
        const auto key = waxwing::makeLinkKey();
        std::cout << key.publicKey << "\n" << key.secretKey << "\n";
        return 0;
    }
    auto &out = command == "--help" ? std::cout : std::cerr;
    out << "Usage: waxwing-load run|experiment|check|make-link-key [options]; --help after the command lists its options\n";
    return command == "--help" ? 0 : exitUsage;
}
