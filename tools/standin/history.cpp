#include "history.h"

#include "database.h"

#include <waxwing/support/time.h>

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <fstream>

namespace waxwing::standin
{

namespace json = boost::json;

namespace
{

std::string textOf(const json::object &object, std::string_view key)
{
    const auto *value = object.if_contains(key);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

std::uint64_t numberOf(const json::object &object, std::string_view key)
{
    const auto *value = object.if_contains(key);
    return value != nullptr && value->is_number() ? value->to_number<std::uint64_t>() : 0;
}

LogEntry entryOf(const json::object &object)
{
    return {.position = numberOf(object, "position"),
            .term = numberOf(object, "term"),
            .key = textOf(object, "key"),
            .value = textOf(object, "value"),
            .written = textOf(object, "written"),
            .correlation = textOf(object, "correlation"),
            .transaction = numberOf(object, "transaction")};
}

void replay(Database &database, const json::object &event)
{
    const auto kind = textOf(event, "event");
    if (kind == "apply" || kind == "replicate") {
        database.replicate(entryOf(event));
    } else if (kind == "truncate") {
        database.truncate(numberOf(event, "position"));
    } else if (const auto *terms = event.if_contains("terms")) {
        std::vector<TermStart> starts;
        for (const auto &pair : terms->as_array()) {
            starts.push_back({.term = pair.at(0).to_number<std::uint64_t>(), .start = pair.at(1).to_number<std::uint64_t>()});
        }
        database.restore(numberOf(event, "fence"), std::move(starts));
    }
}

} // namespace

History::History(std::string path, std::string database, std::string group)
    : m_path(std::move(path))
    , m_database(std::move(database))
    , m_group(std::move(group))
    , m_file(m_path.empty() ? nullptr : std::fopen(m_path.c_str(), "a"))
{
}

bool History::recover(Database &database) const
{
    std::ifstream file(m_path);
    std::string text;
    bool found = false;
    while (std::getline(file, text)) {
        boost::system::error_code error;
        const auto value = json::parse(text, error);
        if (!error && value.is_object()) {
            replay(database, value.as_object());
            found = true;
        }
    }
    return found;
}

std::string History::line(std::string_view event, json::object fields) const
{
    fields["event"] = event;
    fields["database"] = m_database;
    fields["group"] = m_group;
    fields["t"] = std::chrono::duration_cast<std::chrono::microseconds>(Clock::now().time_since_epoch()).count();
    return json::serialize(fields) + "\n";
}

void History::write(const std::string &lines)
{
    if (m_file) {
        std::fwrite(lines.data(), 1, lines.size(), m_file.get());
        std::fflush(m_file.get());
    }
}

void History::record(std::string_view event, json::object fields)
{
    if (m_file) {
        write(line(event, std::move(fields)));
    }
}

void History::recordEntries(std::string_view event, std::span<const LogEntry> entries)
{
    std::string lines;
    for (const auto &entry : entries) {
        lines += line(event,
                      {{"position", entry.position},
                       {"term", entry.term},
                       {"key", entry.key},
                       {"value", entry.value},
                       {"written", entry.written},
                       {"correlation", entry.correlation},
                       {"transaction", entry.transaction}});
    }
    write(lines);
}

void History::recordTerms(std::string_view event, const Database &database)
{
    json::array terms;
    for (const auto &start : database.terms()) {
        terms.push_back(json::array {start.term, start.start});
    }
    record(event, {{"terms", std::move(terms)}, {"fence", database.fence()}, {"term", database.term()}, {"position", database.position()}});
}

} // namespace waxwing::standin
