#include "http_session.h"

#include "http_server_state.h"

#include <waxwing/transport/http_reply.h>
#include <waxwing/transport/http_request.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>

namespace waxwing
{

namespace http = boost::beast::http;

namespace
{

constexpr unsigned httpVersion11 = 11;
// A whole header, and the part of a body that is read at once.
constexpr std::size_t readBufferBytes = 32 << 10;

} // namespace

HttpSession::HttpSession(boost::asio::ip::tcp::socket socket, std::shared_ptr<HttpServerState> server, std::uint64_t identifier)
    : m_stream(std::move(socket))
    , m_server(std::move(server))
    , m_buffer(std::max(readBufferBytes, 2 * m_server->options.maxHeaderBytes))
    , m_identifier(identifier)
{
}

HttpSession::~HttpSession()
{
    finishRequest();
    m_server->budget.close(m_identifier);
    m_server->unfreedBytes -= m_unfreedBytes;
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
    m_buffer.shrink_to_fit();
    account(HttpBudget::Phase::Idle, 0);
    // The idle timeout applies until the first byte arrives, the header timeout from then on.
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
    account(HttpBudget::Phase::Header, m_buffer.size());
    m_stream.expires_after(m_server->options.headerTimeout);
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
    const auto &options = m_server->options;
    const auto &header = m_parser->get();
    const std::string method(header.method_string());
    const std::string target(header.target());
    m_bodyLimit = options.maxBodyBytesOf ? std::min(options.maxBodyBytesOf(method, target), options.maxBodyBytes) : options.maxBodyBytes;
    if (!bodyIsWithin(m_parser->content_length().value_or(0))) {
        return;
    }
    m_transferStart = Clock::now();
    m_parser->eager(true);
    readBodyPart();
}

void HttpSession::readBodyPart()
{
    const auto received = m_parser->get().body().size();
    if (!bodyIsWithin(received)) {
        return;
    }
    account(HttpBudget::Phase::Upload, received + m_buffer.size());
    m_server->enforceLimit();
    if (m_givesWay) {
        m_parser.reset();
        refuse(503, "uploads-exceed-memory", "Too many uploads are in progress; retry later.");
        return;
    }
    if (m_parser->is_done()) {
        handle();
        return;
    }
    limitDuration(m_server->options.bodyTimeout, received);
    m_reading = true;
    http::async_read_some(m_stream, m_buffer, *m_parser, [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
        self->m_reading = false;
        if (self->m_givesWay) {
            self->m_parser.reset();
            self->refuse(503, "uploads-exceed-memory", "Too many uploads are in progress; retry later.");
        } else if (error) {
            self->fail(error);
        } else {
            self->readBodyPart();
        }
    });
}

/// Refuses a body that is or will be longer than the limit.
bool HttpSession::bodyIsWithin(std::uint64_t bytes)
{
    if (bytes <= m_bodyLimit) {
        return true;
    }
    fail(http::make_error_code(http::error::body_limit));
    return false;
}

void HttpSession::account(HttpBudget::Phase phase, std::size_t bytes)
{
    m_server->budget.update(m_identifier, phase, bytes, Clock::now());
    m_server->heldBytes.set(static_cast<std::int64_t>(m_server->budget.heldBytes()));
}

/// Sets the timeout of the transfer to an allowance and the time that its bytes take at the minimum rate.
void HttpSession::limitDuration(Duration allowance, std::size_t bytes)
{
    const auto &options = m_server->options;
    const auto atMinimumRate = std::chrono::milliseconds(bytes * 1000 / std::max<std::size_t>(options.minBytesPerSecond, 1));
    m_stream.expires_after(m_transferStart + allowance + atMinimumRate - Clock::now());
}

void HttpSession::handle()
{
    m_stream.expires_never();
    account(HttpBudget::Phase::Handling, m_parser->get().body().size() + m_buffer.size());
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
        m_server->recordLimit("body-too-large", m_identifier, 0);
        m_parser.reset();
        refuse(413, "body-too-large", "The request body is too large.");
    } else if (error == http::error::header_limit || error == http::error::buffer_overflow) {
        m_server->recordLimit("header-too-large", m_identifier, 0);
        refuse(431, "invalid-request", "The request header is too large.");
    } else if (error == boost::beast::error::timeout) {
        failWithTimeout();
    } else if (error.category() == http::make_error_code(http::error::bad_method).category() && error != http::error::end_of_stream
               && error != http::error::partial_message) {
        refuse(400, "invalid-request", "The request is not valid HTTP/1.1.");
    } else {
        close();
    }
}

void HttpSession::failWithTimeout()
{
    const auto phase = m_server->budget.phase(m_identifier);
    if (phase == HttpBudget::Phase::Header) {
        m_server->recordLimit("header-timeout", m_identifier, 0);
    } else if (phase == HttpBudget::Phase::Upload) {
        m_server->recordLimit("body-too-slow", m_identifier, m_parser->get().body().size());
    } else if (phase == HttpBudget::Phase::Answer) {
        m_server->recordLimit("answer-not-read", m_identifier, m_response.body().size());
    }
    close();
}

void HttpSession::giveWay()
{
    if (m_server->budget.phase(m_identifier) != HttpBudget::Phase::Upload) {
        m_server->recordLimit("answers-exceed-memory", m_identifier, m_response.body().size());
        close();
        return;
    }
    m_server->recordLimit("uploads-exceed-memory", m_identifier, m_parser->get().body().size());
    m_givesWay = true;
    if (m_reading) {
        m_stream.cancel(); // the body is freed when the read has ended
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
    if (!m_server->budget.mayKeep(m_response.body().size(), m_server->unfreedBytes)) {
        m_server->recordLimit("answers-exceed-memory", m_identifier, m_response.body().size());
        freeBody();
        close();
        return;
    }
    account(HttpBudget::Phase::Answer, m_response.body().size());
    m_server->enforceLimit();
    if (m_closed) {
        return;
    }
    m_transferStart = Clock::now();
    limitDuration(m_server->options.answerTimeout, m_response.body().size());
    http::async_write(m_stream, m_response, [self = shared_from_this(), keepAlive](const boost::system::error_code &error, std::size_t) {
        self->finishRequest();
        if (error == boost::beast::error::timeout) {
            self->failWithTimeout();
            return;
        }
        if (error || !keepAlive) {
            self->close();
            return;
        }
        self->freeBody();
        self->read();
    });
}

void HttpSession::freeBody()
{
    std::string().swap(m_response.body()); // assigning an empty string keeps the memory
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
    m_unfreedBytes = m_response.body().size();
    m_server->unfreedBytes += m_unfreedBytes;
    finishRequest();
    m_server->budget.close(m_identifier);
    boost::system::error_code ignored;
    m_stream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
    m_stream.close();
}

} // namespace waxwing
