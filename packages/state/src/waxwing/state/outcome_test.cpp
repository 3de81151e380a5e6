#include <waxwing/state/outcome.h>

#include <cppunit/extensions/HelperMacros.h>

#include <set>

using namespace waxwing;

class OutcomeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OutcomeTest);
    CPPUNIT_TEST(codesAreUniqueAndRoundTrip);
    CPPUNIT_TEST(reasonsStayWithTheirOutcome);
    CPPUNIT_TEST(statusesAreThoseOfTheDesign);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two reasons that share a code, and against an outcome that changes on its way between proxies.
    void codesAreUniqueAndRoundTrip()
    {
        std::set<std::string_view> codes;
        for (const auto reason : refusalReasons()) {
            CPPUNIT_ASSERT(codes.insert(code(reason)).second);
            CPPUNIT_ASSERT(Outcome::fromCodes("not-run", code(reason)) == Outcome::notRun(reason));
            CPPUNIT_ASSERT(message(reason, "group orders").find("{}") == std::string::npos);
        }
        for (const auto reason : unknownReasons()) {
            CPPUNIT_ASSERT(codes.insert(code(reason)).second);
            CPPUNIT_ASSERT(Outcome::fromCodes("unknown", code(reason)) == Outcome::unknown(reason));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(36), codes.size());
        CPPUNIT_ASSERT_EQUAL(std::string("The queue of group orders is full."), message(RefusalReason::QueueFull, "group orders"));
    }

    // Guards against a statement that may have run and is reported as not-run.
    void reasonsStayWithTheirOutcome()
    {
        CPPUNIT_ASSERT(!Outcome::fromCodes("not-run", "owner-lost"));
        CPPUNIT_ASSERT(!Outcome::fromCodes("unknown", "queue-full"));
        CPPUNIT_ASSERT(!Outcome::fromCodes("", ""));
        CPPUNIT_ASSERT(Outcome::fromCodes("failed", "") == Outcome::failed());
    }

    // Guards against clients that act on a wrong HTTP status, e.g. retry a refused token.
    void statusesAreThoseOfTheDesign()
    {
        CPPUNIT_ASSERT_EQUAL(200U, Outcome::done().httpStatus());
        CPPUNIT_ASSERT_EQUAL(422U, Outcome::failed().httpStatus());
        CPPUNIT_ASSERT_EQUAL(504U, Outcome::unknown(UnknownReason::OwnerLost).httpStatus());
        CPPUNIT_ASSERT_EQUAL(400U, httpStatus(RefusalReason::InvalidRequest));
        CPPUNIT_ASSERT_EQUAL(403U, httpStatus(RefusalReason::BadSessionToken));
        CPPUNIT_ASSERT_EQUAL(409U, httpStatus(RefusalReason::SessionWriteLost));
        for (const auto reason : {RefusalReason::QueueFull, RefusalReason::CallerShareExceeded, RefusalReason::DeadlineUnreachable,
                                  RefusalReason::RetryBudgetExhausted, RefusalReason::TooManyConnections}) {
            CPPUNIT_ASSERT_EQUAL(429U, httpStatus(reason));
        }
        CPPUNIT_ASSERT_EQUAL(503U, httpStatus(RefusalReason::LeaseLost));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OutcomeTest);
