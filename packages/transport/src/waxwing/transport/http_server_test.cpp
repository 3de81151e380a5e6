#include <waxwing/transport/http_connection.h>
#include <waxwing/transport/http_exchange.h>
#include <waxwing/transport/http_reply.h>
#include <waxwing/transport/http_request.h>
#include <waxwing/transport/http_server.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <array>
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
    CPPUNIT_TEST(largestUploadGivesWayToOthers);
    CPPUNIT_TEST(largestBodyIsTakenByAnIdleServer);
    CPPUNIT_TEST(unreadAnswersGiveWay);
    CPPUNIT_TEST(idleConnectionIsReplaced);
    CPPUNIT_TEST(stalledBodyIsClosed);
    CPPUNIT_TEST(unfinishedHeaderIsClosed);
    CPPUNIT_TEST(bodyLimitDependsOnTheTarget);
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

    /// A client that sends any bytes, and reads only if told so.
    struct RawClient
    {
        RawClient(boost::asio::io_context &context, const HttpServer &server)
            : socket(context)
        {
            socket.connect({boost::asio::ip::make_address("127.0.0.1"), server.port()});
        }

        void send(std::string text)
        {
            sent = std::move(text);
            boost::asio::async_write(socket, boost::asio::buffer(sent), [](const boost::system::error_code &, std::size_t) {});
        }

        void read()
        {
            socket.async_read_some(boost::asio::buffer(part), [this](const boost::system::error_code &error, std::size_t size) {
                received.append(part.data(), size);
                closed = static_cast<bool>(error);
                if (!closed) {
                    read();
                }
            });
        }

        boost::asio::ip::tcp::socket socket;
        std::string sent;
        std::string received;
        std::array<char, 1024> part {};
        bool closed = false;
    };

    static std::string upload(std::size_t announced, std::size_t sent)
    {
        return "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(announced) + "\r\n\r\n" + std::string(sent, 'x');
    }

    HttpServer serve(HttpServerOptions options)
    {
        options.listen = "127.0.0.1:0";
        return std::move(HttpServer::start(m_context, std::move(options), [](HttpRequest &&request, const HttpReply &reply) {
                             reply.send({.body = std::move(request.body)});
                         }).value());
    }

public:
    // Guards against unfinished uploads that together take more memory than the process has.
    void largestUploadGivesWayToOthers()
    {
        auto server = serve({.maxHeldBytes = 200'000});
        RawClient large(m_context, server);
        large.send(upload(190'000, 100'000));
        large.read();
        runUntil([&] { return server.heldBytes() >= 100'000; });
        RawClient other(m_context, server);
        other.send(upload(90'000, 89'999));
        runUntil([&] { return large.closed; });
        CPPUNIT_ASSERT(large.received.starts_with("HTTP/1.1 503"));
        CPPUNIT_ASSERT(large.received.find("uploads-exceed-memory") != std::string::npos);
        runUntil([&] { return server.heldBytes() >= 89'999; });
        auto connection = connect(server);
        CPPUNIT_ASSERT_EQUAL(200U, exchange(connection, {.method = "POST", .body = std::string(10'000, 'x')}).response.status);
        other.read();
        other.send("x");
        runUntil([&] { return other.received.size() > 90'000; });
        connection.close();
        other.socket.close();
        runUntil([&] { return server.connections() == 0; });
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), server.heldBytes());
    }

    // Guards against a limit of held bytes that refuses a request inside the limit of bodies.
    void largestBodyIsTakenByAnIdleServer()
    {
        constexpr std::size_t bodyBytes = 4 << 20;
        auto server = serve({.maxBodyBytes = bodyBytes, .maxHeldBytes = bodyBytes});
        auto connection = connect(server);
        const auto result = exchange(connection, {.method = "POST", .body = std::string(bodyBytes, 'x')});
        CPPUNIT_ASSERT_EQUAL(200U, result.response.status);
        CPPUNIT_ASSERT_EQUAL(bodyBytes, result.response.body.size());
    }

    // Guards against answers that fill the memory because their clients don't read them.
    void unreadAnswersGiveWay()
    {
        constexpr std::size_t answerBytes = 8 << 20; // more than the socket buffers take
        auto server
            = std::move(HttpServer::start(m_context, {.listen = "127.0.0.1:0", .maxHeldBytes = answerBytes}, [](HttpRequest &&request, const HttpReply &reply) {
                            reply.send({.body = std::string(request.target == "/small" ? 1 : answerBytes, 'x')});
                        }).value());
        RawClient first(m_context, server);
        first.send("GET / HTTP/1.1\r\n\r\n");
        runUntil([&] { return server.heldBytes() == answerBytes; });
        RawClient second(m_context, server);
        second.send("GET / HTTP/1.1\r\n\r\n");
        runUntil([&] { return server.connections() == 2; });
        runUntil([&] { return server.connections() == 1; });
        CPPUNIT_ASSERT_EQUAL(answerBytes, server.heldBytes());
        auto connection = connect(server);
        CPPUNIT_ASSERT_EQUAL(std::string("x"), exchange(connection, {.target = "/small"}).response.body);
    }

    // Guards against silent connections that keep new clients out.
    void idleConnectionIsReplaced()
    {
        auto server = serve({.maxConnections = 2});
        RawClient first(m_context, server);
        RawClient second(m_context, server);
        first.read();
        second.read();
        runUntil([&] { return server.connections() == 2; });
        auto connection = connect(server);
        CPPUNIT_ASSERT_EQUAL(200U, exchange(connection, {}).response.status);
        runUntil([&] { return first.closed; });
        CPPUNIT_ASSERT(!second.closed);
    }

    // Guards against uploads that hold their memory without making progress.
    void stalledBodyIsClosed()
    {
        auto server = serve({.bodyTimeout = 50ms});
        RawClient client(m_context, server);
        client.read();
        client.send(upload(100, 99));
        runUntil([&] { return client.closed; });
    }

    // Guards against connections that are held with a header in progress.
    void unfinishedHeaderIsClosed()
    {
        auto server = serve({.headerTimeout = 50ms});
        RawClient client(m_context, server);
        client.read();
        client.send("GET / HTTP/1.1\r\nX-Filler: ");
        runUntil([&] { return client.closed; });
    }

    // Guards against heartbeats that may be as large as a configuration.
    void bodyLimitDependsOnTheTarget()
    {
        auto server = serve({.maxBodyBytesOf = [](std::string_view, std::string_view target) {
            return std::size_t(target == "/small" ? 10 : 20);
        }});
        auto connection = connect(server);
        CPPUNIT_ASSERT_EQUAL(200U, exchange(connection, {.method = "POST", .target = "/large", .body = std::string(20, 'x')}).response.status);
        CPPUNIT_ASSERT_EQUAL(413U, exchange(connection, {.method = "POST", .target = "/small", .body = std::string(11, 'x')}).response.status);
    }

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
