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
    CPPUNIT_TEST(cutOffProxyIsReachedThroughAnotherMember);
    CPPUNIT_TEST(memberRelaysOnlyToTheLeaderThatDidNotAnswer);
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

    // Guards against a service without a primary and proxies without a lease because they do not reach the leader, while
    // they reach the other members (day trouble-3 of bainha-sul, --seed 5).
    void cutOffProxyIsReachedThroughAnotherMember()
    {
        SessionControlBed bed;
        CPPUNIT_ASSERT(bed.runUntil([&] { return bed.control.isActive(); }));
        bool direct = false;
        bed.onProxyMessage = [&](const std::string &, const wire::PoolEnvelope &message) {
            direct = direct || message.has_grant();
        };
        wire::PoolEnvelope message;
        message.mutable_relay()->set_proxy("p1");
        auto &renewal = *message.mutable_relay()->mutable_content()->mutable_renewal();
        renewal.set_proxy("p1");
        renewal.set_sequence(7);
        renewal.set_incarnation(1);
        bed.control.handleMessage("core-2", message);
        CPPUNIT_ASSERT(bed.runUntil([&] { return !bed.memberMessages.empty(); }));
        const auto &[member, reply] = bed.memberMessages.back();
        CPPUNIT_ASSERT_EQUAL(std::string("core-2"), member);
        CPPUNIT_ASSERT_EQUAL(std::string("p1"), reply.relay().proxy());
        CPPUNIT_ASSERT(reply.relay().content().grant().relayed());
        CPPUNIT_ASSERT(!direct);
        bed.renew("p1", false);
        CPPUNIT_ASSERT(bed.runUntil([&] { return direct; }));
    }

    // Guards against messages that go on to a leader which was replaced, and against relays where a referral is enough.
    void memberRelaysOnlyToTheLeaderThatDidNotAnswer()
    {
        SessionControlBed bed;
        bed.leads = false;
        std::size_t referrals = 0;
        bed.onProxyMessage = [&](const std::string &, const wire::PoolEnvelope &message) {
            referrals += message.has_not_leader() ? 1 : 0;
        };
        wire::PoolEnvelope message;
        message.mutable_renewal()->set_proxy("p1");
        message.mutable_renewal()->set_unreachable_leader("core-1");
        bed.control.handleMessage("p1", message);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), referrals);
        CPPUNIT_ASSERT(bed.memberMessages.empty());
        message.mutable_renewal()->set_unreachable_leader("core-2");
        bed.control.handleMessage("p1", message);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), referrals);
        CPPUNIT_ASSERT_EQUAL(std::string("core-2"), bed.memberMessages.back().first);
        message.Clear();
        message.mutable_relay()->set_proxy("p1");
        message.mutable_relay()->mutable_content()->mutable_not_leader();
        bed.control.handleMessage("core-2", message);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), referrals);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionControlTest);
