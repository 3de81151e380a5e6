#include "operator_client.h"

#include <waxwing/transport/http_connection.h>
#include <waxwing/transport/http_exchange.h>
#include <waxwing/transport/http_request.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <utility>

namespace waxwing::control
{

namespace
{

constexpr Duration connectTimeout = 2s;
constexpr Duration retryInterval = 100ms;
constexpr std::string_view scheme = "http://";

std::string leaderAddress(const HttpResponse &response)
{
    for (const auto &[name, value] : response.headers) {
        if ((name == "Location" || name == "location") && value.starts_with(scheme)) {
            const auto rest = value.substr(scheme.size());
            return rest.substr(0, rest.find('/'));
        }
    }
    return {};
}

} // namespace

OperatorClient::OperatorClient(std::vector<std::string> addresses, std::string token)
    : m_addresses(std::move(addresses))
    , m_token(std::move(token))
{
}

HttpResponse OperatorClient::request(const std::string &method, const std::string &target, const std::string &body, Duration timeout)
{
    const auto deadline = Clock::now() + timeout;
    std::string lastError = "no control process answered";
    while (Clock::now() < deadline && !m_addresses.empty()) {
        const auto address = m_leaderAddress.empty() ? m_addresses[m_nextAddress++ % m_addresses.size()] : m_leaderAddress;
        HttpResponse response;
        const bool answered = attempt(address, method, target, body, deadline - Clock::now(), response);
        m_leaderAddress.clear();
        if (answered && response.status == 307) {
            m_leaderAddress = leaderAddress(response);
            if (!m_leaderAddress.empty()) {
                continue;
            }
        } else if (answered && response.status != 503 && response.status != 504) {
            m_leaderAddress = address;
            return response;
        }
        lastError = answered ? response.body : address + ": no answer";
        boost::asio::io_context context;
        boost::asio::steady_timer timer(context, retryInterval);
        timer.wait();
    }
    HttpResponse failed;
    failed.status = 0;
    failed.body = lastError;
    return failed;
}

bool OperatorClient::attempt(const std::string &address, const std::string &method, const std::string &target, const std::string &body, Duration timeout,
                             HttpResponse &response)
{
    boost::asio::io_context context;
    HttpConnection connection(context);
    HttpRequest request;
    request.method = method;
    request.target = target;
    request.body = body;
    request.authorization = "Bearer " + m_token;
    bool answered = false;
    connection.connect(address, std::min(timeout, connectTimeout), [&](std::error_code error) {
        if (error) {
            context.stop();
            return;
        }
        connection.exchange(request, timeout, [&](HttpExchange &&exchange) {
            answered = !exchange.error;
            response = std::move(exchange.response);
            context.stop();
        });
    });
    context.run();
    return answered;
}

} // namespace waxwing::control
