#include <waxwing/sessions/deadline_timer.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <optional>

using namespace waxwing;

class DeadlineTimerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DeadlineTimerTest);
    CPPUNIT_TEST(callsAtTheDeadline);
    CPPUNIT_TEST(expiredTimerDoesNotCallAfterItsEnd);
    CPPUNIT_TEST(expiredTimerDoesNotCallInTheNextRound);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a deadline that never ends an operation.
    void callsAtTheDeadline()
    {
        boost::asio::io_context context;
        DeadlineTimer timer(context.get_executor());
        int calls = 0;
        timer.start(Duration::zero(), [&] { ++calls; });
        context.run();
        CPPUNIT_ASSERT_EQUAL(1, calls);
    }

    // Guards against an access to a connection that has ended: after a suspension its answer and its deadline are due at the
    // same time (exit with signal 11 on day proxies-cut-off).
    void expiredTimerDoesNotCallAfterItsEnd()
    {
        boost::asio::io_context context;
        std::optional<DeadlineTimer> timer(std::in_place, context.get_executor());
        int calls = 0;
        timer->start(-1s, [&] { ++calls; });
        boost::asio::post(context, [&] { timer.reset(); });
        context.run();
        CPPUNIT_ASSERT_EQUAL(0, calls);
    }

    // Guards against a deadline of an earlier statement that closes the connection of the next one.
    void expiredTimerDoesNotCallInTheNextRound()
    {
        boost::asio::io_context context;
        DeadlineTimer timer(context.get_executor());
        int early = 0;
        int late = 0;
        timer.start(-1s, [&] { ++early; });
        boost::asio::post(context, [&] { timer.start(Duration::zero(), [&] { ++late; }); });
        context.run();
        CPPUNIT_ASSERT_EQUAL(0, early);
        CPPUNIT_ASSERT_EQUAL(1, late);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DeadlineTimerTest);
