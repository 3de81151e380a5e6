#include "request_trace.h"

#include <waxwing/support/log_text.h>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>

namespace waxwing::control
{

namespace
{

// The cause of an outcome is logged at most this long before the request arrives: a lease ends after 2 s. A database is
// removed only after 8 s, but proxies log earlier that they have lost it.
constexpr std::int64_t causeWindowMs = 3'000;
constexpr std::string_view preparedEvent = "statement prepared";
constexpr std::int64_t trailingWindowMs = 500; // control may log the cause later than the proxy, and clocks may differ
// Greater values come from damaged lines.
constexpr std::int64_t maxTimeMs = 4'102'444'800'000; // year 2100
constexpr std::int64_t maxHeldMs = 86'400'000;

std::string textOf(const boost::json::object &object, std::string_view field)
{
    const auto *value = object.if_contains(field);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

/// Reads a whole number that is not negative.
/// @return nothing if the field has another type, or a value that no process writes
std::optional<std::int64_t> wholeNumberOf(const boost::json::object &object, std::string_view field, std::int64_t high)
{
    const auto *value = object.if_contains(field);
    if (value == nullptr) {
        return 0;
    }
    boost::json::error_code error;
    const auto number = value->is_number() ? value->to_number<std::int64_t>(error) : -1;
    return error || number < 0 || number > high ? std::nullopt : std::optional(number);
}

bool isText(const boost::json::object &object, std::string_view field)
{
    const auto *value = object.if_contains(field);
    return value != nullptr && value->is_string();
}

/// @param unreadable incremented if the line is damaged
/// @return nothing if the line is not a log line
std::optional<RequestTrace::Line> parseLine(std::string_view text, std::size_t &unreadable)
{
    const auto begin = text.find('{');
    if (begin == std::string_view::npos) {
        return std::nullopt;
    }
    boost::json::error_code error;
    auto value = boost::json::parse(text.substr(begin), error);
    if (error || !value.is_object() || !value.get_object().contains("event")) {
        unreadable += error ? 1 : 0;
        return std::nullopt;
    }
    RequestTrace::Line line;
    line.fields = std::move(value.get_object());
    const auto time = wholeNumberOf(line.fields, "time_ms", maxTimeMs);
    const auto held = wholeNumberOf(line.fields, "held_ms", maxHeldMs);
    if (!time || !held || !isText(line.fields, "process") || !isText(line.fields, "event")) {
        ++unreadable;
        return std::nullopt;
    }
    line.timeMs = *time;
    line.process = textOf(line.fields, "process");
    line.event = textOf(line.fields, "event");
    for (const auto *field : {"time_ms", "process", "event", "level"}) {
        line.fields.erase(field);
    }
    return line;
}

} // namespace

RequestTrace::RequestTrace(std::string request)
    : m_request(std::move(request))
    , m_shown(log::shownText(m_request))
{
}

void RequestTrace::collectRequest(std::istream &log)
{
    // Lines are parsed only if they contain the id in the form of JSON.
    const auto asGiven = boost::json::serialize(boost::json::string(m_request));
    const auto asShown = boost::json::serialize(boost::json::string(m_shown));
    for (std::string text; std::getline(log, text);) {
        if (text.find(asGiven) == std::string::npos && text.find(asShown) == std::string::npos) {
            continue;
        }
        auto line = parseLine(text, m_unreadable);
        if (!line || !isOfRequest(*line)) {
            continue;
        }
        const auto windowStartMs = line->timeMs - *wholeNumberOf(line->fields, "held_ms", maxHeldMs) - causeWindowMs;
        m_windowStartMs = m_lines.empty() ? windowStartMs : std::min(m_windowStartMs, windowStartMs);
        m_windowEndMs = std::max(m_windowEndMs, line->timeMs + trailingWindowMs);
        m_processes.insert(line->process);
        if (auto service = textOf(line->fields, "service"); !service.empty()) {
            m_services.insert(std::move(service));
        }
        if (line->event == preparedEvent) {
            m_preparedByRequest.insert(preparedOf(*line));
        } else if (line->event == "prepared statement sent" && !m_preparedByRequest.contains(preparedOf(*line))) {
            m_sent[preparedOf(*line)] = line->timeMs;
        }
        line->ofRequest = true;
        m_lines.push_back(std::move(*line));
        m_sorted = false;
    }
}

void RequestTrace::collectRelated(std::istream &log)
{
    if (m_processes.empty()) {
        return;
    }
    for (std::string text; std::getline(log, text);) {
        const bool ofARequest = text.find("\"request\":") != std::string::npos;
        const bool ofAPreparation = !m_sent.empty() && text.find(preparedEvent) != std::string::npos;
        if (ofARequest && !ofAPreparation) {
            continue;
        }
        auto line = parseLine(text, m_unreadable);
        if (line && ofARequest) {
            collectPreparation(std::move(*line));
        } else if (line && isRelated(*line)) {
            m_lines.push_back(std::move(*line));
            m_sorted = false;
        }
    }
}

RequestTrace::Prepared RequestTrace::preparedOf(const Line &line)
{
    return {line.process, wholeNumberOf(line.fields, "connection", std::numeric_limits<std::int64_t>::max()).value_or(0), textOf(line.fields, "name")};
}

void RequestTrace::collectPreparation(Line &&line)
{
    const auto prepared = preparedOf(line);
    const auto sent = m_sent.find(prepared);
    if (line.event != preparedEvent || sent == m_sent.end() || line.timeMs > sent->second) {
        return;
    }
    // The numbers of connections begin anew when a process restarts.
    if (auto &known = m_preparations[prepared]; known.event.empty() || known.timeMs <= line.timeMs) {
        known = std::move(line);
        m_sorted = false;
    }
}

bool RequestTrace::isOfRequest(const Line &line) const
{
    const auto id = textOf(line.fields, "request");
    return id == m_request || id == m_shown;
}

bool RequestTrace::isRelated(const Line &line) const
{
    if (line.timeMs < m_windowStartMs || line.timeMs > m_windowEndMs) {
        return false;
    }
    const auto service = textOf(line.fields, "service");
    if (!service.empty()) {
        return m_services.contains(service);
    }
    // Lines without a service: those of the processes that logged the request, changes of the leader of control, and stored
    // configurations.
    return m_processes.contains(line.process) || line.event == "leading" || line.event == "no longer leading" || line.event == "configuration stored";
}

const std::vector<RequestTrace::Line> &RequestTrace::lines()
{
    if (!m_sorted) {
        for (auto &[prepared, line] : std::exchange(m_preparations, {})) {
            m_lines.push_back(std::move(line));
        }
        std::stable_sort(m_lines.begin(), m_lines.end(), [](const Line &left, const Line &right) { return left.timeMs < right.timeMs; });
        m_sorted = true;
    }
    return m_lines;
}

} // namespace waxwing::control
