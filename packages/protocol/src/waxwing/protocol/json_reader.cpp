#include <waxwing/protocol/json_reader.h>

#include <boost/json/parse.hpp>

#include <algorithm>

namespace waxwing
{

JsonReader::JsonReader(std::string_view body)
{
    if (body.empty()) {
        return;
    }
    boost::system::error_code error;
    auto parsed = boost::json::parse(body, error);
    if (error) {
        m_error = "body: not valid JSON";
    } else if (!parsed.is_object()) {
        m_error = "body: must be a JSON object";
    } else {
        m_object = std::move(parsed.as_object());
    }
}

JsonReader::JsonReader(boost::json::object object, std::string prefix)
    : m_object(std::move(object))
    , m_prefix(std::move(prefix))
{
}

const boost::json::value *JsonReader::find(std::string_view field, Presence presence)
{
    m_known.emplace(field);
    const auto *value = m_object.if_contains(field);
    if (value == nullptr && presence == Presence::Required) {
        report(field, "missing");
    }
    return value;
}

const boost::json::value *JsonReader::value(std::string_view field, Presence presence)
{
    return find(field, presence);
}

std::string JsonReader::text(std::string_view field, std::size_t maxLength, Presence presence)
{
    const auto *value = find(field, presence);
    if (value == nullptr) {
        return {};
    }
    if (!value->is_string()) {
        report(field, "must be a text");
        return {};
    }
    const auto &text = value->get_string();
    if (text.size() > maxLength) {
        report(field, "is longer than " + std::to_string(maxLength) + " bytes");
        return {};
    }
    if (text.empty() && presence == Presence::Required) {
        report(field, "must not be empty");
    }
    return std::string(text);
}

std::string JsonReader::choice(std::string_view field, std::span<const std::string_view> choices, Presence presence)
{
    const auto *value = find(field, presence);
    if (value == nullptr) {
        return std::string(choices.front());
    }
    if (value->is_string() && std::find(choices.begin(), choices.end(), std::string_view(value->get_string())) != choices.end()) {
        return std::string(value->get_string());
    }
    std::string problem = "must be one of";
    for (const auto option : choices) {
        problem.append(" \"").append(option).append("\"");
    }
    report(field, problem);
    return std::string(choices.front());
}

std::uint64_t JsonReader::number(std::string_view field, const NumberRange &range, Presence presence)
{
    const auto *value = find(field, presence);
    if (value == nullptr) {
        return range.fallback;
    }
    boost::system::error_code error;
    const auto number = value->is_double() ? 0 : value->to_number<std::uint64_t>(error);
    if (error || value->is_double()) {
        report(field, "must be a whole number of at least 0");
        return range.fallback;
    }
    if (number < range.low || number > range.high) {
        report(field, std::to_string(number) + " is out of range, " + std::to_string(range.low) + " to " + std::to_string(range.high));
        return range.fallback;
    }
    return number;
}

bool JsonReader::boolean(std::string_view field, bool fallback)
{
    const auto *value = find(field, Presence::Optional);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_bool()) {
        report(field, "must be true or false");
        return fallback;
    }
    return value->get_bool();
}

JsonReader JsonReader::object(std::string_view field)
{
    const std::string prefix = m_prefix + std::string(field) + ".";
    const auto *value = find(field, Presence::Optional);
    if (value == nullptr) {
        return {boost::json::object(), prefix};
    }
    if (!value->is_object()) {
        report(field, "must be an object");
        return {boost::json::object(), prefix};
    }
    return {value->get_object(), prefix};
}

void JsonReader::merge(JsonReader &&nested)
{
    nested.refuseUnknownFields();
    if (!nested.m_error.empty()) {
        m_error.append(m_error.empty() ? "" : "; ").append(nested.m_error);
    }
}

void JsonReader::report(std::string_view field, std::string_view problem)
{
    m_error.append(m_error.empty() ? "" : "; ").append(m_prefix).append(field).append(": ").append(problem);
}

void JsonReader::refuseUnknownFields()
{
    for (const auto &field : m_object) {
        if (!m_known.contains(std::string_view(field.key()))) {
            report(field.key(), "unknown field");
        }
    }
}

const std::string &JsonReader::error() const
{
    return m_error;
}

} // namespace waxwing
