#include "run_command.h"

#include "experiment_preset.h"
#include "generator.h"
#include "load_options.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/serialize.hpp>

#include <fstream>
#include <iostream>

namespace waxwing::load
{

namespace
{

constexpr int exitFailure = 1;
constexpr int exitUsage = 2;

bool writeFile(const std::string &path, const std::string &text)
{
    if (path.empty()) {
        return true;
    }
    std::ofstream file(path);
    file << text;
    file.close();
    if (!file) {
        std::cerr << "waxwing-load: cannot write " << path << "\n";
        return false;
    }
    return true;
}

} // namespace

int runCommand(int argc, char **argv)
{
    const auto parsed = parseLoadOptions(argc, argv);
    if (parsed.isHelp) {
        std::cout << loadUsage();
        return 0;
    }
    for (const auto &error : parsed.errors) {
        std::cerr << "waxwing-load: " << error << "\n";
    }
    if (!parsed.errors.empty()) {
        return exitUsage;
    }
    boost::asio::io_context context(1);
    Generator generator(context, parsed.options);
    generator.start();
    context.run();
    const auto &results = generator.results();
    std::cout << "seed " << parsed.options.seed << "\n" << results.toTable();
    const bool isWritten = writeFile(parsed.options.json, boost::json::serialize(results.toJson()) + "\n") && writeFile(parsed.options.csv, results.toCsv());
    return isWritten ? 0 : exitFailure;
}

int experimentCommand(int argc, char **argv)
{
    const auto preset = experimentPreset(argc > 1 ? argv[1] : "");
    if (preset.empty()) {
        std::cerr << "Usage: waxwing-load experiment NAME [options of run]\nNames:";
        for (const auto name : experimentNames()) {
            std::cerr << " " << name;
        }
        std::cerr << "\n";
        return exitUsage;
    }
    // getopt_long takes mutable texts, but does not change them.
    std::vector<char *> arguments {argv[0]};
    for (const auto *option : preset) {
        arguments.push_back(const_cast<char *>(option));
    }
    arguments.insert(arguments.end(), argv + 2, argv + argc);
    arguments.push_back(nullptr);
    return runCommand(static_cast<int>(arguments.size()) - 1, arguments.data());
}

} // namespace waxwing::load
