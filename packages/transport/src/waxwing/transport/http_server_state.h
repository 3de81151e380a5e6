#pragma once

#include <waxwing/transport/http_server.h>

#include <memory>
#include <unordered_map>

namespace waxwing
{

class HttpSession;

/// @brief What the sessions of one server share.
struct HttpServerState
{
    HttpServerOptions options;
    HttpServer::Handler handler;
    std::unordered_map<std::uint64_t, std::weak_ptr<HttpSession>> sessions;
    std::uint64_t nextIdentifier = 1;
    std::size_t requestsInFlight = 0;
    bool draining = false;
};

} // namespace waxwing
