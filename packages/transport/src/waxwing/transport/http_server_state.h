#pragma once

#include "http_budget.h"

#include <waxwing/support/counter.h>
#include <waxwing/transport/http_server.h>

#include <memory>
#include <unordered_map>

namespace waxwing
{

class HttpSession;

/// @brief What the sessions of one server share.
struct HttpServerState
{
    explicit HttpServerState(HttpServerOptions serverOptions);

    /// @brief Ends uploads and answers until the held bytes are within the limit. May close the calling session.
    void enforceLimit();

    /// @brief Closes one connection that has no complete header, in favour of a new one.
    /// @return whether there was one
    bool closeReplaceable(std::string_view reason);

    /// @brief Counts and logs a connection or request that was ended by a limit.
    void recordLimit(std::string_view reason, std::uint64_t connection, std::size_t bytes) const;

    HttpServerOptions options;
    HttpBudget budget;
    Counter &heldBytes; ///< gauge
    std::size_t unfreedBytes = 0; ///< answers of closed connections whose pending write has not ended yet
    HttpServer::Handler handler;
    std::unordered_map<std::uint64_t, std::weak_ptr<HttpSession>> sessions;
    std::uint64_t nextIdentifier = 1;
    std::size_t requestsInFlight = 0;
    bool draining = false;
};

} // namespace waxwing
