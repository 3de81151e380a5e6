#pragma once

#include "answer.h"
#include "operation.h"

#include <waxwing/transport/http_request.h>

#include <string>

namespace waxwing
{
struct HttpExchange;
}

namespace waxwing::load
{

struct LoadOptions;

/// @brief Builds requests and reads responses of the caller API of a proxy, or of the endpoint API in direct mode.
class StatementApi
{
public:
    explicit StatementApi(const LoadOptions &options);

    /// @brief Builds the request of the step in progress.
    /// @param remaining time until the deadline of the operation
    HttpRequest request(const Operation &operation, const Session &session, Duration remaining) const;

    /// @brief Reads the response.
    Answer answer(const HttpExchange &exchange) const;

private:
    HttpRequest proxyRequest(const Operation &operation, const Session &session, Duration remaining) const;
    HttpRequest directRequest(const Operation &operation) const;

    const LoadOptions &m_options;
};

} // namespace waxwing::load
