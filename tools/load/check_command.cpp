#include "check_command.h"

#include "checker.h"
#include "history_reader.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <getopt.h>

#include <array>
#include <fstream>
#include <iostream>

namespace waxwing::load
{

namespace
{

constexpr int exitViolation = 1;
constexpr int exitUsage = 2;
constexpr std::size_t maxPrinted = 10; // Per check.

struct CheckOptions
{
    std::vector<std::string> callers;
    std::vector<std::string> databases;
    std::string acknowledge = "majority";
    std::string json;
};

bool readOptions(int argc, char **argv, CheckOptions &options)
{
    const std::array<option, 5> table {{{"callers", required_argument, nullptr, 'c'},
                                        {"database", required_argument, nullptr, 'd'},
                                        {"acknowledge", required_argument, nullptr, 'a'},
                                        {"json", required_argument, nullptr, 'j'},
                                        {nullptr, 0, nullptr, 0}}};
    int code = 0;
    while ((code = getopt_long(argc, argv, "", table.data(), nullptr)) != -1) {
        switch (code) {
        case 'c':
            options.callers.emplace_back(optarg);
            break;
        case 'd':
            options.databases.emplace_back(optarg);
            break;
        case 'a':
            options.acknowledge = optarg;
            break;
        case 'j':
            options.json = optarg;
            break;
        default:
            return false;
        }
    }
    return optind == argc && !options.databases.empty() && (options.acknowledge == "majority" || options.acknowledge == "primary");
}

template<class Read>
bool addFiles(Checker &checker, const std::vector<std::string> &paths, Read read)
{
    for (const auto &path : paths) {
        const auto items = read(path);
        if (!items) {
            std::cerr << "waxwing-load: cannot read " << path << "\n";
            return false;
        }
        checker.add(*items);
    }
    return true;
}

boost::json::object toJson(const std::map<std::string, std::uint64_t> &counts)
{
    boost::json::object object;
    for (const auto &[name, count] : counts) {
        object[name] = count;
    }
    return object;
}

} // namespace

int checkCommand(int argc, char **argv)
{
    CheckOptions options;
    if (!readOptions(argc, argv, options)) {
        std::cerr << "Usage: waxwing-load check --database FILE... [--callers FILE...] [--acknowledge majority|primary] [--json FILE]\n";
        return exitUsage;
    }
    Checker checker(options.acknowledge == "majority");
    if (!addFiles(checker, options.databases, readDatabaseHistory) || !addFiles(checker, options.callers, readCallerHistory)) {
        return exitUsage;
    }
    checker.run();
    std::map<std::string, std::uint64_t> counts;
    std::uint64_t total = 0;
    for (const auto &[check, violations] : checker.violations()) {
        counts[check] = violations.size();
        total += violations.size();
        for (std::size_t index = 0; index < std::min(maxPrinted, violations.size()); ++index) {
            std::cout << check << ": " << violations[index] << "\n";
        }
    }
    const boost::json::object summary {
        {"violations", total}, {"by_check", toJson(counts)}, {"checked", toJson(checker.checked())}, {"rejections", toJson(checker.rejections())}};
    std::cout << boost::json::serialize(summary) << "\n";
    if (!options.json.empty()) {
        std::ofstream(options.json) << boost::json::serialize(summary) << "\n";
    }
    return total == 0 ? 0 : exitViolation;
}

} // namespace waxwing::load
