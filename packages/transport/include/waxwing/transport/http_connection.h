#pragma once

#include <waxwing/support/time.h>

#include <functional>
#include <memory>
#include <string_view>
#include <system_error>

namespace boost::asio
{
class io_context;
}

namespace waxwing
{

struct HttpExchange;
struct HttpRequest;

/// @brief One client connection with keep-alive; one request at a time.
class HttpConnection
{
public:
    using ConnectHandler = std::function<void(std::error_code error)>;
    using ExchangeHandler = std::function<void(HttpExchange &&exchange)>;

    /// @brief Creates a closed connection.
    /// @param context runs all callbacks; one thread
    explicit HttpConnection(boost::asio::io_context &context);

    HttpConnection(HttpConnection &&) noexcept;
    HttpConnection &operator=(HttpConnection &&) noexcept;

    /// @brief Closes the connection; pending handlers are not called any more.
    ~HttpConnection();

    /// @brief Connects.
    /// @param address IP:port
    /// @param timeout longest time
    /// @param handler called with success, TransportError::BadAddress, ConnectFailed or TimedOut
    void connect(std::string_view address, Duration timeout, ConnectHandler handler);

    /// @brief Sends a request and reads the response. The connection must be open and not busy.
    /// @param request the request
    /// @param timeout longest time until the response is complete; the connection is closed when it passes
    /// @param handler called once with the result; after an error the connection is closed
    void exchange(const HttpRequest &request, Duration timeout, ExchangeHandler handler);

    /// @brief Closes the connection. A pending exchange ends with TransportError::ConnectionLost.
    void close();

    /// @brief Tells whether the connection is open, as far as is known.
    bool isOpen() const;

    /// @brief Tells whether a request is outstanding.
    bool isBusy() const;

private:
    class Stream;
    // Shared with the pending asynchronous operations, which may outlive this object.
    std::shared_ptr<Stream> m_stream;
};

} // namespace waxwing
