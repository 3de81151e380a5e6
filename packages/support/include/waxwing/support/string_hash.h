#pragma once

#include <cstddef>
#include <functional>
#include <string_view>

namespace waxwing
{

/// @brief Hash that lets an unordered container with text keys be searched by a view.
struct StringHash
{
    using is_transparent = void; // NOLINT(readability-identifier-naming): name fixed by the standard library

    std::size_t operator()(std::string_view text) const noexcept
    {
        return std::hash<std::string_view>()(text);
    }
};

} // namespace waxwing
