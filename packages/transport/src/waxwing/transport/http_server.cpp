#include "http_server_state.h"
#include "http_session.h"

#include <waxwing/transport/http_server.h>
#include <waxwing/transport/socket_address.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <vector>

namespace waxwing
{

namespace
{

using boost::asio::ip::tcp;

constexpr Duration acceptRetryDelay = 50ms; // after an error, such as a lack of descriptors, which repeats at once

std::string defaultRefusalBody(unsigned, std::string_view reason, std::string_view message)
{
    return boost::json::serialize(boost::json::object {{"outcome", "not-run"}, {"reason", reason}, {"message", message}, {"retry_after_ms", 0}});
}

} // namespace

struct HttpServer::Data
{
    Data(boost::asio::io_context &context, HttpServerOptions options)
        : acceptor(context)
        , retryTimer(context)
        , state(std::make_shared<HttpServerState>(std::move(options)))
    {
    }

    void accept()
    {
        acceptor.async_accept([this, alive = std::weak_ptr(lifetime)](const boost::system::error_code &error, tcp::socket socket) {
            if (alive.expired() || !acceptor.is_open()) {
                return;
            }
            if (error) {
                if (error == boost::asio::error::no_descriptors) {
                    state->closeReplaceable("no-descriptor");
                }
                retryAccept();
                return;
            }
            open(std::move(socket));
            accept();
        });
    }

    void retryAccept()
    {
        retryTimer.expires_after(acceptRetryDelay);
        retryTimer.async_wait([this, alive = std::weak_ptr(lifetime)](const boost::system::error_code &error) {
            if (!error && !alive.expired() && acceptor.is_open()) {
                accept();
            }
        });
    }

    void open(tcp::socket socket)
    {
        boost::system::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        const auto identifier = state->nextIdentifier++;
        const auto session = std::make_shared<HttpSession>(std::move(socket), state, identifier);
        state->sessions.emplace(identifier, session);
        if (state->budget.connections() >= state->options.maxConnections && !state->closeReplaceable("connection-replaced")) {
            state->recordLimit("too-many-connections", identifier, 0);
            session->refuse(503, "too-many-connections", "The limit of open connections is reached.");
            return;
        }
        state->budget.open(identifier, Clock::now());
        session->read();
    }

    std::vector<std::shared_ptr<HttpSession>> openSessions() const
    {
        std::vector<std::shared_ptr<HttpSession>> sessions;
        for (const auto &[identifier, weak] : state->sessions) {
            if (auto session = weak.lock()) {
                sessions.push_back(std::move(session));
            }
        }
        return sessions;
    }

    tcp::acceptor acceptor;
    boost::asio::steady_timer retryTimer;
    std::shared_ptr<HttpServerState> state; // Shared with the sessions, which may outlive the server object.
    // Watched by the pending accept, which runs once more after this object is gone; sessions may keep `state` longer.
    std::shared_ptr<int> lifetime = std::make_shared<int>(0);
};

TransportResult<HttpServer> HttpServer::start(boost::asio::io_context &context, HttpServerOptions options, Handler handler)
{
    const auto address = parseSocketAddress(options.listen);
    if (!address) {
        return address.error();
    }
    if (!options.refusalBody) {
        options.refusalBody = defaultRefusalBody;
    }
    auto data = std::make_unique<Data>(context, std::move(options));
    data->state->handler = std::move(handler);
    boost::system::error_code error;
    data->acceptor.open(address.value().protocol(), error);
    if (!error) {
        data->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
        data->acceptor.bind(address.value(), error);
    }
    if (!error) {
        data->acceptor.listen(tcp::acceptor::max_listen_connections, error);
    }
    if (error) {
        return TransportError::ListenFailed;
    }
    data->accept();
    return HttpServer(std::move(data));
}

HttpServer::HttpServer(std::unique_ptr<Data> data)
    : m_data(std::move(data))
{
}

HttpServer::HttpServer(HttpServer &&) noexcept = default;
HttpServer &HttpServer::operator=(HttpServer &&) noexcept = default;

HttpServer::~HttpServer()
{
    if (m_data) {
        boost::system::error_code ignored;
        m_data->acceptor.close(ignored);
        m_data->state->options.onClose = nullptr;
        for (const auto &session : m_data->openSessions()) {
            session->close();
        }
    }
}

std::uint16_t HttpServer::port() const
{
    boost::system::error_code ignored;
    return m_data->acceptor.local_endpoint(ignored).port();
}

void HttpServer::drain()
{
    boost::system::error_code ignored;
    m_data->acceptor.close(ignored);
    m_data->state->draining = true;
}

void HttpServer::closeIdle()
{
    for (const auto &session : m_data->openSessions()) {
        if (!session->isBusy()) {
            session->close();
        }
    }
}

void HttpServer::close(std::uint64_t connection)
{
    const auto entry = m_data->state->sessions.find(connection);
    if (entry != m_data->state->sessions.end()) {
        if (const auto session = entry->second.lock()) {
            session->close();
        }
    }
}

std::size_t HttpServer::connections() const
{
    return m_data->state->sessions.size();
}

std::size_t HttpServer::heldBytes() const
{
    return m_data->state->budget.heldBytes();
}

std::size_t HttpServer::requestsInFlight() const
{
    return m_data->state->requestsInFlight;
}

} // namespace waxwing
