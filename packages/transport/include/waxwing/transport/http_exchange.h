#pragma once

#include <waxwing/transport/http_response.h>

#include <system_error>

namespace waxwing
{

/// @brief Result of one request sent by an HttpConnection.
struct HttpExchange
{
    std::error_code error; ///< a TransportError, or success
    bool handedOver = false; ///< at least one byte of the request was written to the connection
    HttpResponse response; ///< valid on success
};

} // namespace waxwing
