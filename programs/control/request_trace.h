#pragma once

#include <boost/json/object.hpp>

#include <cstddef>
#include <cstdint>
#include <istream>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace waxwing::control
{

/// @brief Collects the log lines of all processes that explain the outcome of a request, in the order of time.
///
/// Reads the logs twice: collectRequest() finds the lines of the request, which give its time, processes and services;
/// collectRelated() finds what these processes and control logged about these services around that time, and how the connections
/// were prepared that ran its prepared statements.
class RequestTrace
{
public:
    /// One line of a log.
    struct Line
    {
        std::int64_t timeMs = 0; ///< Unix time by the clock of the process that wrote it
        std::string process;
        std::string event;
        bool ofRequest = false; ///< the line names the request
        boost::json::object fields; ///< without time, process, event and level
    };

    /// @param request id as the caller knows it, or as the log shows it (see waxwing/support/log_text.h)
    explicit RequestTrace(std::string request);

    /// @brief Collects the lines of the request from one log. A line may have a prefix before its JSON object.
    void collectRequest(std::istream &log);

    /// @brief Collects the related lines from one log. Call it for every log, after the last collectRequest().
    void collectRelated(std::istream &log);

    /// @brief All lines in the order of time.
    const std::vector<Line> &lines();

    /// @brief Number of damaged lines, which were skipped: malformed JSON, or fields that no process writes.
    std::size_t unreadable() const
    {
        return m_unreadable;
    }

private:
    /// Prepared statement of a connection: process, number of the connection, and name on it.
    using Prepared = std::tuple<std::string, std::int64_t, std::string>;

    static Prepared preparedOf(const Line &line);

    bool isOfRequest(const Line &line) const;
    void collectPreparation(Line &&line);
    bool isRelated(const Line &line) const;

    std::string m_request;
    std::string m_shown; ///< the id as the log shows it
    std::vector<Line> m_lines;
    std::set<std::string, std::less<>> m_processes; ///< processes that logged the request
    std::set<std::string, std::less<>> m_services; ///< services that the request ran on
    std::set<Prepared> m_preparedByRequest;
    std::map<Prepared, std::int64_t> m_sent; ///< prepared statements that the request ran without preparing them, and when
    std::map<Prepared, Line> m_preparations; ///< how their connections were prepared
    std::int64_t m_windowStartMs = 0;
    std::int64_t m_windowEndMs = 0;
    std::size_t m_unreadable = 0;
    bool m_sorted = false;
};

} // namespace waxwing::control
