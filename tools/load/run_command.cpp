#include "run_command.h"

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

} // namespace waxwing::load
