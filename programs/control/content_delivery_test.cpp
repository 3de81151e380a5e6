#include "content_delivery.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace waxwing;
using namespace waxwing::control;

class ContentDeliveryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ContentDeliveryTest);
    CPPUNIT_TEST(contentUnderWayIsRepeatedAfterADoublingTime);
    CPPUNIT_TEST(newerContentWaitsForContentUnderWay);
    CPPUNIT_TEST(restartedReceiverGetsContentAtOnce);
    CPPUNIT_TEST(lateStatementOfAnOlderVersionSendsNothing);
    CPPUNIT_TEST(lostContentIsSentAgainSoon);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a link that fills with copies of the same content, because each renewal that states the former version is
    // answered with another one.
    void contentUnderWayIsRepeatedAfterADoublingTime()
    {
        ContentDelivery delivery({.firstRepetition = 2s, .maxRepetition = 8s});
        delivery.confirm(1);
        int copies = 0;
        for (TimePoint now(10s); now < TimePoint(40s); now += 100ms) {
            delivery.confirm(1);
            if (delivery.isDue(2, now)) {
                delivery.recordSent(2, now);
                ++copies;
            }
        }
        CPPUNIT_ASSERT_EQUAL(5, copies); // after 0, 2, 6, 14 and 22 s
        delivery.confirm(2);
        CPPUNIT_ASSERT(!delivery.isDue(2, TimePoint(1000s)));
    }

    // Guards against a queue of outdated versions before a receiver that is slower than the changes.
    void newerContentWaitsForContentUnderWay()
    {
        ContentDelivery delivery({.firstRepetition = 2s, .maxRepetition = 8s});
        delivery.recordSent(1, TimePoint(10s));
        CPPUNIT_ASSERT(!delivery.isDue(2, TimePoint(11s)));
        delivery.confirm(1);
        CPPUNIT_ASSERT(delivery.isDue(2, TimePoint(11s)));
        delivery.recordSent(2, TimePoint(11s));
        CPPUNIT_ASSERT(!delivery.isDue(3, TimePoint(12'999ms)));
        CPPUNIT_ASSERT(delivery.isDue(3, TimePoint(13s)));
    }

    // Guards against a restarted proxy that waits for content which was sent to its former process.
    void restartedReceiverGetsContentAtOnce()
    {
        ContentDelivery delivery;
        delivery.recordSent(2, TimePoint(10s));
        delivery.confirm(2);
        delivery.reset();
        CPPUNIT_ASSERT(delivery.isDue(2, TimePoint(10s)));
    }

    // Guards against content that is sent again because a renewal arrives after a later one.
    void lateStatementOfAnOlderVersionSendsNothing()
    {
        ContentDelivery delivery;
        delivery.recordSent(2, TimePoint(10s));
        delivery.confirm(2);
        delivery.confirm(1);
        CPPUNIT_ASSERT(!delivery.isDue(2, TimePoint(1000s)));
    }

    // Guards against a proxy that waits for seconds for content which never left control, because its connection had ended.
    void lostContentIsSentAgainSoon()
    {
        ContentDelivery delivery({.firstRepetition = 2s, .maxRepetition = 8s, .lossRepetition = 400ms});
        delivery.recordSent(1, TimePoint(10s));
        delivery.recordSent(2, TimePoint(20s));
        delivery.recordLost(1, TimePoint(20s));
        CPPUNIT_ASSERT(!delivery.isDue(2, TimePoint(21s)));
        delivery.recordLost(2, TimePoint(21s));
        CPPUNIT_ASSERT(!delivery.isDue(2, TimePoint(21'399ms)));
        CPPUNIT_ASSERT(delivery.isDue(2, TimePoint(21'400ms)));
        delivery.recordSent(2, TimePoint(21'400ms));
        CPPUNIT_ASSERT(!delivery.isDue(2, TimePoint(23'399ms)));
        CPPUNIT_ASSERT(delivery.isDue(2, TimePoint(23'400ms)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ContentDeliveryTest);
