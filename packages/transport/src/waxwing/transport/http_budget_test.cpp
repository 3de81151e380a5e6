#include "http_budget.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace waxwing;

class HttpBudgetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpBudgetTest);
    CPPUNIT_TEST(largestUploadGivesWay);
    CPPUNIT_TEST(olderOfEqualUploadsGivesWay);
    CPPUNIT_TEST(requestInHandlingIsKept);
    CPPUNIT_TEST(onlyLargeAccountIsKept);
    CPPUNIT_TEST(smallRequestsUseTheReservedPart);
    CPPUNIT_TEST(answersThatAreNotFreedCount);
    CPPUNIT_TEST(closingTwiceReleasesOnce);
    CPPUNIT_TEST(longestIdleConnectionIsReplaced);
    CPPUNIT_TEST(connectionWithARequestIsNotReplaced);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t limit = 800'000; // 700'000 for large accounts
    using Phase = HttpBudget::Phase;

    HttpBudget m_budget {limit};
    TimePoint m_now;

    void open(std::uint64_t connection, Phase phase, std::size_t bytes)
    {
        m_now += 1s;
        m_budget.open(connection, m_now);
        m_budget.update(connection, phase, bytes, m_now);
    }

public:
    // Guards against small uploads that are ended because of a large one.
    void largestUploadGivesWay()
    {
        open(1, Phase::Upload, 100'000);
        open(2, Phase::Upload, 500'000);
        open(3, Phase::Upload, 100'000);
        CPPUNIT_ASSERT(!m_budget.connectionToStop());
        m_budget.update(3, Phase::Upload, 100'001, m_now);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), m_budget.connectionToStop().value());
        m_budget.close(2);
        CPPUNIT_ASSERT(!m_budget.connectionToStop());
    }

    // Guards against a new upload that can't finish while older ones of the same size make no progress.
    void olderOfEqualUploadsGivesWay()
    {
        open(7, Phase::Upload, 400'000);
        open(3, Phase::Answer, 400'000);
        open(5, Phase::Upload, 400'000);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), m_budget.connectionToStop().value());
    }

    // Guards against a configuration that is stored although its operator was told 503.
    void requestInHandlingIsKept()
    {
        open(1, Phase::Handling, 600'000);
        open(2, Phase::Upload, 200'000);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), m_budget.connectionToStop().value());
        m_budget.update(2, Phase::Handling, 200'000, m_now);
        CPPUNIT_ASSERT(!m_budget.connectionToStop());
    }

    // Guards against a request inside the limit of bodies that an idle server refuses.
    void onlyLargeAccountIsKept()
    {
        open(1, Phase::Answer, limit + 1);
        open(2, Phase::Upload, HttpBudget::smallBytes);
        CPPUNIT_ASSERT(!m_budget.connectionToStop());
        m_budget.update(2, Phase::Upload, HttpBudget::smallBytes + 1, m_now);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_budget.connectionToStop().value());
    }

    // Guards against large uploads that leave no room for heartbeats.
    void smallRequestsUseTheReservedPart()
    {
        open(1, Phase::Upload, 350'000);
        open(2, Phase::Upload, 350'000);
        for (std::uint64_t connection = 3; connection < 9; ++connection) {
            open(connection, Phase::Upload, HttpBudget::smallBytes);
        }
        CPPUNIT_ASSERT(!m_budget.connectionToStop());
        open(9, Phase::Upload, HttpBudget::smallBytes);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_budget.connectionToStop().value());
    }

    // Guards against a burst of answers in one turn of the event loop, which frees those of closed connections only afterwards.
    void answersThatAreNotFreedCount()
    {
        open(1, Phase::Answer, 500'000);
        CPPUNIT_ASSERT(m_budget.mayKeep(600'000, 500'000));
        CPPUNIT_ASSERT(!m_budget.mayKeep(600'001, 500'000));
        CPPUNIT_ASSERT(m_budget.mayKeep(HttpBudget::smallBytes, 2 * limit));
        CPPUNIT_ASSERT(m_budget.mayKeep(3 * limit, 0));
    }

    // Guards against bytes that are released on two ways out, which would let the sum fall below what is held.
    void closingTwiceReleasesOnce()
    {
        open(1, Phase::Upload, 100);
        open(2, Phase::Upload, 200);
        m_budget.close(1);
        m_budget.close(1);
        m_budget.update(1, Phase::Answer, 300, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(200), m_budget.heldBytes());
        m_budget.close(2);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_budget.heldBytes());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_budget.connections());
    }

    // Guards against silent connections that lock out new ones.
    void longestIdleConnectionIsReplaced()
    {
        open(1, Phase::Header, 10);
        open(2, Phase::Idle, 0);
        open(3, Phase::Idle, 0);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), m_budget.connectionToReplace().value());
        m_budget.update(2, Phase::Header, 1, m_now);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), m_budget.connectionToReplace().value());
        m_budget.close(3);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_budget.connectionToReplace().value());
    }

    // Guards against requests that are cut off by new connections.
    void connectionWithARequestIsNotReplaced()
    {
        open(1, Phase::Upload, 1);
        open(2, Phase::Handling, 1);
        open(3, Phase::Answer, 1);
        CPPUNIT_ASSERT(!m_budget.connectionToReplace());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpBudgetTest);
