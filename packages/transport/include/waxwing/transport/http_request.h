#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace waxwing
{

/// @brief One HTTP request as the server hands it to the program, or as a client sends it.
struct HttpRequest
{
    std::string method = "GET";
    std::string target = "/";
    std::string body;
    std::string requestId; ///< header X-Request-Id
    std::string authorization; ///< header Authorization
    std::vector<std::pair<std::string, std::string>> headers; ///< client side: further headers
    std::uint64_t connection = 0; ///< server side: identifies the connection
};

} // namespace waxwing
