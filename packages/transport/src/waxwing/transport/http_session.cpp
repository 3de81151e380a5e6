#include "http_session.h"

#include "http_server_state.h"

#include <waxwing/transport/http_reply.h>
#include <waxwing/transport/http_request.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace waxwing
{

namespace http = boost::beast::http;

namespace
{

constexpr unsigned httpVersion11 = 11;
// Timeout for writing a response; otherwise a peer that reads nothing would keep the connection open forever.
constexpr auto writeTimeout = 30s;

} // namespace

HttpSession::HttpSession(boost::asio::ip::tcp::socket socket, std::shared_ptr<HttpServerState> server, std::uint64_t identifier)
    : m_stream(std::move(socket))
    , m_server(std::move(server))
    , m_identifier(identifier)
{
}

HttpSession::~HttpSession()
{
    finishRequest();
    m_server->sessions.erase(m_identifier);
    if (m_server->options.onClose) {
        m_server->options.onClose(m_identifier);
    }
}

void HttpSession::read()
{
    m_parser.emplace();
    m_parser->body_limit(m_server->options.maxBodyBytes);
    m_parser->header_limit(static_cast<std::uint32_t>(m_server->options.maxHeaderBytes));
    if (m_buffer.size() > 0) {
        readHeader();
        return;
    }
    // The idle timeout applies until the first byte arrives, the request timeout from then on.
    m_stream.expires_after(m_server->options.idleTimeout);
    m_stream.async_read_some(m_buffer.prepare(4096), [self = shared_from_this()](const boost::system::error_code &error, std::size_t size) {
        if (error) {
            self->close();
            return;
        }
        self->m_buffer.commit(size);
        self->readHeader();
    });
}

void HttpSession::readHeader()
{
    m_stream.expires_after(m_server->options.requestTimeout);
    http::async_read_header(m_stream, m_buffer, *m_parser, [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
        if (error) {
            self->fail(error);
            return;
        }
        self->readBody();
    });
}

void HttpSession::readBody()
{
    http::async_read(m_stream, m_buffer, *m_parser, [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
        if (error) {
            self->fail(error);
            return;
        }
        self->handle();
    });
}

void HttpSession::handle()
{
    m_stream.expires_never();
    auto message = m_parser->release();
    m_keepAlive = message.keep_alive();
    m_busy = true;
    ++m_server->requestsInFlight;
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.requestId = std::string(message["X-Request-Id"]);
    request.authorization = std::string(message[http::field::authorization]);
    request.body = std::move(message.body());
    request.connection = m_identifier;
    const auto sequence = m_sequence;
    m_server->handler(std::move(request), HttpReply(weak_from_this(), sequence));
    // Keeps the connection alive while the handler has the request: nothing else is pending on it.
    if (m_busy && m_sequence == sequence) {
        m_stream.socket().async_wait(boost::asio::ip::tcp::socket::wait_error, [self = shared_from_this()](const boost::system::error_code &) {});
    }
}

void HttpSession::fail(const boost::system::error_code &error)
{
    if (error == http::error::body_limit) {
        refuse(413, "body-too-large", "The request body is too large.");
    } else if (error == http::error::header_limit) {
        refuse(431, "invalid-request", "The request header is too large.");
    } else if (error == boost::beast::error::timeout) {
        close();
    } else if (error.category() == http::make_error_code(http::error::bad_method).category() && error != http::error::end_of_stream
               && error != http::error::partial_message) {
        refuse(400, "invalid-request", "The request is not valid HTTP/1.1.");
    } else {
        close();
    }
}

void HttpSession::refuse(unsigned status, std::string_view reason, std::string_view message)
{
    HttpResponse response;
    response.status = status;
    response.body = m_server->options.refusalBody(status, reason, message);
    write(std::move(response), false);
}

void HttpSession::respond(std::uint64_t sequence, HttpResponse response)
{
    if (!m_busy || sequence != m_sequence || m_closed) {
        return;
    }
    m_stream.socket().cancel();
    ++m_sequence;
    write(std::move(response), m_keepAlive && !m_server->draining);
}

void HttpSession::write(HttpResponse response, bool keepAlive)
{
    m_response = {};
    m_response.version(httpVersion11);
    m_response.result(response.status);
    m_response.set(http::field::content_type, response.contentType);
    for (const auto &[name, value] : response.headers) {
        m_response.set(name, value);
    }
    m_response.keep_alive(keepAlive);
    m_response.body() = std::move(response.body);
    m_response.prepare_payload();
    m_stream.expires_after(writeTimeout);
    http::async_write(m_stream, m_response, [self = shared_from_this(), keepAlive](const boost::system::error_code &error, std::size_t) {
        self->finishRequest();
        if (error || !keepAlive) {
            self->close();
            return;
        }
        self->read();
    });
}

void HttpSession::finishRequest()
{
    if (m_busy) {
        m_busy = false;
        --m_server->requestsInFlight;
    }
}

void HttpSession::close()
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    finishRequest();
    boost::system::error_code ignored;
    m_stream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
    m_stream.close();
}

} // namespace waxwing
