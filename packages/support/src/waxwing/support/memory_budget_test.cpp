#include <waxwing/support/counter.h>
#include <waxwing/support/memory_budget.h>
#include <waxwing/support/metrics.h>

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace waxwing;

class MemoryBudgetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MemoryBudgetTest);
    CPPUNIT_TEST(reservationsAreReleasedExactlyOnce);
    CPPUNIT_TEST(largestAccountIsOfTheLargestGroup);
    CPPUNIT_TEST(randomReservationsStayBalanced);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a budget that shrinks with each moved, resized or destroyed reservation until nothing can be reserved.
    void reservationsAreReleasedExactlyOnce()
    {
        MemoryBudget budget(1'000);
        MemoryBudget::Account account(budget, "a");
        {
            MemoryBudget::Reservation first(account, MemoryBudget::Kind::Answer, 300);
            first.resize(100);
            const MemoryBudget::Reservation moved(std::move(first));
            const MemoryBudget::Reservation other(account, MemoryBudget::Kind::Message, 50);
            CPPUNIT_ASSERT_EQUAL(std::size_t(150), budget.used());
            CPPUNIT_ASSERT_EQUAL(std::size_t(100), budget.used(MemoryBudget::Kind::Answer));
            CPPUNIT_ASSERT_EQUAL(std::size_t(150), account.used());
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), budget.activeGroups());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), budget.used());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), budget.usedByGroup("a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), budget.activeGroups());
    }

    // Guards against closing the session of a client with one large message because another client spreads more over many sessions.
    void largestAccountIsOfTheLargestGroup()
    {
        MemoryBudget budget(1'000);
        MemoryBudget::Account single(budget, "a");
        MemoryBudget::Account one(budget, "b");
        MemoryBudget::Account other(budget, "b");
        CPPUNIT_ASSERT(budget.largest() == nullptr);
        const MemoryBudget::Reservation a(single, MemoryBudget::Kind::ReadBuffer, 300);
        const MemoryBudget::Reservation b(one, MemoryBudget::Kind::ReadBuffer, 150);
        const MemoryBudget::Reservation c(other, MemoryBudget::Kind::ReadBuffer, 200);
        CPPUNIT_ASSERT(budget.largest() == &other);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), budget.activeGroups());
    }

    // Guards against sums that differ from the reservations after any sequence of changes.
    void randomReservationsStayBalanced()
    {
        constexpr unsigned seed = 1;
        std::mt19937 random(seed);
        const auto failures = Metrics::instance().counter("waxwing_invariant_failures_total", "invariant", "memory-budget-balanced").value();
        MemoryBudget budget(1'000'000);
        std::vector<std::optional<MemoryBudget::Account>> accounts(5);
        for (std::size_t i = 0; i < accounts.size(); ++i) {
            accounts[i].emplace(budget, std::to_string(i % 2));
        }
        std::vector<std::pair<std::size_t, MemoryBudget::Reservation>> held;
        for (int step = 0; step < 2'000; ++step) {
            if (held.empty() || random() % 3 == 0) {
                const auto owner = random() % accounts.size();
                held.emplace_back(owner, MemoryBudget::Reservation(*accounts[owner], static_cast<MemoryBudget::Kind>(random() % MemoryBudget::kinds)));
            } else if (random() % 3 == 0) {
                held.pop_back();
            } else {
                held[random() % held.size()].second.resize(random() % 1'000);
            }
            std::size_t total = 0;
            std::size_t first = 0;
            for (const auto &[owner, reservation] : held) {
                total += reservation.bytes();
                first += owner % 2 == 0 ? reservation.bytes() : 0;
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), total, budget.used());
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), first, budget.usedByGroup("0"));
        }
        held.clear();
        accounts.clear();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), budget.used());
        CPPUNIT_ASSERT(Metrics::instance().counter("waxwing_invariant_failures_total", "invariant", "memory-budget-balanced").value() == failures);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemoryBudgetTest);
