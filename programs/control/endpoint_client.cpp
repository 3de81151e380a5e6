#include "endpoint_client.h"

#include <waxwing/transport/http_connection.h>
#include <waxwing/transport/http_exchange.h>
#include <waxwing/transport/http_request.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace waxwing::control
{

EndpointClient::EndpointClient(boost::asio::io_context &context)
    : m_context(context)
{
}

EndpointClient::~EndpointClient() = default;

void EndpointClient::call(EndpointCall call, std::function<void(EndpointAnswer &&answer)> handler)
{
    const auto id = ++m_lastId;
    auto &connection = m_connections[id];
    connection = std::make_unique<HttpConnection>(m_context);
    const auto address = call.address;
    const auto timeout = call.timeout;
    connection->connect(address, timeout, [this, id, call = std::move(call), handler = std::move(handler)](std::error_code error) {
        if (error) {
            // Destroy the connection after this callback has returned, because it belongs to the connection.
            boost::asio::post(m_context, [this, id, handler] {
                m_connections.erase(id);
                handler({});
            });
            return;
        }
        exchange(id, call, handler);
    });
}

void EndpointClient::exchange(std::uint64_t id, const EndpointCall &call, const std::function<void(EndpointAnswer &&answer)> &handler)
{
    HttpRequest request;
    request.method = call.method;
    request.target = call.target;
    if (call.method != "GET") {
        request.body = boost::json::serialize(call.body);
    }
    m_connections.at(id)->exchange(request, call.timeout, [this, id, handler](HttpExchange &&result) {
        EndpointAnswer answer;
        if (!result.error) {
            boost::json::error_code error;
            auto body = boost::json::parse(result.response.body, error);
            if (!error && body.is_object()) {
                answer = {true, result.response.status, std::move(body.get_object())};
            }
        }
        boost::asio::post(m_context, [this, id, handler, answer = std::move(answer)]() mutable {
            m_connections.erase(id);
            handler(std::move(answer));
        });
    });
}

} // namespace waxwing::control
