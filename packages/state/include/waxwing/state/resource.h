#pragma once

#include <boost/json/value.hpp>

#include <compare>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace waxwing
{

/// @brief Name of a resource.
struct ResourceKey
{
    std::string kind;
    std::string name;

    auto operator<=>(const ResourceKey &) const = default;
};

/// @brief Problem with one field of a resource.
struct FieldError
{
    std::string field; ///< dotted path, e.g. `spec.limits.slots`
    std::string message;
};

/// @brief Kinds of resources that operators may set.
std::span<const std::string_view> resourceKinds();

/// @brief Checks a resource and finds all problems at once.
/// @param key kind and name
/// @param spec content as sent by the operator
/// @return the problems by field; empty if the resource is valid
std::vector<FieldError> validateResource(const ResourceKey &key, const boost::json::value &spec);

/// @brief A resource that another one names.
struct ResourceReference
{
    std::string field;
    ResourceKey target;
};

/// @brief Lists the resources that a valid resource names.
/// @param key kind and name
/// @param spec valid content
std::vector<ResourceReference> references(const ResourceKey &key, const boost::json::value &spec);

} // namespace waxwing
