#include "testing/session_control_bed.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace waxwing;
using namespace waxwing::control;
using waxwing::control::testing::SessionControlBed;

class SessionControlTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SessionControlTest);
    CPPUNIT_TEST(proxyIsRecordedBeforeItGetsALease);
    CPPUNIT_TEST(waitingProxiesAreToldOfTheNewLeader);
    CPPUNIT_TEST(statusListsServicesAndProxies);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a stale read: a new leader that does not know of a lease promotes before it has ended.
    void proxyIsRecordedBeforeItGetsALease()
    {
        SessionControlBed bed;
        CPPUNIT_ASSERT(bed.runUntil([&] { return bed.control.isActive(); }));
        bool granted = false;
        bed.onProxyMessage = [&](const std::string &proxy, const wire::PoolEnvelope &message) {
            if (message.has_grant() && message.grant().sequence() != 0) {
                granted = true;
                CPPUNIT_ASSERT(bed.machine.proxies().contains(proxy));
            }
        };
        bed.renew("p1", false);
        CPPUNIT_ASSERT(bed.runUntil([&] { return granted; }));
    }

    // Guards against proxies that ask again only after their search interval (190 ms on day trouble-2 of bainha-sul).
    void waitingProxiesAreToldOfTheNewLeader()
    {
        SessionControlBed bed;
        bed.leads = false;
        std::vector<std::string> hints;
        bed.onProxyMessage = [&](const std::string &, const wire::PoolEnvelope &message) {
            if (message.has_not_leader()) {
                hints.push_back(message.not_leader().leader());
            }
        };
        bed.renew("p1", false);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), hints.size());
        bed.leads = true;
        CPPUNIT_ASSERT(bed.runUntil([&] { return hints.size() == 2; }));
        CPPUNIT_ASSERT(bed.control.isActive());
    }

    // Guards against an operator who does not see which proxies have which version in force.
    void statusListsServicesAndProxies()
    {
        SessionControlBed bed;
        CPPUNIT_ASSERT(bed.runUntil([&] { return bed.control.isActive(); }));
        bed.add("a", true);
        bed.renew("p1", false);
        CPPUNIT_ASSERT(bed.runUntil([&] { return bed.primary() == "a"; }));
        const auto status = bed.control.status(LogStatus());
        CPPUNIT_ASSERT_EQUAL(std::string("a"), std::string(status.at("services").as_array().front().as_object().at("primary").as_string()));
        CPPUNIT_ASSERT_EQUAL(std::string("p1"), std::string(status.at("proxies").as_array().front().as_object().at("proxy").as_string()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionControlTest);
