#include "testing/proxy_cluster.h"

#include <algorithm>

using namespace waxwing;

class StatementPathTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StatementPathTest);
    CPPUNIT_TEST(writeRunsAtTheOwnerAndItsSessionReadsIt);
    CPPUNIT_TEST(statementIsForwardedToTheOwner);
    CPPUNIT_TEST(unknownServiceAndBadTokenAreRefused);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(StatementPathTest);
