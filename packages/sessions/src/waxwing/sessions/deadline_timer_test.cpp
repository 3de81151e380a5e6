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
    CPPUNIT_TEST(expiredTimerDoesNotCallAfterDestruction);
    CPPUNIT_TEST(expiredTimerDoesNotCallAfterRestart);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an operation that never times out because the function of its timer is not called.
    void callsAtTheDeadline()
    {
        boost::asio::io_context context;
        DeadlineTimer timer(context.get_executor());
        int calls = 0;
        timer.start(Duration::zero(), [&] { ++calls; });
        context.run();
        CPPUNIT_ASSERT_EQUAL(1, calls);
    }

    // Guards against a crash by access to a destroyed connection: after a suspension of the process its answer and its deadline are
    // handled in the same turn, and the answer may destroy the connection first.
    void expiredTimerDoesNotCallAfterDestruction()
    {
        boost::asio::io_context context;
        std::optional<DeadlineTimer> timer(std::in_place, context.get_executor());
        int calls = 0;
        timer->start(-1s, [&] { ++calls; });
        boost::asio::post(context, [&] { timer.reset(); });
        context.run();
        CPPUNIT_ASSERT_EQUAL(0, calls);
    }

    // Guards against the expired deadline of one statement closing the connection while the next statement runs.
    void expiredTimerDoesNotCallAfterRestart()
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
