#include <waxwing/coordination/promotion.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace waxwing;
using namespace waxwing::promotion_action;

class PromotionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PromotionTest);
    CPPUNIT_TEST(memberThatHasNotReachedTheStartOfItsTermIsBehind);
    CPPUNIT_TEST(positionsAreComparedOnlyAfterEveryHolderIsWithdrawn);
    CPPUNIT_TEST(mostAdvancedMemberIsChosenAlthoughItFailedBefore);
    CPPUNIT_TEST(minorityIsReportedAndAskedAgain);
    CPPUNIT_TEST(lateAnswerOfEarlierCallIsIgnored);
    CPPUNIT_TEST(rejectedTermIsExceeded);
    CPPUNIT_TEST(switchoverPromotesTargetThatHasAllWrites);
    CPPUNIT_TEST(switchoverWithLapsedHoldComparesPositions);
    CPPUNIT_TEST(switchoverIsAbortedWhenTargetStaysBehind);
    CPPUNIT_TEST_SUITE_END();

    TimePoint m_now = TimePoint(100s);
    wire::GroupRecord m_record;
    bool m_mayHold = true;

public:
    void setUp() override
    {
        m_record.set_group("g");
        m_record.set_term(1);
        m_record.set_primary("a");
        m_record.set_owner("p");
        auto &holder = *m_record.add_holders();
        holder.set_proxy("p");
        holder.set_incarnation(5);
        addTerm(1, 0);
    }

private:
    void addTerm(std::uint64_t term, std::uint64_t start)
    {
        m_record.add_term_history()->set_term(term);
        m_record.mutable_term_history()->rbegin()->set_start(start);
    }

    std::vector<PromotionAction> advance(Promotion &promotion)
    {
        PromotionInput facts {&m_record, {{"a", "a:1", "fd1"}, {"b", "b:1", "fd2"}, {"c", "c:1", "fd3"}}, 3, [this](const wire::Holder &) {
                                  return m_mayHold;
                              }};
        return promotion.advance(facts, m_now);
    }

    template<class Action>
    static const Action *find(const std::vector<PromotionAction> &actions)
    {
        for (const auto &action : actions) {
            if (const auto *found = std::get_if<Action>(&action)) {
                return found;
            }
        }
        return nullptr;
    }

    /// Commits the term that the promotion asks for, and withdraws the former one.
    std::uint64_t queryRound(Promotion &promotion)
    {
        const auto actions = advance(promotion);
        const auto *commit = find<CommitTerm>(actions);
        CPPUNIT_ASSERT(commit != nullptr);
        m_record.set_term(commit->term);
        m_record.clear_primary();
        promotion.termCommitted(true, m_now);
        advance(promotion);
        promotion.withdrawn("p", 5, m_record.term() - 1);
        const auto queries = advance(promotion);
        CPPUNIT_ASSERT(find<QueryStatus>(queries) != nullptr);
        return find<QueryStatus>(queries)->round;
    }

    Promotion afterFailure()
    {
        return Promotion::afterFailure({}, m_record, "fd1", m_now);
    }

