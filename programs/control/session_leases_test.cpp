#include "session_leases.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace waxwing;
using namespace waxwing::control;

namespace
{

wire::PoolRenewal renewal(const std::string &proxy, std::uint64_t incarnation, std::uint32_t demand = 0)
{
    wire::PoolRenewal message;
    message.set_proxy(proxy);
    message.set_incarnation(incarnation);
    message.set_demand(demand);
    return message;
}

} // namespace

class SessionLeasesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SessionLeasesTest);
    CPPUNIT_TEST(newLeaderWaitsForLeasesOfTheFormerOne);
    CPPUNIT_TEST(leaseOfAFormerProcessCountsOn);
    CPPUNIT_TEST(sharesFollowDemand);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a promotion while a proxy still reads under a lease that an earlier leader granted.
    void newLeaderWaitsForLeasesOfTheFormerOne()
    {
        SessionLeases leases;
        leases.reset(TimePoint(10s));
        CPPUNIT_ASSERT(!leases.isComplete(TimePoint(12'099ms)));
        CPPUNIT_ASSERT(leases.isComplete(TimePoint(12'100ms)));
    }

    // Guards against a restart of a proxy that hides the lease of its former process.
    void leaseOfAFormerProcessCountsOn()
    {
        SessionLeases leases;
        leases.reset(TimePoint(0s));
        leases.renew(renewal("p", 1));
        leases.grant("p", TimePoint(10s));
        leases.renew(renewal("p", 2));
        CPPUNIT_ASSERT(!leases.expire(TimePoint(12'099ms)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), leases.proxies().at("p").incarnation);
        CPPUNIT_ASSERT(leases.expire(TimePoint(12'100ms)));
    }

    // Guards against the only proxy of a domain that starves, and against shares that add up to more than there is.
    void sharesFollowDemand()
    {
        SessionLeases leases;
        leases.reset(TimePoint(0s));
        leases.renew(renewal("a", 1, 300));
        leases.renew(renewal("b", 1, 100));
        leases.renew(renewal("c", 1, 0));
        const auto &proxies = leases.proxies();
        const auto a = leases.share(proxies.at("a"));
        const auto b = leases.share(proxies.at("b"));
        const auto c = leases.share(proxies.at("c"));
        CPPUNIT_ASSERT(a > 2 * b);
        CPPUNIT_ASSERT(c >= 40);
        CPPUNIT_ASSERT(a + b + c <= 1000);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionLeasesTest);
