#include <waxwing/support/budget_policy.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace waxwing;

using Decision = BudgetPolicy::Decision;
using Kind = MemoryBudget::Kind;

class BudgetPolicyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BudgetPolicyTest);
    CPPUNIT_TEST(singleMessageIsTakenHoweverLowTheLimit);
    CPPUNIT_TEST(largestHoldersPauseFirst);
    CPPUNIT_TEST(largeMessagesAreRefusedAndSmallOnesAreNot);
    CPPUNIT_TEST(completeMessagesRunWhileUnfinishedOnesWait);
    CPPUNIT_TEST(storedStateLeavesMemoryForMessages);
    CPPUNIT_TEST(largestHolderIsClosed);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against refusing a single message of legal size while the process is idle.
    void singleMessageIsTakenHoweverLowTheLimit()
    {
        MemoryBudget budget(1'000'000);
        const MemoryBudget::Account other(budget, "b");
        const MemoryBudget::Account account(budget, "a");
        CPPUNIT_ASSERT(BudgetPolicy::readMore(account, large, 2'000'000) == Decision::Proceed);
        CPPUNIT_ASSERT(BudgetPolicy::run(account, large, 6'000'000) == Decision::Proceed);
    }

    // Guards against one address that slows down all others, and against others that are paused because of it.
    void largestHoldersPauseFirst()
    {
        MemoryBudget budget(limit);
        MemoryBudget::Account many(budget, "a");
        MemoryBudget::Account few(budget, "b");
        MemoryBudget::Reservation first(many, Kind::ReadBuffer, limit / 2);
        const MemoryBudget::Reservation second(few, Kind::ReadBuffer, limit / 20);
        CPPUNIT_ASSERT(BudgetPolicy::readMore(many, large, 1'000) == Decision::Proceed);
        first.resize(limit / 100 * 60);
        CPPUNIT_ASSERT(BudgetPolicy::readMore(many, large, 1'000) == Decision::Pause);
        CPPUNIT_ASSERT(BudgetPolicy::readMore(few, large, 1'000) == Decision::Proceed);
    }

    // Guards against ordinary requests that are refused because of large ones, and against large ones that take all memory.
    void largeMessagesAreRefusedAndSmallOnesAreNot()
    {
        MemoryBudget budget(limit);
        MemoryBudget::Account many(budget, "a");
        MemoryBudget::Account few(budget, "b");
        const MemoryBudget::Reservation first(many, Kind::ReadBuffer, limit / 100 * 76);
        const MemoryBudget::Reservation second(few, Kind::ReadBuffer, 1'000);
        CPPUNIT_ASSERT(BudgetPolicy::readMore(few, large, 1'000) == Decision::Refuse);
        CPPUNIT_ASSERT(BudgetPolicy::readMore(few, BudgetPolicy::smallMessage, 1'000) == Decision::Proceed);
        const MemoryBudget::Reservation third(many, Kind::Answer, limit / 100 * 18);
        CPPUNIT_ASSERT(BudgetPolicy::readMore(few, BudgetPolicy::smallMessage, 1'000) == Decision::Proceed);
        CPPUNIT_ASSERT(BudgetPolicy::run(few, BudgetPolicy::smallMessage, 1'000) == Decision::Proceed);
    }

    // Guards against messages that are read completely and keep each other from running until all have timed out.
    void completeMessagesRunWhileUnfinishedOnesWait()
    {
        MemoryBudget budget(limit);
        MemoryBudget::Account one(budget, "a");
        MemoryBudget::Account other(budget, "a");
        const MemoryBudget::Reservation first(one, Kind::ReadBuffer, limit / 100 * 74);
        const MemoryBudget::Reservation second(other, Kind::ReadBuffer, 1'000);
        CPPUNIT_ASSERT(BudgetPolicy::readMore(one, large, limit / 100 * 10) == Decision::Refuse);
        CPPUNIT_ASSERT(BudgetPolicy::run(one, large, limit / 100 * 10) == Decision::Proceed);
        CPPUNIT_ASSERT(BudgetPolicy::run(one, large, limit / 100 * 20) == Decision::Pause);
    }

    // Guards against sessions that fill the memory with values and prepared statements, which no timeout releases.
    void storedStateLeavesMemoryForMessages()
    {
        MemoryBudget budget(limit);
        MemoryBudget::Account account(budget, "a");
        CPPUNIT_ASSERT(BudgetPolicy::mayStore(account, large));
        const MemoryBudget::Reservation stored(account, Kind::SessionState, limit / 100 * 25);
        CPPUNIT_ASSERT(!BudgetPolicy::mayStore(account, large));
    }

    // Guards against a process that exceeds its memory because nobody gives way.
    void largestHolderIsClosed()
    {
        MemoryBudget budget(limit);
        MemoryBudget::Account small(budget, "a");
        MemoryBudget::Account big(budget, "a");
        const MemoryBudget::Reservation first(small, Kind::Answer, limit / 10);
        MemoryBudget::Reservation second(big, Kind::Answer, limit / 2);
        CPPUNIT_ASSERT(BudgetPolicy::closes(budget) == nullptr);
        second.resize(limit / 100 * 81);
        CPPUNIT_ASSERT(BudgetPolicy::closes(budget) == &big);
        big.excludeFromClosing();
        CPPUNIT_ASSERT(BudgetPolicy::closes(budget) == nullptr);
        second.resize(0);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), budget.excluded());
    }

private:
    static constexpr std::size_t limit = 100'000'000;
    static constexpr std::size_t large = 1'000'000;
};

CPPUNIT_TEST_SUITE_REGISTRATION(BudgetPolicyTest);
