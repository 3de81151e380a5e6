#include "sent_traffic.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace waxwing;
using namespace waxwing::control;

class SentTrafficTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SentTrafficTest);
    CPPUNIT_TEST(partsOfAGrantCountSeparately);
    CPPUNIT_TEST(relayedGrantCountsAsRelay);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against figures that don't tell whether configurations, directories or leases fill a link.
    void partsOfAGrantCountSeparately()
    {
        SentTraffic traffic;
        wire::Envelope message;
        auto &grant = *message.mutable_pool()->mutable_grant();
        grant.set_sequence(1);
        traffic.add(message);
        grant.set_document(std::string(1000, 'x'));
        grant.set_has_directory(true);
        grant.add_services()->set_service(std::string(100, 's'));
        traffic.add(message);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), traffic.messages(SentTraffic::Kind::Document));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1000), traffic.bytes(SentTraffic::Kind::Document));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), traffic.messages(SentTraffic::Kind::Directory));
        CPPUNIT_ASSERT(traffic.bytes(SentTraffic::Kind::Directory) >= 100);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), traffic.messages(SentTraffic::Kind::Grant));
        CPPUNIT_ASSERT(traffic.bytes(SentTraffic::Kind::Grant) < 100);
    }

    // Guards against relayed copies that are counted as if proxies had received them directly.
    void relayedGrantCountsAsRelay()
    {
        SentTraffic traffic;
        wire::Envelope message;
        message.mutable_pool()->mutable_relay()->mutable_content()->mutable_grant()->set_document(std::string(1000, 'x'));
        traffic.add(message);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), traffic.messages(SentTraffic::Kind::Relay));
        CPPUNIT_ASSERT(traffic.bytes(SentTraffic::Kind::Relay) >= 1000);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), traffic.messages(SentTraffic::Kind::Document));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SentTrafficTest);