public:
    // Guards against the choice of a member that was told to follow a term but lacks acknowledged writes before its start.
    void memberThatHasNotReachedTheStartOfItsTermIsBehind()
    {
        addTerm(2, 10);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), dataTerm(m_record, {.term = 2, .position = 8}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), dataTerm(m_record, {.term = 2, .position = 10}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), dataTerm(m_record, {.term = 7, .position = 10})); // never published
    }

    // Guards against writes that are acknowledged after the positions were compared.
    void positionsAreComparedOnlyAfterEveryHolderIsWithdrawn()
    {
        auto promotion = afterFailure();
        advance(promotion);
        m_record.set_term(2);
        promotion.termCommitted(true, m_now);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), find<Withdraw>(advance(promotion))->term);
        promotion.withdrawn("p", 4, 1); // another incarnation
        promotion.withdrawn("p", 5, 0); // an earlier withdrawal
        CPPUNIT_ASSERT(find<QueryStatus>(advance(promotion)) == nullptr);
        m_now += 100ms;
        CPPUNIT_ASSERT(find<Withdraw>(advance(promotion)) != nullptr); // repeated
        m_mayHold = false; // the lease has ended
        CPPUNIT_ASSERT(find<QueryStatus>(advance(promotion)) != nullptr);
    }

    // Guards against losing writes that only a member has which failed to become primary before.
    void mostAdvancedMemberIsChosenAlthoughItFailedBefore()
    {
        auto promotion = afterFailure();
        for (const bool again : {false, true}) {
            const auto round = queryRound(promotion);
            promotion.status("a", round, std::nullopt);
            promotion.status("b", round, MemberStatus {1, 0, 9, false});
            promotion.status("c", round, MemberStatus {1, 0, again ? 8U : 9U, false});
            const auto actions = advance(promotion);
            CPPUNIT_ASSERT_EQUAL(std::string("b"), find<CallPromote>(actions)->member.database.substr(0, 1));
            promotion.promoted("b", m_record.term(), std::nullopt, 0, m_now);
            m_now += 2s;
        }
        const auto round = queryRound(promotion);
        promotion.status("a", round, std::nullopt);
        promotion.status("b", round, MemberStatus {1, 0, 9, false});
        promotion.status("c", round, MemberStatus {1, 0, 9, false});
        CPPUNIT_ASSERT_EQUAL(std::string("c"), find<CallPromote>(advance(promotion))->member.database); // equal, and did not fail
    }

    // Guards against a promotion by a minority, and against one that gives up.
    void minorityIsReportedAndAskedAgain()
    {
        auto promotion = afterFailure();
        const auto round = queryRound(promotion);
        promotion.status("b", round, MemberStatus {1, 0, 9, false});
        m_now += 500ms;
        const auto actions = advance(promotion);
        CPPUNIT_ASSERT(find<CallPromote>(actions) == nullptr && promotion.lacksMajority());
        promotion.status("c", round, MemberStatus {1, 0, 9, false}); // answer to the earlier round
        CPPUNIT_ASSERT(find<CallPromote>(advance(promotion)) == nullptr);
        const auto next = find<QueryStatus>(actions)->round;
        promotion.status("b", next, MemberStatus {1, 0, 9, false});
        promotion.status("c", next, MemberStatus {1, 0, 9, false});
        m_now += 150ms;
        CPPUNIT_ASSERT(find<CallPromote>(advance(promotion)) != nullptr && !promotion.lacksMajority());
    }

    // Guards against a published start that belongs to an earlier attempt.
    void lateAnswerOfEarlierCallIsIgnored()
    {
        auto promotion = afterFailure();
        const auto round = queryRound(promotion);
        for (const auto *database : {"a", "b", "c"}) {
            promotion.status(database, round, MemberStatus {1, 0, 9, false});
        }
        const auto database = find<CallPromote>(advance(promotion))->member.database;
        promotion.promoted(database, m_record.term() - 1, 5, 0, m_now);
        CPPUNIT_ASSERT(find<CommitPrimary>(advance(promotion)) == nullptr);
        promotion.promoted(database, m_record.term(), 9, 0, m_now);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), find<CommitPrimary>(advance(promotion))->termStart);
    }

    // Guards against an endless repetition of a term that the members reject.
    void rejectedTermIsExceeded()
    {
        auto promotion = afterFailure();
        const auto round = queryRound(promotion);
        for (const auto *database : {"a", "b", "c"}) {
            promotion.status(database, round, MemberStatus {1, 0, 9, false});
        }
        const auto database = find<CallPromote>(advance(promotion))->member.database;
        promotion.promoted(database, m_record.term(), std::nullopt, 41, m_now);
        m_now += 2s;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(42), find<CommitTerm>(advance(promotion))->term);
    }

    // Guards against a planned switchover that takes the way of a failure, with its refused writes.
    void switchoverPromotesTargetThatHasAllWrites()
    {
        auto promotion = Promotion::switchover({}, "b", m_now);
        CPPUNIT_ASSERT_EQUAL(std::string("p"), find<HoldWrites>(advance(promotion))->proxy);
        promotion.writesHeld("p", 1, 20, true);
        const auto first = find<QueryStatus>(advance(promotion))->round;
        promotion.status("b", first, MemberStatus {1, 0, 19, false});
        m_now += 10ms;
        const auto second = find<QueryStatus>(advance(promotion))->round;
        promotion.status("b", second, MemberStatus {1, 0, 20, false});
        CPPUNIT_ASSERT_EQUAL(std::string("b"), find<CommitTerm>(advance(promotion))->target);
        m_record.set_term(2);
        promotion.termCommitted(true, m_now);
        CPPUNIT_ASSERT(find<Withdraw>(advance(promotion)) != nullptr);
        promotion.withdrawn("p", 5, 1);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), find<CallPromote>(advance(promotion))->member.database);
    }

    // Guards against losing writes that the owner acknowledged after its hold ended and before it was withdrawn.
    void switchoverWithLapsedHoldComparesPositions()
    {
        auto promotion = Promotion::switchover({}, "b", m_now);
        advance(promotion);
        promotion.writesHeld("p", 1, 20, true);
        promotion.status("b", find<QueryStatus>(advance(promotion))->round, MemberStatus {1, 0, 20, false});
        advance(promotion);
        m_record.set_term(2);
        promotion.termCommitted(true, m_now);
        m_now += 1'950ms; // within the hold, but not by a clock that runs 5% faster
        promotion.withdrawn("p", 5, 1);
        const auto actions = advance(promotion);
        CPPUNIT_ASSERT(find<CallPromote>(actions) == nullptr && find<QueryStatus>(actions) != nullptr);
    }

    // Guards against writes that stay held, and a term that is lost, for a target that can't take over.
    void switchoverIsAbortedWhenTargetStaysBehind()
    {
        auto promotion = Promotion::switchover({}, "b", m_now);
        advance(promotion);
        promotion.writesHeld("p", 1, 20, true);
        advance(promotion);
        m_now += 2s;
        const auto actions = advance(promotion);
        CPPUNIT_ASSERT(find<HoldWrites>(actions)->hold == Duration::zero() && find<CommitTerm>(actions) == nullptr);
        CPPUNIT_ASSERT(promotion.step() == Promotion::Step::Aborted);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PromotionTest);
