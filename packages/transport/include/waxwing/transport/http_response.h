#pragma once

#include <string>
#include <utility>
#include <vector>

namespace waxwing
{

/// @brief One HTTP response.
struct HttpResponse
{
    unsigned status = 200;
    std::string body;
    std::string contentType = "application/json";
    std::vector<std::pair<std::string, std::string>> headers; ///< further headers
};

} // namespace waxwing
