#include "endpoint.h"
#include "member.h"

#include <waxwing/transport/http_connection.h>
#include <waxwing/transport/http_exchange.h>
#include <waxwing/transport/http_request.h>

#include <boost/asio/ip/tcp.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace waxwing;
using namespace waxwing::standin;

class EndpointTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EndpointTest);
    CPPUNIT_TEST(refuseClosesConnectionsAndHealsAgain);
    CPPUNIT_TEST(reorderedAnswerBelongsToAnEarlierRequest);
    CPPUNIT_TEST(droppedAnswerRanAllTheSame);
    CPPUNIT_TEST_SUITE_END();

    boost::asio::io_context m_context;
    std::optional<Member> m_member;
    std::optional<Endpoint> m_endpoint;

    static std::string freeAddress(boost::asio::io_context &context)
    {
        const boost::asio::ip::tcp::acceptor acceptor(context, {boost::asio::ip::address_v4::loopback(), 0});
        return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    }

    void runUntil(const std::function<bool()> &condition)
    {
        while (!condition()) {
            CPPUNIT_ASSERT(m_context.run_one_for(10s) > 0);
        }
    }

    std::error_code connect(HttpConnection &connection, const std::string &address)
    {
        std::optional<std::error_code> result;
        connection.connect(address, 5s, [&](std::error_code error) { result = error; });
        runUntil([&] { return result.has_value(); });
        return *result;
    }

    HttpExchange exchange(HttpConnection &connection, const std::string &target, const std::string &body)
    {
        std::optional<HttpExchange> result;
        connection.exchange({.method = "POST", .target = target, .body = body}, 5s, [&](HttpExchange &&done) { result = std::move(done); });
        runUntil([&] { return result.has_value(); });
        return std::move(*result);
    }

    void setFaults(const std::string &faults)
    {
        HttpConnection admin(m_context);
        connect(admin, m_member->options.adminListen);
        CPPUNIT_ASSERT_EQUAL(200U, exchange(admin, "/admin/faults", faults).response.status);
    }

    HttpExchange write(HttpConnection &connection, const std::string &id)
    {
        return exchange(connection, "/v1/execute", R"({"correlation_id":")" + id + R"(","term":1,"statement":"write k )" + id + R"( cost=0","kind":"write"})");
    }

public:
    void setUp() override
    {
        StandinOptions options {.startsAsPrimary = true, .term = 1};
        options.listen = freeAddress(m_context);
        options.adminListen = freeAddress(m_context);
        m_member.emplace(std::move(options));
        m_member->start();
        m_endpoint.emplace(m_context, *m_member);
        CPPUNIT_ASSERT(m_endpoint->start());
    }

    void tearDown() override
    {
        m_endpoint.reset();
        m_context.stop();
    }

    // Guards against the crash of a stand-in that closes its server while connections are open.
    void refuseClosesConnectionsAndHealsAgain()
    {
        HttpConnection connection(m_context);
        connect(connection, m_member->options.listen);
        write(connection, "a");
        setFaults(R"({"refuse":true})");
        HttpConnection refused(m_context);
        CPPUNIT_ASSERT(connect(refused, m_member->options.listen));
        CPPUNIT_ASSERT(write(connection, "b").error);
        setFaults("{}");
        HttpConnection again(m_context);
        CPPUNIT_ASSERT(!connect(again, m_member->options.listen));
        CPPUNIT_ASSERT_EQUAL(200U, write(again, "c").response.status);
    }

    // Guards against a fault that tests nothing because the answer is the right one.
    void reorderedAnswerBelongsToAnEarlierRequest()
    {
        HttpConnection connection(m_context);
        connect(connection, m_member->options.listen);
        const auto first = write(connection, "a").response.body;
        setFaults(R"({"reordered":1})");
        CPPUNIT_ASSERT_EQUAL(first, write(connection, "b").response.body);
    }

    // Guards against a dropped answer whose statement did not run.
    void droppedAnswerRanAllTheSame()
    {
        HttpConnection connection(m_context);
        connect(connection, m_member->options.listen);
        setFaults(R"({"drop":1})");
        CPPUNIT_ASSERT(write(connection, "a").error);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), m_member->database.value("k"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointTest);
