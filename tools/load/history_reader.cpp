#include "history_reader.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

#include <fstream>

namespace waxwing::load
{

namespace json = boost::json;

namespace
{

constexpr std::int64_t microsecondsPerMillisecond = 1000;

std::string textOf(const json::object &object, std::string_view key)
{
    const auto *value = object.if_contains(key);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

template<class Number>
Number numberOf(const json::object &object, std::string_view key)
{
    const auto *value = object.if_contains(key);
    boost::system::error_code error;
    const auto number = value != nullptr && value->is_number() ? value->to_number<Number>(error) : Number();
    return error ? Number() : number;
}

bool isTrue(const json::object &object, std::string_view key)
{
    const auto *value = object.if_contains(key);
    return value != nullptr && value->is_bool() && value->as_bool();
}

DatabaseEvent toEvent(const json::object &object)
{
    DatabaseEvent event;
    event.event = textOf(object, "event");
    event.database = textOf(object, "database");
    event.group = textOf(object, "group");
    event.term = numberOf<std::uint64_t>(object, "term");
    event.position = numberOf<std::uint64_t>(object, "position");
    event.key = textOf(object, "key");
    event.value = textOf(object, "value");
    event.written = textOf(object, "written");
    event.transaction = numberOf<std::uint64_t>(object, "transaction");
    event.reason = textOf(object, "reason");
    event.time = numberOf<std::int64_t>(object, "t");
    if (const auto *terms = object.if_contains("terms"); terms != nullptr && terms->is_array()) {
        for (const auto &pair : terms->as_array()) {
            event.terms.emplace_back(pair.at(0).to_number<std::uint64_t>(), pair.at(1).to_number<std::uint64_t>());
        }
    }
    return event;
}

CallerRecord toRecord(const json::object &object)
{
    CallerRecord record;
    record.operation = textOf(object, "operation");
    record.service = textOf(object, "service");
    record.step = textOf(object, "step");
    record.key = textOf(object, "key");
    record.value = textOf(object, "value");
    record.session = textOf(object, "session");
    record.freshness = textOf(object, "freshness");
    record.maxAge = numberOf<std::int64_t>(object, "max_age_ms") * microsecondsPerMillisecond;
    record.isWrite = isTrue(object, "write");
    record.isScan = isTrue(object, "scan");
    record.sent = numberOf<std::int64_t>(object, "sent");
    record.received = numberOf<std::int64_t>(object, "received");
    record.outcome = textOf(object, "outcome");
    record.reason = textOf(object, "reason");
    record.result = textOf(object, "result");
    record.servedBy = textOf(object, "served_by");
    record.term = numberOf<std::uint64_t>(object, "term");
    record.position = numberOf<std::uint64_t>(object, "position");
    record.status = numberOf<std::uint64_t>(object, "status");
    return record;
}

template<class Item, class Convert>
std::optional<std::vector<Item>> readLines(const std::string &path, Convert convert)
{
    std::ifstream file(path);
    if (!file) {
        return std::nullopt;
    }
    std::vector<Item> items;
    std::string line;
    while (std::getline(file, line)) {
        boost::system::error_code error;
        const auto value = json::parse(line, error);
        if (!error && value.is_object()) {
            items.push_back(convert(value.as_object()));
        }
    }
    return items;
}

} // namespace

std::optional<std::vector<DatabaseEvent>> readDatabaseHistory(const std::string &path)
{
    return readLines<DatabaseEvent>(path, toEvent);
}

std::optional<std::vector<CallerRecord>> readCallerHistory(const std::string &path)
{
    return readLines<CallerRecord>(path, toRecord);
}

} // namespace waxwing::load
