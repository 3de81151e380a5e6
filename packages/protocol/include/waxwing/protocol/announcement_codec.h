#pragma once

#include <string>
#include <string_view>

namespace waxwing::wire
{
class Announcement;
}

namespace waxwing
{

/// @brief Decodes the announcement of an endpoint.
/// @param body JSON object; unknown fields are refused
/// @param announcement receives the fields
/// @return problems by field, joined by "; "; empty on success
std::string decodeAnnouncement(std::string_view body, wire::Announcement &announcement);

/// @brief Encodes the announcement of an endpoint.
std::string encodeAnnouncement(const wire::Announcement &announcement);

} // namespace waxwing
