#pragma once

#include <cstddef>
#include <string>

namespace waxwing
{

/// @brief Proxy that holds connections to the databases of a service and runs statements for proxies that hold none.
struct StatementHolder
{
    std::string proxy; ///< its name
    std::string link; ///< IP:port of its link
    std::string failureDomain;
    std::size_t connections = 0; ///< to each database
};

} // namespace waxwing
