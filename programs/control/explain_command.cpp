#include "explain_command.h"

#include "request_trace.h"

#include <boost/json/serialize.hpp>

#include <fstream>
#include <iomanip>
#include <iostream>

namespace waxwing::control
{

namespace
{

constexpr int timeWidth = 8; // for milliseconds such as -123456, and a space
constexpr int processWidth = 22; // wider than common process names such as control-1
constexpr int eventWidth = 26;

std::string describe(const boost::json::object &fields)
{
    std::string text;
    for (const auto &[name, value] : fields) {
        text += (text.empty() ? "" : " ") + std::string(name) + '=';
        text += value.is_string() ? std::string(value.get_string()) : boost::json::serialize(value);
    }
    return text;
}

void print(const RequestTrace::Line &line, std::int64_t outcomeMs)
{
    std::cout << (line.ofRequest ? "* " : "  ") << std::setw(timeWidth) << line.timeMs - outcomeMs << "  " << std::left << std::setw(processWidth)
              << line.process << std::setw(eventWidth) << line.event << std::right << describe(line.fields) << '\n';
}

void printJson(const RequestTrace::Line &line)
{
    boost::json::object object {{"time_ms", line.timeMs}, {"process", line.process}, {"event", line.event}, {"of_request", line.ofRequest}};
    for (const auto &field : line.fields) {
        object[field.key()] = field.value();
    }
    std::cout << boost::json::serialize(object) << '\n';
}

} // namespace

int explainRequest(const std::string &request, const std::vector<std::string> &files, bool json)
{
    RequestTrace trace(request);
    for (const bool related : {false, true}) {
        for (const auto &path : files) {
            std::ifstream log(path);
            if (!log) {
                std::cerr << "waxwing-control: " << path << ": can't read the file\n";
                return 1;
            }
            related ? trace.collectRelated(log) : trace.collectRequest(log);
        }
    }
    if (trace.unreadable() != 0) {
        std::cerr << "waxwing-control: " << trace.unreadable() << " damaged log lines were skipped\n";
    }
    std::int64_t outcomeMs = 0;
    bool found = false;
    for (const auto &line : trace.lines()) {
        if (line.ofRequest) {
            outcomeMs = line.timeMs;
            found = true;
        }
    }
    if (!found) {
        std::cerr << "waxwing-control: no line about request " << request << "; statements that succeed in time are only logged in samples\n";
        return 1;
    }
    if (!json) {
        std::cout << "times in ms before and after the last line of request " << request << " (*)\n";
    }
    for (const auto &line : trace.lines()) {
        json ? printJson(line) : print(line, outcomeMs);
    }
    return 0;
}

} // namespace waxwing::control
