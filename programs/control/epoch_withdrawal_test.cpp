#include "epoch_withdrawal.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

using namespace waxwing;
using namespace waxwing::control;

namespace
{

constexpr std::uint64_t newEpoch = 10;
constexpr Duration settled = 20s; // past the time of leases of earlier leaders and of what they acknowledged

wire::PoolRenewal renewal(const std::string &proxy, std::uint64_t incarnation)
{
    wire::PoolRenewal message;
    message.set_proxy(proxy);
    message.set_incarnation(incarnation);
    return message;
}

/// Two proxies with leases, and the requests that they got.
struct Fixture
{
    Fixture()
    {
        leases.reset(TimePoint(0s), {});
        for (const auto *proxy : {"p", "q"}) {
            lease(proxy, 1, TimePoint(settled));
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
            asked.push_back(proxy);
            last = message.withdraw();
        });
    }

    void confirm(const std::string &proxy, std::uint64_t number, std::optional<std::uint64_t> reported)
    {
        wire::PoolWithdrawn message;
        message.set_epoch(newEpoch - 1);
        message.set_proxy(proxy);
        message.set_incarnation(1);
        message.set_closed(last.closes());
        message.mutable_acknowledged()->set_term(3);
        message.mutable_acknowledged()->set_number(number);
        if (reported) {
            message.mutable_reported()->set_term(3);
            message.mutable_reported()->set_number(*reported);
        }
        withdrawal.confirm(message);
    }

    SessionLeases leases;
    EpochWithdrawal withdrawal;
    std::vector<std::string> asked;
    wire::PoolWithdraw last;
};

} // namespace

class EpochWithdrawalTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EpochWithdrawalTest);
    CPPUNIT_TEST(waitsForEveryLease);
    CPPUNIT_TEST(closingAsksAgain);
    CPPUNIT_TEST(acknowledgedIsTheHighestOfAll);
    CPPUNIT_TEST(departedProxyLeavesAcknowledgedUnknown);
    CPPUNIT_TEST(positionReportedBeforeADepartureProvesNothing);
    CPPUNIT_TEST(restartedProxyConfirmsAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a promotion while a proxy still reads from the former primary.
    void waitsForEveryLease()
    {
        Fixture fixture;
        CPPUNIT_ASSERT(!fixture.advance(TimePoint(settled)));
        fixture.confirm("p", 5, {});
        CPPUNIT_ASSERT(!fixture.advance(TimePoint(settled + 1ms)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), fixture.asked.size());
        CPPUNIT_ASSERT(!fixture.advance(TimePoint(settled + 2'099ms)));
        CPPUNIT_ASSERT(fixture.advance(TimePoint(settled + 2'100ms)));
    }

    // Guards against positions that were told before the proxy stopped to acknowledge.
    void closingAsksAgain()
    {
        Fixture fixture;
        fixture.advance(TimePoint(settled));
        fixture.confirm("p", 5, 4);
        fixture.confirm("q", 6, 4);
        CPPUNIT_ASSERT(fixture.advance(TimePoint(settled)));
        CPPUNIT_ASSERT(!fixture.withdrawal.acknowledged(fixture.leases, TimePoint(settled)));
        fixture.withdrawal.close();
        CPPUNIT_ASSERT(!fixture.advance(TimePoint(settled)));
        CPPUNIT_ASSERT(fixture.last.closes());
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), fixture.asked.size());
    }

    // Guards against lost commits: every proxy acknowledges commits of its own.
    void acknowledgedIsTheHighestOfAll()
    {
        Fixture fixture;
        close(fixture);
        fixture.confirm("p", 5, 4);
        CPPUNIT_ASSERT(!fixture.withdrawal.acknowledged(fixture.leases, TimePoint(settled)));
        fixture.confirm("q", 7, {});
        CPPUNIT_ASSERT((fixture.withdrawal.acknowledged(fixture.leases, TimePoint(settled)) == TermPosition {3, 7}));
        fixture.confirm("q", 7, 8);
        CPPUNIT_ASSERT((fixture.withdrawal.acknowledged(fixture.leases, TimePoint(settled)) == TermPosition {3, 8}));
    }

    // Guards against lost commits: a proxy without a lease goes on acknowledging for some time and can't be asked.
    void departedProxyLeavesAcknowledgedUnknown()
    {
        Fixture fixture;
        fixture.lease("p", 1, TimePoint(settled + 2s));
        CPPUNIT_ASSERT(!fixture.leases.expire(TimePoint(settled + 2'100ms)).empty());
        fixture.withdrawal.close();
        fixture.advance(TimePoint(settled + 2'100ms));
        CPPUNIT_ASSERT_EQUAL(0U, fixture.last.evidence_ms());
        fixture.confirm("p", 5, {});
        CPPUNIT_ASSERT(!fixture.withdrawal.acknowledged(fixture.leases, TimePoint(settled + 2'100ms)));
    }

    // Guards against evidence that is older than what a departed proxy acknowledged.
    void positionReportedBeforeADepartureProvesNothing()
    {
        Fixture fixture;
        close(fixture);
        fixture.confirm("p", 5, 5);
        fixture.lease("p", 1, TimePoint(settled + 2s));
        CPPUNIT_ASSERT(!fixture.leases.expire(TimePoint(settled + 2'100ms)).empty());
        CPPUNIT_ASSERT(!fixture.withdrawal.acknowledged(fixture.leases, TimePoint(settled + 2'100ms)));
        fixture.advance(TimePoint(settled + 2'100ms));
        CPPUNIT_ASSERT(!fixture.withdrawal.acknowledged(fixture.leases, TimePoint(settled + 2'100ms)));
    }

    // Guards against a confirmation of a process that has ended and a new one that has not confirmed.
    void restartedProxyConfirmsAgain()
    {
        Fixture fixture;
        fixture.advance(TimePoint(settled));
        fixture.confirm("p", 5, {});
        fixture.confirm("q", 5, {});
        CPPUNIT_ASSERT(fixture.advance(TimePoint(settled)));
        fixture.lease("q", 2, TimePoint(settled));
        CPPUNIT_ASSERT(!fixture.advance(TimePoint(settled)));
    }

private:
    static void close(Fixture &fixture)
    {
        fixture.withdrawal.close();
        fixture.advance(TimePoint(settled));
        CPPUNIT_ASSERT(fixture.last.evidence_ms() > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EpochWithdrawalTest);
