#include <waxwing/transport/http_connection.h>
#include <waxwing/transport/http_exchange.h>
#include <waxwing/transport/http_request.h>
#include <waxwing/transport/socket_address.h>
#include <waxwing/transport/transport_error.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <optional>

namespace waxwing
{

namespace http = boost::beast::http;

namespace
{

constexpr unsigned httpVersion11 = 11;
constexpr std::size_t maxResponseBytes = 64U << 20;

std::error_code translate(const boost::system::error_code &error)
{
    if (error == boost::beast::error::timeout) {
        return TransportError::TimedOut;
    }
    if (error == http::error::body_limit) {
        return TransportError::BodyTooLarge;
    }
    if (error.category() == http::make_error_code(http::error::bad_status).category() && error != http::error::end_of_stream
        && error != http::error::partial_message) {
        return TransportError::MalformedMessage;
    }
    return TransportError::ConnectionLost;
}

} // namespace

class HttpConnection::Stream : public std::enable_shared_from_this<Stream>
{
public:
    explicit Stream(boost::asio::io_context &context)
        : m_stream(context)
    {
    }

    void connect(const boost::asio::ip::tcp::endpoint &address, Duration timeout, ConnectHandler handler)
    {
        m_onConnect = std::move(handler);
        m_stream.expires_after(timeout);
        m_stream.async_connect(address, [self = shared_from_this()](const boost::system::error_code &error) {
            self->m_stream.expires_never();
            if (!error) {
                boost::system::error_code ignored;
                self->m_stream.socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
                self->m_open = true;
            }
            std::error_code result;
            if (error) {
                result = error == boost::beast::error::timeout ? TransportError::TimedOut : TransportError::ConnectFailed;
            }
            self->finishConnect(result);
        });
    }

    void finishConnect(std::error_code result)
    {
        if (const auto handler = std::exchange(m_onConnect, nullptr)) {
            handler(result);
        }
    }

    void exchange(const HttpRequest &request, Duration timeout, ExchangeHandler handler)
    {
        m_onExchange = std::move(handler);
        m_handedOver = false;
        m_request = {};
        m_request.version(httpVersion11);
        m_request.method_string(request.method);
        m_request.target(request.target);
        m_request.set(http::field::host, "waxwing");
        if (!request.requestId.empty()) {
            m_request.set("X-Request-Id", request.requestId);
        }
        if (!request.authorization.empty()) {
            m_request.set(http::field::authorization, request.authorization);
        }
        for (const auto &[name, value] : request.headers) {
            m_request.set(name, value);
        }
        if (!request.body.empty()) {
            m_request.set(http::field::content_type, "application/json");
        }
        m_request.body() = request.body;
        m_request.prepare_payload();
        m_stream.expires_after(timeout);
        http::async_write(m_stream, m_request, [self = shared_from_this()](const boost::system::error_code &error, std::size_t size) {
            self->m_handedOver = self->m_handedOver || size > 0;
            if (error) {
                self->finish(translate(error));
                return;
            }
            self->readResponse();
        });
    }

    void readResponse()
    {
        m_parser.emplace();
        m_parser->body_limit(maxResponseBytes);
        http::async_read(m_stream, m_buffer, *m_parser, [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
            if (error) {
                self->finish(translate(error));
                return;
            }
            self->finish({});
        });
    }

    void finish(std::error_code error)
    {
        m_stream.expires_never();
        HttpExchange result;
        result.error = error;
        result.handedOver = m_handedOver;
        if (!error) {
            auto message = m_parser->release();
            result.response.status = message.result_int();
            result.response.contentType = std::string(message[http::field::content_type]);
            for (const auto &field : message) {
                result.response.headers.emplace_back(field.name_string(), field.value());
            }
            if (!message.keep_alive()) {
                shut();
            }
            result.response.body = std::move(message.body());
        } else {
            shut();
        }
        if (const auto handler = std::exchange(m_onExchange, nullptr)) {
            handler(std::move(result));
        }
    }

    void shut()
    {
        m_open = false;
        m_buffer.clear();
        boost::system::error_code ignored;
        m_stream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
        m_stream.close();
    }

    void abandon()
    {
        m_onConnect = nullptr;
        m_onExchange = nullptr;
        shut();
    }

    bool isOpen() const
    {
        return m_open;
    }

    bool isBusy() const
    {
        return static_cast<bool>(m_onExchange);
    }

    boost::beast::tcp_stream &stream()
    {
        return m_stream;
    }

private:
    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    http::request<http::string_body> m_request;
    std::optional<http::response_parser<http::string_body>> m_parser;
    ConnectHandler m_onConnect;
    ExchangeHandler m_onExchange;
    bool m_open = false;
    bool m_handedOver = false;
};

HttpConnection::HttpConnection(boost::asio::io_context &context)
    : m_stream(std::make_shared<Stream>(context))
{
}

HttpConnection::HttpConnection(HttpConnection &&) noexcept = default;
HttpConnection &HttpConnection::operator=(HttpConnection &&) noexcept = default;

HttpConnection::~HttpConnection()
{
    if (m_stream) {
        m_stream->abandon();
    }
}

void HttpConnection::connect(std::string_view address, Duration timeout, ConnectHandler handler)
{
    const auto parsed = parseSocketAddress(address);
    if (!parsed) {
        boost::asio::post(m_stream->stream().get_executor(), [handler = std::move(handler), error = parsed.error()] { handler(error); });
        return;
    }
    m_stream->connect(parsed.value(), timeout, std::move(handler));
}

void HttpConnection::exchange(const HttpRequest &request, Duration timeout, ExchangeHandler handler)
{
    m_stream->exchange(request, timeout, std::move(handler));
}

void HttpConnection::close()
{
    m_stream->shut();
}

bool HttpConnection::isOpen() const
{
    return m_stream->isOpen();
}

bool HttpConnection::isBusy() const
{
    return m_stream->isBusy();
}

} // namespace waxwing
