#pragma once

#include <boost/json/object.hpp>

#include <cstddef>
#include <cstdint>
#include <istream>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace waxwing::control
{

/// @brief Lines of the processes' logs that tell what became of a request, in the order of time.
///
/// Reads the logs twice: collect() finds the lines of the request and with them the time, the process and the service;
/// relate() finds what these processes, and those of control, logged about the service around that time.
class RequestTrace
{
public:
    /// One line of a log.
    struct Line
    {
        std::int64_t timeMs = 0; ///< Unix time by the clock of the process that wrote it
        std::string process;
        std::string event;
        bool ofRequest = false; ///< names the request itself
        boost::json::object fields; ///< without the three above and the level
    };

    explicit RequestTrace(std::string request);

    /// @brief Takes the lines of the request from one log. A line may have a prefix before its JSON object.
    void collect(std::istream &log);

    /// @brief Takes the lines around the request from one log; call it for every log after the last collect().
    void relate(std::istream &log);

    /// @brief All lines in the order of time.
    const std::vector<Line> &lines();

    /// @brief Lines that begin like a JSON object but can't be read.
    std::size_t unreadable() const
    {
        return m_unreadable;
    }

private:
    bool isRelated(const Line &line) const;

    std::string m_request;
    std::vector<Line> m_lines;
    std::set<std::string, std::less<>> m_processes; ///< that logged the request
    std::set<std::string, std::less<>> m_services; ///< that the request ran on
    std::int64_t m_from = 0; ///< ms
    std::int64_t m_to = 0; ///< ms
    std::size_t m_unreadable = 0;
    bool m_sorted = false;
};

} // namespace waxwing::control
