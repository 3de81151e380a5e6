#pragma once

#include <cstddef>
#include <string>

namespace waxwing
{

/// @brief Proxy that holds connections to the databases of a service and runs statements for proxies without connections.
struct StatementHolder
{
    std::string proxy; ///< name of the proxy
    std::string link; ///< IP:port of its link
    std::string failureDomain;
    std::size_t connections = 0; ///< number of connections to each database
};

} // namespace waxwing
