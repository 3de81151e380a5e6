#pragma once

#include "http_budget.h"

#include <waxwing/transport/http_response.h>
#include <waxwing/transport/http_server.h>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <memory>
#include <optional>

namespace waxwing
{

struct HttpServerState;

/// @brief One accepted connection of an HttpServer.
///
/// Owned by its pending asynchronous operations, the usual form with Boost.Asio, hence std::shared_ptr.
class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
    HttpSession(boost::asio::ip::tcp::socket socket, std::shared_ptr<HttpServerState> server, std::uint64_t identifier);
    ~HttpSession();

    /// @brief Reads the next request.
    void read();

    /// @brief Answers at once and closes, for connections over the limit.
    void refuse(unsigned status, std::string_view reason, std::string_view message);

    /// @brief Writes the response to request number @p sequence, unless that was answered already.
    void respond(std::uint64_t sequence, HttpResponse response);

    /// @brief Ends the upload with status 503, or closes the connection if its answer is not read. The caller releases the account.
    void giveWay();

    /// @brief Closes the connection without a response.
    void close();

    /// @brief Tells whether a request waits for its response.
    bool isBusy() const
    {
        return m_busy;
    }

    std::uint64_t identifier() const
    {
        return m_identifier;
    }

private:
    void readHeader();
    void readBody();
    void readBodyPart();
    bool bodyIsWithin(std::uint64_t bytes);
    void handle();
    void account(HttpBudget::Phase phase, std::size_t bytes);
    void limitDuration(Duration allowance, std::size_t bytes);
    void failWithTimeout();
    void freeBody();
    void fail(const boost::system::error_code &error);
    void write(HttpResponse response, bool keepAlive);
    void finishRequest();

    boost::beast::tcp_stream m_stream;
    std::shared_ptr<HttpServerState> m_server; // Shared with the server object, which may be destroyed first.
    boost::beast::flat_buffer m_buffer;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> m_parser;
    boost::beast::http::response<boost::beast::http::string_body> m_response;
    std::uint64_t m_identifier;
    std::uint64_t m_sequence = 0;
    TimePoint m_transferStart; ///< of the body or the answer
    std::size_t m_bodyLimit = 0;
    std::size_t m_unfreedBytes = 0; ///< answer of the closed connection
    bool m_reading = false; ///< a read of the body is pending
    bool m_givesWay = false; ///< the pending read is cancelled and ends with status 503
    bool m_busy = false;
    bool m_keepAlive = true;
    bool m_closed = false;
};

} // namespace waxwing
