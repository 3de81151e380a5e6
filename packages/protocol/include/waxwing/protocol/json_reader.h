#pragma once

#include <boost/json/object.hpp>

#include <cstddef>
#include <cstdint>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace waxwing
{

/// @brief Whether a field must be present.
enum class Presence {
    Optional,
    Required,
};

/// @brief Range of an integer and its value when the field is absent.
struct NumberRange
{
    std::uint64_t low = 0;
    std::uint64_t high = UINT64_MAX;
    std::uint64_t fallback = 0;
};

/// @brief Checked access to the fields of a JSON object from outside.
///
/// Reads never fail; each problem (missing field, wrong type, out of range, unknown field) is added to error(), with
/// the name of the field.
class JsonReader
{
public:
    /// @brief Parses a body, which must hold one JSON object. An empty body counts as an empty object.
    explicit JsonReader(std::string_view body);

    /// @brief Reads a string of at most @p maxLength bytes.
    std::string text(std::string_view field, std::size_t maxLength, Presence presence = Presence::Optional);

    /// @brief Reads one of a set of values; the first is the value of an absent optional field.
    std::string choice(std::string_view field, std::span<const std::string_view> choices, Presence presence = Presence::Optional);

    /// @brief Reads an integer of at least 0.
    std::uint64_t number(std::string_view field, const NumberRange &range, Presence presence = Presence::Optional);

    /// @brief Reads a boolean.
    bool boolean(std::string_view field, bool fallback);

    /// @brief Reads any value.
    /// @return nullptr if the field is absent
    const boost::json::value *value(std::string_view field, Presence presence = Presence::Optional);

    /// @brief Reads an object; its problems are added to those of this reader by merge().
    /// @return a reader of an empty object if the field is absent
    JsonReader object(std::string_view field);

    /// @brief Refuses fields that were never read, and takes over the problems of a nested object.
    void merge(JsonReader &&nested);

    /// @brief Adds a problem of a field.
    void report(std::string_view field, std::string_view problem);

    /// @brief Adds a problem for each field that was never read; call after all reads.
    void refuseUnknownFields();

    /// @brief Problems found, each with the name of its field, joined by "; "; empty if there are none.
    const std::string &error() const;

private:
    JsonReader(boost::json::object object, std::string prefix);

    const boost::json::value *find(std::string_view field, Presence presence);

    boost::json::object m_object;
    std::string m_prefix;
    std::set<std::string, std::less<>> m_known;
    std::string m_error;
};

} // namespace waxwing
