#pragma once

#include <compare>
#include <string>

namespace waxwing
{

/// @brief Names the other end of a link: dialed by its address, or accepted under the name that it gave.
struct LinkPeer
{
    enum class Kind {
        Dialed, ///< `id` is IP:port
        Accepted, ///< `id` is the name of the process at the other end
    };

    Kind kind = Kind::Dialed;
    std::string id;

    auto operator<=>(const LinkPeer &) const = default;
};

} // namespace waxwing
