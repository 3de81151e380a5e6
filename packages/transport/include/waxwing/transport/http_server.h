#pragma once

#include <waxwing/support/time.h>
#include <waxwing/transport/transport_error.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace boost::asio
{
class io_context;
}

namespace waxwing
{

class HttpReply;
struct HttpRequest;

/// @brief Limits and callbacks of an HTTP server.
struct HttpServerOptions
{
    std::string listen; ///< IP:port; port 0 picks a free port
    std::size_t maxConnections = 100; ///< idle connections are closed in favour of new ones
    std::size_t maxBodyBytes = 1 << 20;
    /// Limit of the body of one request, if it is below maxBodyBytes; called when the header is complete.
    std::function<std::size_t(std::string_view method, std::string_view target)> maxBodyBytesOf;
    std::size_t maxHeaderBytes = 16 << 10;
    std::size_t maxHeldBytes = 32 << 20; ///< requests and answers of all connections; an eighth is reserved for those of at most 16 KiB
    Duration headerTimeout = 10s; ///< from the first byte of a request to the end of its header
    Duration bodyTimeout = 10s; ///< time that a body may take in addition to that of minBytesPerSecond
    Duration answerTimeout = 30s; ///< time that the client may take to read an answer, in addition to that of minBytesPerSecond
    std::size_t minBytesPerSecond = (4 << 20) / 120; ///< of bodies and answers; a configuration of 4 MiB within 120 s
    Duration idleTimeout = 300s; ///< between requests
    /// Body of a refusal by the server itself, from status, reason and message; JSON with these fields by default.
    std::function<std::string(unsigned status, std::string_view reason, std::string_view message)> refusalBody;
    std::function<void(std::uint64_t connection)> onClose; ///< a connection has ended
};

/// @brief HTTP/1.1 server on one thread. Requests of one connection are handled one after another.
class HttpServer
{
public:
    using Handler = std::function<void(HttpRequest &&request, HttpReply reply)>;

    /// @brief Opens the listening socket and starts to accept.
    /// @param context runs all callbacks; one thread
    /// @param options limits
    /// @param handler takes each request; it sends the reply now or later, on the thread of @p context
    /// @return the server, or TransportError::BadAddress or ListenFailed
    static TransportResult<HttpServer> start(boost::asio::io_context &context, HttpServerOptions options, Handler handler);

    HttpServer(HttpServer &&) noexcept;
    HttpServer &operator=(HttpServer &&) noexcept;
    ~HttpServer();

    /// @brief Port that the server listens on.
    std::uint16_t port() const;

    /// @brief Closes the listening socket; open connections close after the response to their request in flight.
    void drain();

    /// @brief Closes all connections that have no request in flight. Used at the end of a drain.
    void closeIdle();

    /// @brief Closes one connection at once, without a response.
    void close(std::uint64_t connection);

    /// @brief Number of open connections.
    std::size_t connections() const;

    /// @brief Number of requests that were handed to the handler and whose response has not been written.
    std::size_t requestsInFlight() const;

    /// @brief Bytes of requests and answers that the open connections hold.
    std::size_t heldBytes() const;

private:
    struct Data;
    explicit HttpServer(std::unique_ptr<Data> data);
    std::unique_ptr<Data> m_data;
};

} // namespace waxwing
