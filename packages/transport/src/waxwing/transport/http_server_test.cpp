#include <waxwing/transport/http_connection.h>
#include <waxwing/transport/http_exchange.h>
#include <waxwing/transport/http_reply.h>
#include <waxwing/transport/http_request.h>
#include <waxwing/transport/http_server.h>

#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <optional>

using namespace waxwing;

class HttpServerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpServerTest);
    CPPUNIT_TEST(connectionCarriesTwoExchanges);
    CPPUNIT_TEST(lateReplyIsSentAfterTheHandlerReturned);
    CPPUNIT_TEST(longBodyIsRefusedWithAReason);
    CPPUNIT_TEST(refusedConnectIsNotHandedOver);
    CPPUNIT_TEST(drainAnswersTheRequestInFlightAndCloses);
    CPPUNIT_TEST(lostConnectionAfterSendingCountsAsHandedOver);
    CPPUNIT_TEST(serverMayBeDestroyedWhileARequestIsHandled);
    CPPUNIT_TEST_SUITE_END();

    boost::asio::io_context m_context;

    HttpServer serve(HttpServer::Handler handler, std::size_t maxBodyBytes = 1 << 20)
    {
        return std::move(HttpServer::start(m_context, {.listen = "127.0.0.1:0", .maxBodyBytes = maxBodyBytes}, std::move(handler)).value());
    }

    void runUntil(const std::function<bool()> &condition)
    {
        while (!condition()) {
            CPPUNIT_ASSERT(m_context.run_one_for(10s) > 0);
        }
    }

    HttpConnection connect(const HttpServer &server)
    {
        HttpConnection connection(m_context);
        bool connected = false;
        connection.connect("127.0.0.1:" + std::to_string(server.port()), 5s, [&](std::error_code error) { connected = !error; });
        runUntil([&] { return connected; });
        return connection;
    }

    HttpExchange exchange(HttpConnection &connection, const HttpRequest &request)
    {
        std::optional<HttpExchange> result;
        connection.exchange(request, 5s, [&](HttpExchange &&done) { result = std::move(done); });
        runUntil([&] { return result.has_value(); });
        return std::move(*result);
    }

public:
    // Guards against a response that is given to another request on a reused connection.
    void connectionCarriesTwoExchanges()
    {
        auto server = serve([](HttpRequest &&request, const HttpReply &reply) { reply.send({.body = request.target}); });
        auto connection = connect(server);
        CPPUNIT_ASSERT_EQUAL(std::string("/a"), exchange(connection, {.target = "/a"}).response.body);
        CPPUNIT_ASSERT_EQUAL(std::string("/b"), exchange(connection, {.target = "/b"}).response.body);
    }

    // Guards against a connection that is closed while its request is still being handled.
    void lateReplyIsSentAfterTheHandlerReturned()
    {
        std::optional<HttpReply> held;
        auto server = serve([&](HttpRequest &&, HttpReply reply) { held = std::move(reply); });
        auto connection = connect(server);
        std::optional<HttpExchange> result;
        connection.exchange({.method = "POST", .body = "{}"}, 5s, [&](HttpExchange &&done) { result = std::move(done); });
        runUntil([&] { return held.has_value(); });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), server.requestsInFlight());
        held->send({.status = 202});
        held->send({.status = 500});
        runUntil([&] { return result.has_value(); });
        CPPUNIT_ASSERT_EQUAL(202U, result->response.status);
    }

    // Guards against bodies that exhaust the memory of the process.
    void longBodyIsRefusedWithAReason()
    {
        auto server = serve([](HttpRequest &&, const HttpReply &reply) { reply.send({}); }, 10);
        auto connection = connect(server);
        const auto result = exchange(connection, {.method = "POST", .body = std::string(11, 'x')});
        CPPUNIT_ASSERT_EQUAL(413U, result.response.status);
        CPPUNIT_ASSERT(result.response.body.find("body-too-large") != std::string::npos);
    }

    // Guards against calling a statement possibly executed when its connection was never made.
    void refusedConnectIsNotHandedOver()
    {
        HttpConnection connection(m_context);
        std::optional<std::error_code> result;
        connection.connect("127.0.0.1:1", 5s, [&](std::error_code error) { result = error; });
        runUntil([&] { return result.has_value(); });
        CPPUNIT_ASSERT(*result == TransportError::ConnectFailed);
    }

    // Guards against a planned stop that cuts a request in flight.
    void drainAnswersTheRequestInFlightAndCloses()
    {
        std::optional<HttpReply> held;
        auto server = serve([&](HttpRequest &&, HttpReply reply) { held = std::move(reply); });
        auto connection = connect(server);
        std::optional<HttpExchange> result;
        connection.exchange({}, 5s, [&](HttpExchange &&done) { result = std::move(done); });
        runUntil([&] { return held.has_value(); });
        server.drain();
        held->send({.body = "done"});
        runUntil([&] { return result.has_value(); });
        CPPUNIT_ASSERT_EQUAL(std::string("done"), result->response.body);
        CPPUNIT_ASSERT(!connection.isOpen());
    }

    // Guards against reporting a statement as not run although its bytes had been sent.
    void lostConnectionAfterSendingCountsAsHandedOver()
    {
        std::optional<std::uint64_t> received;
        auto server = serve([&](HttpRequest &&request, const HttpReply &) { received = request.connection; });
        auto connection = connect(server);
        std::optional<HttpExchange> result;
        connection.exchange({}, 5s, [&](HttpExchange &&done) { result = std::move(done); });
        runUntil([&] { return received.has_value(); });
        server.close(*received);
        runUntil([&] { return result.has_value(); });
        CPPUNIT_ASSERT(result->error == TransportError::ConnectionLost);
        CPPUNIT_ASSERT(result->handedOver);
    }

    // Guards against a pending accept that uses the server after its destruction while a connection is still open.
    void serverMayBeDestroyedWhileARequestIsHandled()
    {
        std::optional<HttpReply> held;
        auto server = std::make_optional(serve([&](HttpRequest &&, HttpReply reply) { held = std::move(reply); }));
        auto connection = connect(*server);
        std::optional<HttpExchange> result;
        connection.exchange({}, 5s, [&](HttpExchange &&done) { result = std::move(done); });
        runUntil([&] { return held.has_value(); });
        server.reset();
        runUntil([&] { return result.has_value(); });
        CPPUNIT_ASSERT(result->error == TransportError::ConnectionLost);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpServerTest);
