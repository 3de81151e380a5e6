#include "testing/proxy_cluster.h"

#include <algorithm>

using namespace waxwing;

class StatementPathTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StatementPathTest);
    CPPUNIT_TEST(writeRunsAtTheOwnerAndItsSessionReadsIt);
    CPPUNIT_TEST(statementIsForwardedToTheOwner);
    CPPUNIT_TEST(unknownServiceAndBadTokenAreRefused);
    CPPUNIT_TEST(refusalInAFullQueueMayRefuseTheNewcomer);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a session read that a replica serves before it has the write.
    void writeRunsAtTheOwnerAndItsSessionReadsIt()
    {
        ProxyCluster cluster;
        const auto written = cluster.ask("a", ProxyCluster::write("write k v"));
        CPPUNIT_ASSERT_EQUAL(std::string("done"), written.outcome());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(11), written.position());
        const auto behind = cluster.ask("a", ProxyCluster::read("read k", "session", written.session()));
        CPPUNIT_ASSERT_EQUAL(std::string("primary"), behind.role());
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"value":"value of k"})"), behind.result_json());
        cluster.endpoints[1]->position = cluster.endpoints[2]->position = 11;
        cluster.runUntil([&] {
            const auto applied = cluster.proxies["a"]->group("orders")->members().view().applied("orders-2");
            return applied && applied->position == 11;
        });
        CPPUNIT_ASSERT_EQUAL(std::string("replica"), cluster.ask("a", ProxyCluster::read("read k", "session", written.session())).role());
    }

    // Guards against a proxy that serves only the groups that it owns.
    void statementIsForwardedToTheOwner()
    {
        ProxyCluster cluster;
        const auto written = cluster.ask("b", ProxyCluster::write("write k v"));
        CPPUNIT_ASSERT_EQUAL(std::string("done"), written.outcome());
        CPPUNIT_ASSERT_EQUAL(std::string("orders-1"), written.served_by());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), cluster.endpoints[0]->ran.size());
    }

    // Guards against requests that are run although they can't be understood.
    void unknownServiceAndBadTokenAreRefused()
    {
        ProxyCluster cluster;
        auto other = ProxyCluster::write("write k v");
        other.set_service("other");
        CPPUNIT_ASSERT_EQUAL(std::string("unknown-service"), cluster.ask("a", other).reason());
        CPPUNIT_ASSERT_EQUAL(std::string("bad-session-token"), cluster.ask("b", ProxyCluster::write("write k v", "AAAA")).reason());
        CPPUNIT_ASSERT(cluster.endpoints[0]->ran.empty());
    }

    // Guards against the use of a statement after its end: it displaces a write from the full queue, a read of that
    // write's session then enters the queue and displaces the statement itself.
    void refusalInAFullQueueMayRefuseTheNewcomer()
    {
        ProxyCluster cluster;
        const auto session = cluster.ask("a", ProxyCluster::write("write k v")).session();
        cluster.control.configVersion = 2;
        cluster.control.resources
            = {ProxyCluster::resource("service", "shop", R"({"group":"orders","acknowledge":"primary","limits":"small","policy":"weighted"})", 2),
               ProxyCluster::resource("limits", "small", R"({"queue_length":2,"caller_share_percent":100})", 2),
               ProxyCluster::resource("policy", "weighted", R"({"weights":{"low":1,"middle":10,"high":100},"admission":"none"})", 2)};
        cluster.control.publish([](wire::GroupDirectory &) {});
        for (auto &endpoint : cluster.endpoints) {
            endpoint->behaviour = FakeEndpoint::Behaviour::Hold;
        }
        const auto send = [&](wire::StatementRequest request, const std::string &operation) {
            request.set_operation(operation);
            request.set_caller(operation);
            return cluster.send("a", request);
        };
        for (int i = 0; i < 3; ++i) {
            send(ProxyCluster::write("write k v"), "running");
        }
        cluster.runUntil([&] { return cluster.endpoints[0]->held() == 3; });
        const auto displaced = send(ProxyCluster::write("write k w", session), "low");
        const auto other = send(ProxyCluster::write("write k x"), "high");
        const auto read = send(ProxyCluster::read("read k", "session", session), "high");
        const auto newcomer = send(ProxyCluster::write("write k y"), "middle");
        CPPUNIT_ASSERT_EQUAL(std::string("queue-full"), displaced->value().reason());
        CPPUNIT_ASSERT_EQUAL(std::string("queue-full"), newcomer->value().reason());
        CPPUNIT_ASSERT(!other->has_value() && !read->has_value());
        for (auto &endpoint : cluster.endpoints) {
            endpoint->behaviour = FakeEndpoint::Behaviour::Answer;
            endpoint->release();
        }
        cluster.runUntil([&] { return cluster.unanswered() == 0; });
        CPPUNIT_ASSERT_EQUAL(std::string("done"), other->value().outcome());
        CPPUNIT_ASSERT_EQUAL(std::string("done"), read->value().outcome());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StatementPathTest);
