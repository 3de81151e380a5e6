#include "epoch_withdrawal.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

using namespace waxwing;
using namespace waxwing::control;

namespace
{

constexpr std::uint64_t newEpoch = 10;
constexpr Duration afterEarlierLeases = 20s; // proxies with leases of earlier leaders no longer acknowledge commits

wire::PoolRenewal renewal(const std::string &proxy, std::uint64_t incarnation)
{
    wire::PoolRenewal message;
    message.set_proxy(proxy);
    message.set_incarnation(incarnation);
    return message;
}

/// Two proxies with leases, and the requests that were sent to them.
struct Fixture
{
    Fixture()
    {
        leases.reset(TimePoint(0s), {});
        for (const auto *proxy : {"p", "q"}) {
            lease(proxy, 1, TimePoint(afterEarlierLeases));
        }
        withdrawal.start(newEpoch);
    }

    void lease(const std::string &proxy, std::uint64_t incarnation, TimePoint now)
    {
        leases.renew(renewal(proxy, incarnation), now);
        leases.grant(proxy, now);
    }

    bool advance(TimePoint now)
    {
        return withdrawal.advance("s", leases, now, [this](const std::string &proxy, const wire::PoolEnvelope &message) {
            requestedProxies.push_back(proxy);
            lastRequest = message.withdraw();
        });
    }

    void confirm(const std::string &proxy, std::uint64_t number, std::optional<std::uint64_t> reported)
    {
        answer(lastRequest, proxy, number, reported);
    }

    void answer(const wire::PoolWithdraw &request, const std::string &proxy, std::uint64_t number, std::optional<std::uint64_t> reported)
    {
        wire::PoolWithdrawn message;
        message.set_round(request.round());
        message.set_epoch(newEpoch - 1);
        message.set_proxy(proxy);
        message.set_incarnation(1);
        message.set_closed(request.closes());
        message.mutable_acknowledged()->set_term(3);
        message.mutable_acknowledged()->set_number(number);
        if (reported) {
            message.mutable_reported()->set_term(3);
            message.mutable_reported()->set_number(*reported);
        }
        withdrawal.confirm(message);
    }

    /// Confirms with bounds of the last acknowledged commit and the number of commits without an outcome.
    void tell(const std::string &proxy, std::uint64_t number, std::optional<std::uint32_t> unsettled, bool settlesDeparted = true)
    {
        wire::PoolWithdrawn message;
        message.set_round(lastRequest.round());
        message.set_epoch(newEpoch - 1);
        message.set_proxy(proxy);
        message.set_incarnation(1);
        message.set_closed(true);
        message.mutable_acknowledged_at_least()->set_term(3);
        message.mutable_acknowledged_at_least()->set_number(1);
        message.mutable_replicated()->set_term(3);
        message.mutable_replicated()->set_number(number);
        if (unsettled) {
            message.set_unsettled_commits(*unsettled);
        }
        message.set_settles_departed(settlesDeparted);
        withdrawal.confirm(message);
    }

    TermPosition atLeast() const
    {
        return withdrawal.acknowledgedAtLeast(leases, TimePoint(afterEarlierLeases));
    }

    SessionLeases leases;
    EpochWithdrawal withdrawal;
    std::vector<std::string> requestedProxies;
    wire::PoolWithdraw lastRequest;
};

} // namespace

class EpochWithdrawalTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EpochWithdrawalTest);
    CPPUNIT_TEST(waitsForEveryLease);
    CPPUNIT_TEST(closingRepeatsTheRequest);
    CPPUNIT_TEST(acknowledgedIsTheHighestPositionOfAllProxies);
    CPPUNIT_TEST(departedProxyLeavesAcknowledgedUnknown);
    CPPUNIT_TEST(positionReportedBeforeADepartureIsDiscarded);
    CPPUNIT_TEST(restartedProxyConfirmsAgain);
    CPPUNIT_TEST(positionIsAskedForAgainAfterADeparture);
    CPPUNIT_TEST(lateAnswerToAnEarlierRequestProvesNothing);
    CPPUNIT_TEST(certainPositionNeedsNoProxyWithALease);
    CPPUNIT_TEST(lastCommitIsCertainUnlessOthersAreUnsettled);
    CPPUNIT_TEST(departedProxyMayHaveSentTheLastCommits);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a promotion while a proxy still reads from the former primary.
    void waitsForEveryLease()
    {
        Fixture fixture;
        CPPUNIT_ASSERT(!fixture.advance(TimePoint(afterEarlierLeases)));
        fixture.confirm("p", 5, {});
        CPPUNIT_ASSERT(!fixture.advance(TimePoint(afterEarlierLeases + 1ms)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), fixture.requestedProxies.size());
        CPPUNIT_ASSERT(!fixture.advance(TimePoint(afterEarlierLeases + 2'099ms)));
        CPPUNIT_ASSERT(fixture.advance(TimePoint(afterEarlierLeases + 2'100ms)));
    }

    // Guards against a position that is out of date because its proxy reported it before it stopped acknowledging commits.
    void closingRepeatsTheRequest()
    {
        Fixture fixture;
        fixture.advance(TimePoint(afterEarlierLeases));
        fixture.confirm("p", 5, 4);
        fixture.confirm("q", 6, 4);
        CPPUNIT_ASSERT(fixture.advance(TimePoint(afterEarlierLeases)));
        CPPUNIT_ASSERT(!fixture.withdrawal.acknowledged(fixture.leases, TimePoint(afterEarlierLeases)));
        fixture.withdrawal.close();
        CPPUNIT_ASSERT(!fixture.advance(TimePoint(afterEarlierLeases)));
        CPPUNIT_ASSERT(fixture.lastRequest.closes());
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), fixture.requestedProxies.size());
    }

    // Guards against lost commits: each proxy acknowledges different commits, and only the highest position covers them all.
    void acknowledgedIsTheHighestPositionOfAllProxies()
    {
        Fixture fixture;
        close(fixture);
        fixture.confirm("p", 5, 4);
        CPPUNIT_ASSERT(!fixture.withdrawal.acknowledged(fixture.leases, TimePoint(afterEarlierLeases)));
        fixture.confirm("q", 7, {});
        CPPUNIT_ASSERT((fixture.withdrawal.acknowledged(fixture.leases, TimePoint(afterEarlierLeases)) == TermPosition {3, 7}));
        fixture.confirm("q", 7, 8);
        CPPUNIT_ASSERT((fixture.withdrawal.acknowledged(fixture.leases, TimePoint(afterEarlierLeases)) == TermPosition {3, 8}));
    }

    // Guards against lost commits: a proxy whose lease has ended acknowledges commits for a grace period, and is not asked.
    void departedProxyLeavesAcknowledgedUnknown()
    {
        Fixture fixture;
        fixture.lease("p", 1, TimePoint(afterEarlierLeases + 2s));
        CPPUNIT_ASSERT(!fixture.leases.expire(TimePoint(afterEarlierLeases + 2'100ms)).empty());
        fixture.withdrawal.close();
        fixture.advance(TimePoint(afterEarlierLeases + 2'100ms));
        CPPUNIT_ASSERT_EQUAL(0U, fixture.lastRequest.evidence_ms());
        fixture.confirm("p", 5, {});
        CPPUNIT_ASSERT(!fixture.withdrawal.acknowledged(fixture.leases, TimePoint(afterEarlierLeases + 2'100ms)));
    }

    // Guards against lost commits: a position that the primary reported earlier than a proxy without a lease acknowledged its
    // last commit is too low.
    void positionReportedBeforeADepartureIsDiscarded()
    {
        Fixture fixture;
        close(fixture);
        fixture.confirm("p", 5, 5);
        fixture.lease("p", 1, TimePoint(afterEarlierLeases + 2s));
        CPPUNIT_ASSERT(!fixture.leases.expire(TimePoint(afterEarlierLeases + 2'100ms)).empty());
        CPPUNIT_ASSERT(!fixture.withdrawal.acknowledged(fixture.leases, TimePoint(afterEarlierLeases + 2'100ms)));
        fixture.advance(TimePoint(afterEarlierLeases + 2'100ms));
        CPPUNIT_ASSERT(!fixture.withdrawal.acknowledged(fixture.leases, TimePoint(afterEarlierLeases + 2'100ms)));
    }

    // Guards against a restarted proxy that counts as confirmed because its former process has confirmed.
    void restartedProxyConfirmsAgain()
    {
        Fixture fixture;
        fixture.advance(TimePoint(afterEarlierLeases));
        fixture.confirm("p", 5, {});
        fixture.confirm("q", 5, {});
        CPPUNIT_ASSERT(fixture.advance(TimePoint(afterEarlierLeases)));
        fixture.lease("q", 2, TimePoint(afterEarlierLeases));
        CPPUNIT_ASSERT(!fixture.advance(TimePoint(afterEarlierLeases)));
    }

    // Guards against a service that stays without a primary: after the departure of a proxy, those that have confirmed are not asked
    // for a later position.
    void positionIsAskedForAgainAfterADeparture()
    {
        Fixture fixture;
        close(fixture);
        fixture.confirm("p", 5, 5);
        fixture.lease("p", 1, TimePoint(afterEarlierLeases + 2s));
        CPPUNIT_ASSERT(!fixture.leases.expire(TimePoint(afterEarlierLeases + 2'100ms)).empty());
        fixture.requestedProxies.clear();
        CPPUNIT_ASSERT(fixture.advance(TimePoint(afterEarlierLeases + 3s)));
        CPPUNIT_ASSERT(fixture.requestedProxies == std::vector<std::string> {"p"});
        fixture.confirm("p", 5, 6);
        CPPUNIT_ASSERT((fixture.withdrawal.acknowledged(fixture.leases, TimePoint(afterEarlierLeases + 3s)) == TermPosition {3, 6}));
        fixture.requestedProxies.clear();
        CPPUNIT_ASSERT(fixture.advance(TimePoint(afterEarlierLeases + 4s)));
        CPPUNIT_ASSERT(fixture.requestedProxies.empty());
    }

    // Guards against lost commits: the answer to a request of before the departure of a proxy arrives after it, with a position that
    // the primary reported before the proxy acknowledged its last commit.
    void lateAnswerToAnEarlierRequestProvesNothing()
    {
        Fixture fixture;
        close(fixture);
        const auto earlier = fixture.lastRequest;
        fixture.lease("p", 1, TimePoint(afterEarlierLeases + 2s));
        CPPUNIT_ASSERT(!fixture.leases.expire(TimePoint(afterEarlierLeases + 2'100ms)).empty());
        fixture.advance(TimePoint(afterEarlierLeases + 3s));
        fixture.answer(earlier, "p", 5, 5);
        CPPUNIT_ASSERT(!fixture.withdrawal.acknowledged(fixture.leases, TimePoint(afterEarlierLeases + 3s)));
        fixture.confirm("p", 5, 6);
        CPPUNIT_ASSERT((fixture.withdrawal.acknowledged(fixture.leases, TimePoint(afterEarlierLeases + 3s)) == TermPosition {3, 6}));
    }

    // Guards against lost commits: what one proxy is certain of is ignored because another one has not confirmed or has no lease.
    void certainPositionNeedsNoProxyWithALease()
    {
        Fixture fixture;
        CPPUNIT_ASSERT(fixture.atLeast() == TermPosition());
        for (const auto &[proxy, number] : {std::pair("p", 5), std::pair("gone", 7)}) {
            wire::PoolWithdrawn message;
            message.set_epoch(newEpoch - 1);
            message.set_proxy(proxy);
            message.mutable_acknowledged_at_least()->set_term(3);
            message.mutable_acknowledged_at_least()->set_number(static_cast<std::uint64_t>(number));
            fixture.withdrawal.confirm(message);
        }
        CPPUNIT_ASSERT((fixture.atLeast() == TermPosition {3, 7}));
        fixture.withdrawal.start(newEpoch + 1);
        CPPUNIT_ASSERT(fixture.atLeast() == TermPosition());
    }

    // Guards against lost commits: the last commit of a proxy is left out of what is certainly acknowledged, although no other commit can
    // be behind it; and against a service that waits for commits that nobody acknowledged.
    void lastCommitIsCertainUnlessOthersAreUnsettled()
    {
        Fixture fixture;
        close(fixture);
        fixture.tell("p", 15, 0);
        CPPUNIT_ASSERT((fixture.withdrawal.acknowledgedAtMost() == TermPosition {3, 15}));
        CPPUNIT_ASSERT((fixture.atLeast() == TermPosition {3, 1})); // q may have sent commits
        fixture.tell("q", 12, 0);
        CPPUNIT_ASSERT((fixture.atLeast() == TermPosition {3, 15}));
        fixture.tell("q", 12, 2);
        CPPUNIT_ASSERT((fixture.atLeast() == TermPosition {3, 13}));
        fixture.tell("q", 12, {}); // of an earlier release
        CPPUNIT_ASSERT((fixture.atLeast() == TermPosition {3, 1}));
        CPPUNIT_ASSERT((fixture.withdrawal.acknowledgedAtMost() == TermPosition {3, 15}));
    }

    // Guards against a service that waits for a commit that nobody acknowledged: a proxy that has departed had sent it.
    void departedProxyMayHaveSentTheLastCommits()
    {
        Fixture fixture;
        close(fixture);
        fixture.tell("p", 15, 0, false);
        fixture.tell("q", 12, 0, false);
        CPPUNIT_ASSERT((fixture.atLeast() == TermPosition {3, 1}));
        fixture.tell("q", 12, 0, true);
        CPPUNIT_ASSERT((fixture.atLeast() == TermPosition {3, 15}));
        fixture.lease("p", 1, TimePoint(afterEarlierLeases + 2s));
        CPPUNIT_ASSERT(!fixture.leases.expire(TimePoint(afterEarlierLeases + 2'100ms)).empty());
        CPPUNIT_ASSERT((fixture.withdrawal.acknowledgedAtLeast(fixture.leases, TimePoint(afterEarlierLeases + 3s)) == TermPosition {3, 1}));
    }

private:
    static void close(Fixture &fixture)
    {
        fixture.withdrawal.close();
        fixture.advance(TimePoint(afterEarlierLeases));
        CPPUNIT_ASSERT(fixture.lastRequest.evidence_ms() > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EpochWithdrawalTest);
